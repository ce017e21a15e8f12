#include "chicorywick/v1/fleet.pb.h"
#include "chicorywick/v1/jobs.pb.h"

#include <chicorywick/base/unique_id.h>
#include <chicorywick/jobs/job_repository.h>

#include <algorithm>
#include <numeric>

namespace chicorywick::jobs {

namespace {

const std::string kJobPrefix = "job/";
const std::string kWorkerPrefix = "worker/";
const std::string kInstancePrefix = "instance/";

// Above the largest number of workers or instances that the design page names.
constexpr std::size_t kMaxFleetRows = 50'000;

constexpr int kMaxPayloadAttempts = 3;
constexpr int kMaxGroupAttempts = 2;

base::Result<StoredJob> parseJob(const platform::Row &row)
{
    v1::JobRow message;
    if (!message.ParseFromString(row.value))
        return base::makeError(base::Code::PlatformMalformedResponse, row.key);
    BOOST_OUTCOME_TRY(job, Job::fromRow(message));
    return StoredJob{std::move(job), row.version, row.writer};
}

base::Result<StoredWorker> parseWorker(const platform::Row &row)
{
    v1::WorkerRow message;
    if (!message.ParseFromString(row.value))
        return base::makeError(base::Code::PlatformMalformedResponse, row.key);
    return StoredWorker{WorkerRecord{.id = message.id(),
                                     .quarantined = message.quarantined(),
                                     .reason = message.reason(),
                                     .since = base::fromMillis(message.since_ms()),
                                     .failedJobs = {message.failed_jobs().begin(),
                                                    message.failed_jobs().end()}},
                        row.version};
}

WriteOutcome outcomeOf(base::Code code)
{
    if (code == base::Code::PlatformUnknownOutcome)
        return WriteOutcome::Unknown;
    return code == base::Code::TableConflict ? WriteOutcome::Conflict : WriteOutcome::NotWritten;
}

} // namespace

void addChange(platform::Transaction &transaction, const JobChange &change)
{
    const std::string key = jobKey(change.job.spec().pool, change.job.spec().id);
    transaction.conditions.push_back({key, change.version});
    transaction.puts.push_back({key, change.job.toRow().SerializeAsString()});
}

void addChange(platform::Transaction &transaction, const WorkerRecord &worker,
               std::uint64_t version)
{
    v1::WorkerRow row;
    row.set_id(worker.id);
    row.set_quarantined(worker.quarantined);
    row.set_reason(worker.reason);
    row.set_since_ms(base::toMillis(worker.since));
    for (const std::string &job : worker.failedJobs)
        row.add_failed_jobs(job);
    transaction.conditions.push_back({kWorkerPrefix + worker.id, version});
    transaction.puts.push_back({kWorkerPrefix + worker.id, row.SerializeAsString()});
}

JobRepository::JobRepository(platform::Table table, platform::ObjectStore objects,
                             CallHook beforeCall)
    : table_(std::move(table))
    , objects_(std::move(objects))
    , beforeCall_(std::move(beforeCall))
{}

void JobRepository::notifyBeforeCall(const char *call) const
{
    if (beforeCall_)
        beforeCall_(call);
}

base::Result<std::optional<StoredJob>> JobRepository::get(const std::string &key) const
{
    notifyBeforeCall("Table.get");
    BOOST_OUTCOME_TRY(row, table_.get(key));
    if (!row)
        return std::optional<StoredJob>();
    BOOST_OUTCOME_TRY(job, parseJob(*row));
    return std::optional<StoredJob>(std::move(job));
}

base::Result<JobPage> JobRepository::scan(const std::string &pool, const std::string &after,
                                          std::uint32_t limit) const
{
    notifyBeforeCall("Table.scan");
    const std::string prefix = pool.empty() ? kJobPrefix : kJobPrefix + pool + "/";
    BOOST_OUTCOME_TRY(page, table_.scan(prefix, after, limit));
    JobPage jobs;
    for (const platform::Row &row : page.rows) {
        BOOST_OUTCOME_TRY(job, parseJob(row));
        jobs.jobs.push_back(std::move(job));
    }
    if (page.more)
        jobs.next = page.rows.back().key;
    return jobs;
}

base::Result<JobSpec> JobRepository::storePayload(JobSpec spec) const
{
    if (spec.payload.size() <= kMaxInlinePayload)
        return spec;
    spec.payloadObject = platform::objectName("job-payload", spec.payload);
    base::Result<void> stored = base::ok();
    // The object name is derived from the content, so a put can be repeated safely.
    for (int i = 0; i < kMaxPayloadAttempts; ++i) {
        notifyBeforeCall("ObjectStore.put");
        stored = objects_.put(spec.payloadObject, spec.payload);
        if (stored)
            break;
    }
    if (!stored)
        return base::makeError(base::Code::JobNotAccepted,
                               "the payload could not be stored: " + stored.error().message);
    spec.payload.clear();
    return spec;
}

base::Result<std::string> JobRepository::loadPayload(const JobSpec &spec) const
{
    if (spec.payloadObject.empty())
        return spec.payload;
    notifyBeforeCall("ObjectStore.get");
    return objects_.get(spec.payloadObject);
}

std::vector<WriteResult> JobRepository::write(const std::vector<JobChange> &changes,
                                              const base::Clock &clock,
                                              base::TokenBucket &budget) const
{
    std::vector<WriteResult> results(changes.size());
    for (std::size_t first = 0; first < changes.size(); first += kMaxGroupedChanges) {
        const std::size_t last = std::min(first + kMaxGroupedChanges, changes.size());
        if (!budget.tryTake(clock.now(), static_cast<double>(last - first)))
            break;
        writeGroup(changes, first, last, results);
        // Sends no further groups to a table that does not answer; later steps decide again.
        if (results[first].outcome == WriteOutcome::NotWritten)
            break;
    }
    return results;
}

void JobRepository::writeGroup(const std::vector<JobChange> &changes, std::size_t first,
                               std::size_t last, std::vector<WriteResult> &results) const
{
    std::vector<std::size_t> group(last - first);
    std::iota(group.begin(), group.end(), first);
    for (int i = 0; i < kMaxGroupAttempts && !group.empty(); ++i) {
        platform::Transaction transaction;
        transaction.writer = base::uniqueId();
        for (const std::size_t index : group)
            addChange(transaction, changes[index]);
        notifyBeforeCall("Table.commit");
        const auto committed = platform::commitResolved(table_, transaction);
        const WriteOutcome outcome =
                committed ? WriteOutcome::Written : outcomeOf(committed.error().code);
        for (const std::size_t index : group)
            results[index] = {outcome, committed ? committed.value() : 0, transaction.writer};
        if (outcome != WriteOutcome::Conflict)
            return;
        group = unchanged(changes, group, results);
    }
}

std::vector<std::size_t> JobRepository::unchanged(const std::vector<JobChange> &changes,
                                                  const std::vector<std::size_t> &group,
                                                  std::vector<WriteResult> &results) const
{
    std::vector<std::size_t> same;
    for (const std::size_t index : group) {
        const JobSpec &spec = changes[index].job.spec();
        const auto row = get(jobKey(spec.pool, spec.id));
        const std::uint64_t version = row && row.value() ? row.value()->version : 0;
        if (row && version == changes[index].version)
            same.push_back(index);
        else
            results[index].outcome = WriteOutcome::Conflict;
    }
    return same;
}

void JobRepository::removeFinished(
        const std::vector<std::pair<std::string, std::uint64_t>> &rows) const
{
    platform::Transaction transaction;
    transaction.writer = base::uniqueId();
    for (const auto &[key, version] : rows) {
        transaction.conditions.push_back({key, version});
        transaction.deletes.push_back(key);
    }
    notifyBeforeCall("Table.commit");
    static_cast<void>(table_.commit(transaction));
}

base::Result<std::vector<StoredWorker>> JobRepository::workers() const
{
    notifyBeforeCall("Table.scan");
    BOOST_OUTCOME_TRY(rows, table_.scanAll(kWorkerPrefix, kMaxFleetRows));
    std::vector<StoredWorker> workers;
    for (const platform::Row &row : rows) {
        BOOST_OUTCOME_TRY(worker, parseWorker(row));
        workers.push_back(std::move(worker));
    }
    return workers;
}

base::Result<std::optional<StoredWorker>> JobRepository::worker(const std::string &id) const
{
    notifyBeforeCall("Table.get");
    BOOST_OUTCOME_TRY(row, table_.get(kWorkerPrefix + id));
    if (!row)
        return std::optional<StoredWorker>();
    BOOST_OUTCOME_TRY(worker, parseWorker(*row));
    return std::optional<StoredWorker>(std::move(worker));
}

base::Result<std::uint64_t> JobRepository::writeWorker(const WorkerRecord &worker,
                                                       std::uint64_t version) const
{
    platform::Transaction transaction;
    transaction.writer = base::uniqueId();
    addChange(transaction, worker, version);
    notifyBeforeCall("Table.commit");
    return platform::commitResolved(table_, transaction);
}

base::Result<std::map<std::string, std::string>> JobRepository::instancePools() const
{
    notifyBeforeCall("Table.scan");
    BOOST_OUTCOME_TRY(rows, table_.scanAll(kInstancePrefix, kMaxFleetRows));
    std::map<std::string, std::string> pools;
    for (const platform::Row &row : rows) {
        v1::InstanceRow message;
        if (!message.ParseFromString(row.value))
            return base::makeError(base::Code::PlatformMalformedResponse, row.key);
        pools.insert_or_assign(message.id(), message.pool());
    }
    return pools;
}

} // namespace chicorywick::jobs
