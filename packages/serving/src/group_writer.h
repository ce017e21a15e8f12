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

/// @brief How a conditional write of one row ended.
enum class WriteState {
    Waiting,
    Written,
    /// Not written: the row has another version.
    Conflict,
    /// Certainly not written.
    Failed,
    /// Perhaps written, or still to be written.
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
    /// The row that stood against the write; absent if there is none.
    std::optional<platform::Row> found;
    /// Nobody waits any more; the write is left out if it is not on its way yet.
    bool isWithdrawn = false;
    WriteKind kind = WriteKind::Claim;
    /// The claim that the row concerns.
    Claim claim;
    /// Earlier tries of an abandonment.
    int tries = 0;
};

/// @brief Limits of a group writer.
struct GroupWriterOptions
{
    std::size_t maxGroup = 40;
    std::size_t maxGroupBytes = 256UL * 1024;
    std::size_t maxWaiting = 1024;
};

/// @brief Work of a group writer.
struct GroupWriterCounters
{
    std::uint64_t transactions = 0;
    std::uint64_t rowsWritten = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unresolved = 0;
};

/// @brief Commits independent conditional writes of single rows in shared transactions.
///
/// A conflict of one write does not fail the others: the conflicting rows are found by reading, and
/// the rest is committed again.
class GroupWriter
{
public:
    using Write = std::shared_ptr<PendingWrite>;

    GroupWriter(platform::Table table, GroupWriterOptions options)
        : table_(std::move(table))
        , options_(options)
    {}

    /// @brief Queues a write; false if too many wait.
    bool submit(const Write &write);

    /// @brief Waits until the write has ended and returns its state. A write still waiting
    /// afterwards is withdrawn.
    WriteState await(const Write &write, base::Duration limit, bool withdraw);

    /// @brief Commits one group; the value is the writes that ended.
    std::vector<Write> step();

    /// @brief Waits for a first write, then for others to join it.
    void waitForWork(base::Duration idleLimit, base::Duration groupWait);

    /// @brief Ends all waits.
    void shutDown();

    std::size_t waiting() const;
    GroupWriterCounters counters() const;

private:
    std::vector<Write> takeGroup();
    void commitGroup(const std::vector<Write> &group);
    bool commitRound(std::vector<Write> &rest);
    bool resolve(std::vector<Write> &rest, const std::string &writer, bool mayBeApplied);
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
