#include "view_watch.h"

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kNoWait = 0ms;
// An answer takes a few milliseconds beyond the wait. A later one is lost, or its connection is
// silent, which shows only after the time limit of the request.
constexpr std::chrono::milliseconds kRepeatDelay = 150ms;
// A timer that is later than this shows a busy loop, in which the answer may wait to be read.
constexpr std::chrono::milliseconds kLateTimer = 50ms;
// Bound the calls while the store does not answer.
constexpr int kMaxOutstanding = 4;
constexpr int kMaxDoublings = 2;

} // namespace

template <typename Page>
ViewWatch<Page>::ViewWatch(boost::asio::io_context &loop, Request request, WatchHooks<Page> hooks,
                           WatchTiming timing)
    : request_(std::move(request))
    , hooks_(std::move(hooks))
    , timing_(timing)
    , timer_(loop)
{}

template <typename Page>
void ViewWatch<Page>::resume(Version after)
{
    version_ = after;
    beginRound();
}

template <typename Page>
void ViewWatch<Page>::stop()
{
    isStopped_ = true;
    timer_.cancel();
}

template <typename Page>
void ViewWatch<Page>::beginRound()
{
    ++round_;
    repeats_ = 0;
    hasWaitedForLoop_ = false;
    runAfter(timing_.wait + kRepeatDelay, &ViewWatch::repeat);
    send(timing_.wait);
}

template <typename Page>
void ViewWatch<Page>::send(std::chrono::milliseconds wait)
{
    ++outstanding_;
    request_({.after = version_, .wait = wait},
             [self = this->shared_from_this(), round = round_, after = version_,
              requestedAt = hooks_.clock()](const base::Result<Page> &page) {
                 --self->outstanding_;
                 if (!self->isStopped_)
                     self->handle(round, after, requestedAt, page);
             });
}

// Answers can overtake each other. Rows of a version that another answer has passed must not be
// applied: they can be older than those known.
template <typename Page>
void ViewWatch<Page>::handle(std::uint64_t round, Version after, scheduler::Millis requestedAt,
                             const base::Result<Page> &page)
{
    const bool isCurrent = round == round_;
    if (!page) {
        if (isCurrent)
            handleFailure(page.error());
        return;
    }
    const bool isPassed = version_ != after && page.value().version <= version_;
    version_ = std::max(version_, page.value().version);
    hooks_.onRows(isPassed ? Page() : page.value());
    if (!page.value().hasMore)
        view_.recordAnswer(requestedAt, hooks_.clock());
    if (!isCurrent)
        return;
    ++round_;
    runAfter(page.value().hasMore ? kNoWait : timing_.pause, &ViewWatch::beginRound);
}

template <typename Page>
void ViewWatch<Page>::handleFailure(const base::Error &error)
{
    view_.recordFailure();
    if (hooks_.onFailure)
        hooks_.onFailure(error);
    if (error.code != base::Code::HistoryUnavailable) {
        // A repeat that is due earlier stays.
        if (timer_.expiry() > std::chrono::steady_clock::now() + kRepeatDelay)
            runAfter(kRepeatDelay, &ViewWatch::repeat);
        return;
    }
    ++round_;
    timer_.cancel();
    hooks_.onHistoryLost();
}

template <typename Page>
void ViewWatch<Page>::repeat()
{
    const bool isLoopBusy = std::chrono::steady_clock::now() - timer_.expiry() > kLateTimer;
    if (isLoopBusy && !std::exchange(hasWaitedForLoop_, true))
        return runAfter(kRepeatDelay, &ViewWatch::repeat);
    runAfter(kRepeatDelay * (1 << std::min(repeats_++, kMaxDoublings)), &ViewWatch::repeat);
    if (outstanding_ < kMaxOutstanding)
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
