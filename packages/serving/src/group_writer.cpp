#include "group_writer.h"

#include <chicorywick/base/unique_id.h>

#include <algorithm>
#include <set>

namespace chicorywick::serving {

namespace {

constexpr int kMaxRounds = 4;

using Write = GroupWriter::Write;

platform::Transaction transactionOf(const std::vector<Write> &writes, const std::string &writer)
{
    platform::Transaction transaction;
    transaction.writer = writer;
    for (const Write &write : writes) {
        transaction.conditions.push_back({write->key, write->expectedVersion});
        transaction.puts.push_back({write->key, write->value});
    }
    return transaction;
}

std::uint64_t versionOf(const std::optional<platform::Row> &row)
{
    return row ? row->version : 0;
}

} // namespace

bool GroupWriter::submit(const Write &write)
{
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() >= options_.maxWaiting || isShutDown_)
            return false;
        queue_.push_back(write);
    }
    submitted_.notify_one();
    return true;
}

WriteState GroupWriter::await(const Write &write, base::Duration limit, bool withdraw)
{
    std::unique_lock lock(mutex_);
    ended_.wait_for(lock, limit,
                    [&] { return write->state != WriteState::Waiting || isShutDown_; });
    if (write->state == WriteState::Waiting && withdraw)
        write->isWithdrawn = true;
    return write->state;
}

void GroupWriter::waitForWork(base::Duration idleLimit, base::Duration groupWait)
{
    std::unique_lock lock(mutex_);
    submitted_.wait_for(lock, idleLimit, [this] { return !queue_.empty() || isShutDown_; });
    if (queue_.empty() || isShutDown_)
        return;
    submitted_.wait_for(lock, groupWait,
                        [this] { return queue_.size() >= options_.maxGroup || isShutDown_; });
}

void GroupWriter::shutDown()
{
    {
        const std::lock_guard lock(mutex_);
        isShutDown_ = true;
    }
    submitted_.notify_all();
    ended_.notify_all();
}

// Two writes to the same row cannot share a transaction; the second waits for the next group.
std::vector<Write> GroupWriter::takeGroup()
{
    const std::lock_guard lock(mutex_);
    std::vector<Write> group;
    std::deque<Write> later;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    while (!queue_.empty() && group.size() < options_.maxGroup) {
        Write write = std::move(queue_.front());
        queue_.pop_front();
        if (write->isWithdrawn) {
            write->state = WriteState::Failed;
            continue;
        }
        const bool fits = group.empty() || bytes + write->value.size() <= options_.maxGroupBytes;
        if (fits && keys.insert(write->key).second) {
            bytes += write->value.size();
            group.push_back(std::move(write));
        } else {
            later.push_back(std::move(write));
        }
    }
    queue_.insert(queue_.begin(), later.begin(), later.end());
    return group;
}

std::vector<Write> GroupWriter::step()
{
    std::vector<Write> group = takeGroup();
    if (!group.empty())
        commitGroup(group);
    return group;
}

void GroupWriter::commitGroup(const std::vector<Write> &group)
{
    std::vector<Write> remaining = group;
    for (int round = 0; round < kMaxRounds && !remaining.empty(); ++round) {
        if (!commitRound(remaining))
            return;
    }
    // Each round ended with a conflict, so none of the remaining writes was applied.
    end(remaining, WriteState::Failed);
}

// Returns true if the remaining writes should be committed again.
bool GroupWriter::commitRound(std::vector<Write> &remaining)
{
    const std::string writer = base::uniqueId();
    const auto version = platform::commitResolved(table_, transactionOf(remaining, writer));
    {
        const std::lock_guard lock(mutex_);
        ++counters_.transactions;
    }
    if (version) {
        end(remaining, WriteState::Written, version.value());
        return false;
    }
    if (version.error().code == base::Code::TableConflict)
        return resolve(remaining, writer, false);
    if (version.error().code == base::Code::PlatformUnknownOutcome)
        return resolve(remaining, writer, true);
    end(remaining, WriteState::Failed);
    return false;
}

// Finds the rows that conflict with the transaction. If its outcome is unknown, a row written by it
// proves that it was applied. A row with another version proves that it can never be applied,
// provided that a second read finds no row written by it. Versions only increase, so both proofs
// remain valid.
bool GroupWriter::resolve(std::vector<Write> &remaining, const std::string &writer,
                          bool mayBeApplied)
{
    std::vector<std::optional<platform::Row>> rows;
    const auto readAll = [&] {
        rows.clear();
        for (const Write &write : remaining) {
            auto row = table_.get(write->key);
            if (!row)
                return false;
            rows.push_back(std::move(row.value()));
        }
        return true;
    };
    const auto findConflict = [&] {
        for (std::size_t i = 0; i < remaining.size(); ++i) {
            if (versionOf(rows[i]) != remaining[i]->expectedVersion)
                return true;
        }
        return false;
    };
    const WriteState undecided = mayBeApplied ? WriteState::Unresolved : WriteState::Failed;
    if (!readAll() || (mayBeApplied && (!findConflict() || !readAll()))) {
        end(remaining, undecided);
        return false;
    }
    const auto own = std::find_if(rows.begin(), rows.end(),
                                  [&](const auto &row) { return row && row->writer == writer; });
    if (own != rows.end()) {
        end(remaining, WriteState::Written, (*own)->version);
        return false;
    }
    std::vector<Write> next;
    for (std::size_t i = 0; i < remaining.size(); ++i) {
        if (versionOf(rows[i]) != remaining[i]->expectedVersion)
            endConflict(remaining[i], std::move(rows[i]));
        else
            next.push_back(remaining[i]);
    }
    remaining = std::move(next);
    return true;
}

void GroupWriter::end(const std::vector<Write> &writes, WriteState state, std::uint64_t version)
{
    {
        const std::lock_guard lock(mutex_);
        for (const Write &write : writes) {
            write->state = state;
            write->version = version;
        }
        if (state == WriteState::Written)
            counters_.rowsWritten += writes.size();
        if (state == WriteState::Unresolved)
            counters_.unresolved += writes.size();
    }
    ended_.notify_all();
}

void GroupWriter::endConflict(const Write &write, std::optional<platform::Row> found)
{
    {
        const std::lock_guard lock(mutex_);
        write->state = WriteState::Conflict;
        write->found = std::move(found);
        ++counters_.conflicts;
    }
    ended_.notify_all();
}

std::size_t GroupWriter::waiting() const
{
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

GroupWriterCounters GroupWriter::counters() const
{
    const std::lock_guard lock(mutex_);
    return counters_;
}

} // namespace chicorywick::serving
