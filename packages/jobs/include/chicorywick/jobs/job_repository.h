#pragma once

#include <chicorywick/base/token_bucket.h>
#include <chicorywick/jobs/job.h>
#include <chicorywick/platform/object_store.h>

#include <functional>
#include <map>
#include <optional>

namespace chicorywick::jobs {

/// @brief Called with the name of a platform call just before the call, so that a proof can
/// interleave drivers between single calls.
using CallHook = std::function<void(const char *call)>;

/// @brief A job read from its row, with the row version and the writer token.
struct StoredJob
{
    Job job;
    std::uint64_t version = 0;
    std::string writer;

    bool operator==(const StoredJob &) const = default;
};

struct JobPage
{
    std::vector<StoredJob> jobs;
    /// Key to continue after; empty at the end.
    std::string next;
};

/// @brief A new value of a job and the row version that it replaces (0 creates the row).
struct JobChange
{
    Job job;
    std::uint64_t version = 0;
};

/// @brief Quarantine state of a worker.
struct WorkerRecord
{
    std::string id;
    bool quarantined = false;
    std::string reason;
    base::TimePoint since{};
    std::vector<std::string> failedJobs;

    bool operator==(const WorkerRecord &) const = default;
};

struct StoredWorker
{
    WorkerRecord worker;
    std::uint64_t version = 0;
};

/// @brief Outcome of one change of a grouped write.
enum class WriteOutcome { Written, Conflict, NotWritten, Unknown };

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::NotWritten;
    std::uint64_t version = 0;
    std::string writer;
};

/// @brief Payloads up to this size are kept in the row, larger ones in the object store.
constexpr std::size_t kMaxInlinePayload = 4UL * 1024;

/// @brief Changes per transaction: each uses a condition and a put of the table's limit of 100
/// operations.
constexpr std::size_t kMaxGroupedChanges = 40;

/// @brief Reads and writes the rows job/<pool>/<id> and worker/<id>.
class JobRepository
{
public:
    JobRepository(platform::Table table, platform::ObjectStore objects, CallHook beforeCall = {});

    base::Result<std::optional<StoredJob>> get(const std::string &key) const;
    /// @brief One page of the jobs of a pool, or of all pools if it is empty.
    base::Result<JobPage> scan(const std::string &pool, const std::string &after,
                               std::uint32_t limit) const;

    /// @brief Moves a large payload to the object store and sets the object's name in the result.
    base::Result<JobSpec> storePayload(JobSpec spec) const;
    base::Result<std::string> loadPayload(const JobSpec &spec) const;

    /// @brief Writes the changes in groups, limited by the bucket; a conflict affects only its job.
    std::vector<WriteResult> write(const std::vector<JobChange> &changes, const base::Clock &clock,
                                   base::TokenBucket &budget) const;
    /// @brief Deletes finished rows. The result is ignored, because the next scan lists rows that
    /// remain.
    void removeFinished(const std::vector<std::pair<std::string, std::uint64_t>> &rows) const;

    base::Result<std::vector<StoredWorker>> workers() const;
    base::Result<std::optional<StoredWorker>> worker(const std::string &id) const;
    base::Result<std::uint64_t> writeWorker(const WorkerRecord &worker,
                                            std::uint64_t version) const;

    /// @brief The pool of each instance, read from the fleet's rows.
    base::Result<std::map<std::string, std::string>> instancePools() const;

    const platform::Table &table() const { return table_; }

private:
    void notifyBeforeCall(const char *call) const;
    /// Commits one group. After a conflict, the changes whose rows have changed are dropped and the
    /// others are retried once.
    void writeGroup(const std::vector<JobChange> &changes, std::size_t first, std::size_t last,
                    std::vector<WriteResult> &results) const;
    std::vector<std::size_t> unchanged(const std::vector<JobChange> &changes,
                                       const std::vector<std::size_t> &group,
                                       std::vector<WriteResult> &results) const;

    platform::Table table_;
    platform::ObjectStore objects_;
    CallHook beforeCall_;
};

/// @brief Adds the condition and the put of a change to a transaction.
void addChange(platform::Transaction &transaction, const JobChange &change);

void addChange(platform::Transaction &transaction, const WorkerRecord &worker,
               std::uint64_t version);

} // namespace chicorywick::jobs
