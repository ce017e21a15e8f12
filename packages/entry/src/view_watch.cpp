#include "view_watch.h"

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kNoWait = 0ms;
// An answer begins a few milliseconds after the wait. A later one is lost, or its connection is
// silent, which shows only after the time limit of the request.
constexpr std::chrono::milliseconds kRepeatDelay = 150ms;
// An answer that has begun and got no further part for this long is no longer waited for.
constexpr std::chrono::milliseconds kMaxPause = 300ms;
// A timer that is later than this shows a busy loop, in which the answer may wait to be read.
constexpr std::chrono::milliseconds kLateTimer = 50ms;
// Bound the calls while the store does not answer.
constexpr std::size_t kMaxOutstanding = 4;
constexpr int kMaxDoublings = 2;
// Changes may take this many bytes more than all rows before the rows are read instead.
constexpr std::size_t kMinExcessBytes = 64 * 1024;

bool isArriving(const http::Transfer &transfer)
{
    return transfer.hasBegun()
           && std::chrono::steady_clock::now() - transfer.progressedAt() < kMaxPause;
}

} // namespace

template <typename Page>
ViewWatch<Page>::ViewWatch(boost::asio::io_context &loop, Request request, WatchHooks<Page> hooks,
                           WatchTiming timing)
    : request_(std::move(request))
    , hooks_(std::move(hooks))
    , timing_(timing)
    , timer_(loop)
    , wait_(timing.wait)
{}

template <typename Page>
void ViewWatch<Page>::resume(Version after)
{
    version_ = after;
    wait_ = timing_.wait;
    beginRound();
}

template <typename Page>
void ViewWatch<Page>::loadRows()
{
    isLoading_ = true;
    wait_ = kNoWait;
    beginRound();
}

template <typename Page>
void ViewWatch<Page>::stop()
{
    isStopped_ = true;
    timer_.cancel();
    cancelAll();
}

template <typename Page>
void ViewWatch<Page>::beginRound()
{
    cancelAll();
    repeats_ = 0;
    hasWaitedForLoop_ = false;
    runAfter(wait_ + kRepeatDelay, &ViewWatch::repeat);
    send(wait_);
}

template <typename Page>
void ViewWatch<Page>::send(std::chrono::milliseconds wait)
{
    const auto read =
            std::make_shared<Read>(Read{.requestedAt = hooks_.clock(), .isLoad = isLoading_});
    reads_.push_back(read);
    read->transfer->onProgress = [weak = this->weak_from_this(), weakRead = std::weak_ptr(read)] {
        const auto self = weak.lock();
        const auto progressed = weakRead.lock();
        if (self && progressed)
            self->handleProgress(progressed);
    };
    Callback<Page> done = [self = this->shared_from_this(), read](const base::Result<Page> &page) {
        if (std::erase(self->reads_, read) > 0)
            self->handle(*read, page);
    };
    if (isLoading_)
        return hooks_.load(read->transfer, std::move(done));
    request_({.after = version_, .wait = wait, .transfer = read->transfer}, std::move(done));
}

template <typename Page>
void ViewWatch<Page>::handleProgress(const ReadPointer &read)
{
    if (isLargerThanRows(*read))
        return loadRows();
    if (reads_.size() > 1)
        keepOneTransfer(read);
}

// The store answers with each change of a row, so that an answer after a gap can take many times
// the bytes of the rows, and the gap grows while it is transferred.
template <typename Page>
bool ViewWatch<Page>::isLargerThanRows(const Read &read) const
{
    return hooks_.load && !read.isLoad && rowsBytes_ > 0
           && read.transfer->expectedBytes() > rowsBytes_ + rowsBytes_ / 2 + kMinExcessBytes;
}

