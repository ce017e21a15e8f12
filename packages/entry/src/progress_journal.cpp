#include "progress_journal.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/records.h>

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

// Changes within this time share one write; it is short compared with a task's run time.
constexpr auto kBatchDelay = 15ms;
constexpr auto kRetryPause = 50ms;
// The timeout starts short because a lost answer delays the write by one timeout. It doubles after
// each failure, in case the store is slow.
constexpr auto kMinTimeout = 400ms;
constexpr auto kMaxTimeout = 2000ms;
// The store accepts 100 entries per call; each row needs two, a condition and a write.
constexpr std::size_t kRowsPerWrite = 48;
// The store accepts 1 MB per call, in which a value takes a third more than its bytes.
constexpr std::size_t kBytesPerWrite = 600'000;

} // namespace

ProgressJournal::ProgressJournal(boost::asio::io_context &loop, Table &table, CellRows rows,
                                 scheduler::Scheduler &scheduler, std::function<bool()> mayWrite)
    : loop_(loop)
    , table_(table)
    , rows_(std::move(rows))
    , scheduler_(scheduler)
    , mayWrite_(std::move(mayWrite))
    , timer_(loop)
    , timeout_(kMinTimeout)
{}

void ProgressJournal::stop()
{
    isStopped_ = true;
    timer_.cancel();
}

bool ProgressJournal::isPending(const std::string &id) const
{
    return unwritten_.contains(id) || scheduler_.isDirty(id);
}

void ProgressJournal::request()
{
    if (isBusy_ || isStopped_)
        return;
    isBusy_ = true;
    timer_.expires_after(kBatchDelay);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->flush();
    });
}

void ProgressJournal::flush()
{
    if (isStopped_)
        return;
    batch_ = scheduler_.batch();
    for (std::string &id : scheduler_.takeDirtyJobs())
        unwritten_.insert(std::move(id));
    writeChunk();
}

void ProgressJournal::writeChunk()
{
    if (!mayWrite_())
        return retryLater();
    Transaction transaction;
    std::vector<std::string> ids;
    std::size_t bytes = 0;
    for (auto item = unwritten_.begin(); item != unwritten_.end() && ids.size() < kRowsPerWrite
                                         && bytes + kMaxRowBytes <= kBytesPerWrite;) {
        const auto progress = scheduler_.progressOf(*item);
        if (!progress) {
            item = unwritten_.erase(item);
            continue;
        }
        const RowKey key = rows_.progressRow(*item);
        transaction.conditions.push_back({.key = key, .version = versions_[*item]});
        transaction.writes.push_back({.key = key, .value = encodeWithin(*progress, kMaxRowBytes)});
        bytes += transaction.writes.back().value.size();
        ids.push_back(*item);
        ++item;
    }
    if (ids.empty()) {
        isBusy_ = false;
        scheduler_.progressStored(batch_);
        return;
    }
    table_.transact(
            transaction, timeout_,
            [self = shared_from_this(), ids](const base::Result<TransactionResult> &result) {
                if (!self->isStopped_)
                    self->handleResult(ids, result);
            });
}

void ProgressJournal::handleResult(const std::vector<std::string> &ids,
                                   const base::Result<TransactionResult> &result)
{
    if (!result) {
        timeout_ = std::min<std::chrono::milliseconds>(timeout_ * 2, kMaxTimeout);
        return retryLater();
    }
    timeout_ = std::max<std::chrono::milliseconds>(timeout_ / 2, kMinTimeout);
    if (!result.value().isCommitted) {
        for (const Row &row : result.value().current) {
            versions_[row.key.key] = row.version;
            const auto stored = decodeProgress(row.value);
            if (row.version != 0 && stored)
                scheduler_.mergeStoredProgress(row.key.key, stored.value());
        }
        return writeChunk();
    }
    for (const std::string &id : ids) {
        versions_[id] = result.value().version;
        unwritten_.erase(id);
        const auto state = scheduler_.stateOf(id);
        if (state && scheduler::isTerminal(*state) && !scheduler_.isDirty(id))
            ended_.push_back(id);
    }
    if (!unwritten_.empty())
        return writeChunk();
    isBusy_ = false;
    scheduler_.progressStored(batch_);
    if (scheduler_.hasDirtyJobs())
        request();
}

std::vector<std::string> ProgressJournal::takeEndedJobs()
{
    // Each job is one write, and the store accepts 100 entries per call.
    constexpr std::size_t kMaxTakenJobs = 90;
    const std::size_t count = std::min(ended_.size(), kMaxTakenJobs);
    std::vector<std::string> taken(ended_.end() - static_cast<std::ptrdiff_t>(count), ended_.end());
    ended_.resize(ended_.size() - count);
    return taken;
}

void ProgressJournal::retryLater()
{
    timer_.expires_after(kRetryPause);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->isStopped_)
            self->writeChunk();
    });
}

} // namespace chicorywick::entry
