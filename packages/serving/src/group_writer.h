#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/table.h>
#include <chicorywick/serving/idempotency_store.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::serving {

/// @brief State of a conditional write of one row.
enum class WriteState {
    Waiting,
    Written,
    /// Not written: the row has another version.
    Conflict,
    /// Certainly not written.
    Failed,
    /// Possibly written, or may still be written.
    Unresolved,
};

enum class WriteKind { Claim, Completion, Abandonment };

/// @brief A conditional write of one row, shared by its submitter and the writer.
struct PendingWrite
{
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    WriteState state = WriteState::Waiting;
    std::uint64_t version = 0;
    /// The row that conflicted with the write; empty if the row does not exist.
    std::optional<platform::Row> found;
    /// The submitter has stopped waiting; the write is skipped if it has not been sent yet.
    bool isWithdrawn = false;
    WriteKind kind = WriteKind::Claim;
    /// The claim that the row stores.
    Claim claim;
    /// Earlier attempts to write an abandonment.
    int tries = 0;
};

/// @brief Limits of a group writer.
struct GroupWriterOptions
{
    std::size_t maxGroup = 40;
    std::size_t maxGroupBytes = 256UL * 1024;
    std::size_t maxWaiting = 1024;
};

/// @brief Counters of a group writer.
struct GroupWriterCounters
{
    std::uint64_t transactions = 0;
    std::uint64_t rowsWritten = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unresolved = 0;
};

/// @brief Commits independent conditional writes of single rows in shared transactions.
///
/// A conflict of one write does not fail the others: the writer reads the rows to find the
/// conflicts and commits the remaining writes again.
class GroupWriter
{
public:
    using Write = std::shared_ptr<PendingWrite>;

    GroupWriter(platform::Table table, GroupWriterOptions options)
        : table_(std::move(table))
        , options_(options)
    {}

    /// @brief Queues a write. Returns false if the queue is full or the writer is shut down.
    bool submit(const Write &write);

    /// @brief Waits until the write has ended, at most `limit`, and returns its state. If
    /// `withdraw` is set, a write that is still waiting then is withdrawn.
    WriteState await(const Write &write, base::Duration limit, bool withdraw);

    /// @brief Commits one group and returns its writes.
    std::vector<Write> step();

    /// @brief Waits for a first write, then up to `groupWait` for others to join its group.
    void waitForWork(base::Duration idleLimit, base::Duration groupWait);

    /// @brief Ends all waits and refuses further writes.
    void shutDown();

    std::size_t waiting() const;
    GroupWriterCounters counters() const;

private:
    std::vector<Write> takeGroup();
    void commitGroup(const std::vector<Write> &group);
    bool commitRound(std::vector<Write> &remaining);
    bool resolve(std::vector<Write> &remaining, const std::string &writer, bool mayBeApplied);
    void end(const std::vector<Write> &writes, WriteState state, std::uint64_t version = 0);
    void endConflict(const Write &write, std::optional<platform::Row> found);

    platform::Table table_;
    GroupWriterOptions options_;
    mutable std::mutex mutex_;
    std::condition_variable submitted_;
    std::condition_variable ended_;
    std::deque<Write> queue_;
    GroupWriterCounters counters_;
    bool isShutDown_ = false;
};

} // namespace chicorywick::serving