// Two answers would share the link, and both would take twice as long.
template <typename Page>
void ViewWatch<Page>::keepOneTransfer(const ReadPointer &begun)
{
    const auto isOtherArriving = [&begun](const ReadPointer &read) {
        return read != begun && isArriving(*read->transfer);
    };
    if (std::any_of(reads_.begin(), reads_.end(), isOtherArriving))
        return cancel(begun);
    for (const ReadPointer &read : std::exchange(reads_, {begun}))
        if (read != begun)
            read->transfer->cancel();
}

template <typename Page>
void ViewWatch<Page>::cancel(const ReadPointer &read)
{
    std::erase(reads_, read);
    read->transfer->cancel();
}

template <typename Page>
void ViewWatch<Page>::cancelAll()
{
    for (const ReadPointer &read : std::exchange(reads_, {}))
        read->transfer->cancel();
}

template <typename Page>
bool ViewWatch<Page>::isAnyArriving() const
{
    return std::any_of(reads_.begin(), reads_.end(),
                       [](const ReadPointer &read) { return isArriving(*read->transfer); });
}

// The requests that an answer has overtaken are cancelled: their rows can be older than those
// known.
template <typename Page>
void ViewWatch<Page>::handle(const Read &read, const base::Result<Page> &page)
{
    if (!page)
        return handleFailure(page.error());
    if (read.isLoad && page.value().version < version_)
        return handleFailure(base::makeError(base::Code::PlatformUnavailable,
                                             "the answer is older than a former one"));
    if (read.isLoad)
        rowsBytes_ = read.transfer->bytes();
    isLoading_ = false;
    cancelAll();
    version_ = std::max(version_, page.value().version);
    hooks_.onRows(page.value());
    if (!page.value().hasMore)
        view_.recordAnswer(read.requestedAt, hooks_.clock());
    // The rest of the changes has been stored already.
    wait_ = page.value().hasMore ? kNoWait : timing_.wait;
    runAfter(page.value().hasMore ? kNoWait : timing_.pause, &ViewWatch::beginRound);
}

template <typename Page>
void ViewWatch<Page>::handleFailure(const base::Error &error)
{
    const bool isHistoryLost = error.code == base::Code::HistoryUnavailable;
    if (!isHistoryLost && isAnyArriving())
        return;
    view_.recordFailure();
    if (hooks_.onFailure)
        hooks_.onFailure(error);
    if (!isHistoryLost) {
        // A repeat that is due earlier stays.
        if (timer_.expiry() > std::chrono::steady_clock::now() + kRepeatDelay)
            runAfter(kRepeatDelay, &ViewWatch::repeat);
        return;
    }
    if (hooks_.load)
        return loadRows();
    cancelAll();
    timer_.cancel();
    hooks_.onHistoryLost();
}

template <typename Page>
void ViewWatch<Page>::repeat()
{
    const bool isLoopBusy = std::chrono::steady_clock::now() - timer_.expiry() > kLateTimer;
    if (isLoopBusy && !std::exchange(hasWaitedForLoop_, true))
        return runAfter(kRepeatDelay, &ViewWatch::repeat);
    if (isAnyArriving())
        return runAfter(kRepeatDelay, &ViewWatch::repeat);
    runAfter(kRepeatDelay * (1 << std::min(repeats_++, kMaxDoublings)), &ViewWatch::repeat);
    if (reads_.size() < kMaxOutstanding)
        send(kNoWait);
}

// Replaces the action that is due, also one whose handler is queued already.
template <typename Page>
void ViewWatch<Page>::runAfter(std::chrono::milliseconds delay, void (ViewWatch::*action)())
{
    timer_.expires_after(delay);
    timer_.async_wait([self = this->shared_from_this(), action,
                       number = ++actions_](const boost::system::error_code &error) {
        if (!error && !self->isStopped_ && number == self->actions_)
            (self.get()->*action)();
    });
}

template class ViewWatch<RowPage>;
template class ViewWatch<WorkerList>;
template class ViewWatch<OperatorState>;

} // namespace chicorywick::entry
