#include "table_watch.h"

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kWait = 500ms;
constexpr auto kNoWait = 0ms;
// An answer takes a few milliseconds beyond the wait. A later one is lost, or its connection is
// silent, which shows only after the time limit of the request.
constexpr std::chrono::milliseconds kRepeatDelay = 150ms;
// Bounds the calls while the store does not answer.
constexpr int kMaxOutstanding = 3;
// Pause between two watches. Every change would cost a call otherwise.
constexpr std::chrono::milliseconds kPause = 50ms;

} // namespace

TableWatch::TableWatch(boost::asio::io_context &loop, Table &table, std::string name,
                       TableWatchHooks hooks)
    : table_(table)
    , name_(std::move(name))
    , hooks_(std::move(hooks))
    , timer_(loop)
{}

void TableWatch::resume(Version after)
{
    version_ = after;
    beginRound();
}

void TableWatch::stop()
{
    isStopped_ = true;
    timer_.cancel();
}

void TableWatch::beginRound()
{
    ++round_;
    runAfter(kWait + kRepeatDelay, &TableWatch::repeat);
    request(kWait);
}

void TableWatch::request(std::chrono::milliseconds wait)
{
    ++outstanding_;
    table_.watch(name_, version_, wait,
                 [self = shared_from_this(), round = round_,
                  requestedAt = hooks_.clock()](const base::Result<RowPage> &page) {
                     --self->outstanding_;
                     if (!self->isStopped_)
                         self->handle(round, requestedAt, page);
                 });
}

// An answer to a request of a former round still has rows that may be new.
void TableWatch::handle(std::uint64_t round, scheduler::Millis requestedAt,
                        const base::Result<RowPage> &page)
{
    const bool isCurrent = round == round_;
    if (!page) {
        if (!isCurrent)
            return;
        view_.recordFailure();
        if (page.error().code == base::Code::HistoryUnavailable) {
            ++round_;
            timer_.cancel();
            return hooks_.onHistoryLost();
        }
        return runAfter(kRepeatDelay, &TableWatch::repeat);
    }
    version_ = std::max(version_, page.value().version);
    hooks_.onRows(page.value());
    view_.recordAnswer(requestedAt, hooks_.clock());
    if (!isCurrent)
        return;
    ++round_;
    runAfter(kPause, &TableWatch::beginRound);
}

void TableWatch::repeat()
{
    runAfter(kRepeatDelay, &TableWatch::repeat);
    if (outstanding_ < kMaxOutstanding)
        request(kNoWait);
}

// Replaces the action that is due, also one whose handler is queued already.
void TableWatch::runAfter(std::chrono::milliseconds delay, void (TableWatch::*action)())
{
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this(), action,
                       number = ++actions_](const boost::system::error_code &error) {
        if (!error && !self->isStopped_ && number == self->actions_)
            (self.get()->*action)();
    });
}

} // namespace chicorywick::entry
