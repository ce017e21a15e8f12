#include <chicorywick/jobs/worker_health.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

constexpr std::size_t kMaxWorkers = 20'000;
constexpr std::size_t kMaxKinds = 4096;
constexpr std::size_t kMaxWorkersPerKind = 32;
constexpr std::size_t kMaxFailures = 16;

// Reached by three failed jobs of kinds that almost always succeed elsewhere, or by more jobs of
// less reliable kinds.
constexpr double kMinSuspectWeight = 2.5;
constexpr std::size_t kMinSuspectJobs = 3;
// The success rate assumed for a kind without a record on other workers.
constexpr double kDefaultSuccessRate = 0.5;

constexpr std::size_t kMinCannotRunWorkers = 3;
constexpr base::Duration kHealthyWindow = std::chrono::hours(1);

template <typename Map>
void evictOldest(Map &map, std::size_t maxSize)
{
    if (map.size() < maxSize)
        return;
    const auto oldest = std::min_element(map.begin(), map.end(), [](const auto &a, const auto &b) {
        return a.second.changedAt < b.second.changedAt;
    });
    map.erase(oldest);
}

void recordTime(std::map<std::string, base::TimePoint> &times, const std::string &worker,
                base::TimePoint now)
{
    if (times.size() >= kMaxWorkersPerKind && !times.contains(worker)) {
        const auto oldest =
                std::min_element(times.begin(), times.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; });
        times.erase(oldest);
    }
    times[worker] = now;
}

} // namespace

WorkerHealth::Record &WorkerHealth::touchWorker(const std::string &worker, base::TimePoint now)
{
    if (!workers_.contains(worker))
        evictOldest(workers_, kMaxWorkers);
    Record &record = workers_[worker];
    record.changedAt = now;
    return record;
}

WorkerHealth::KindRecord &WorkerHealth::touchKind(const std::string &kind, base::TimePoint now)
{
    if (!kinds_.contains(kind))
        evictOldest(kinds_, kMaxKinds);
    KindRecord &record = kinds_[kind];
    record.changedAt = now;
    return record;
}

void WorkerHealth::recordSuccess(const std::string &worker, const std::string &kind,
                                 base::TimePoint now)
{
    Record &record = touchWorker(worker, now);
    record.failures.clear();
    record.succeededAt = now;
    KindRecord &kindRecord = touchKind(kind, now);
    recordTime(kindRecord.succeeded, worker, now);
    kindRecord.failed.erase(worker);
}

void WorkerHealth::recordFailure(const std::string &worker, const std::string &kind,
                                 const std::string &job, base::TimePoint now)
{
    Record &record = touchWorker(worker, now);
    std::erase_if(record.failures, [&](const Failure &failure) { return failure.job == job; });
    record.failures.push_back({job, kind, now});
    if (record.failures.size() > kMaxFailures)
        record.failures.pop_front();
    recordTime(touchKind(kind, now).failed, worker, now);
}

double WorkerHealth::successRate(const std::string &kind, const std::string &exceptWorker) const
{
    const auto found = kinds_.find(kind);
    if (found == kinds_.end())
        return kDefaultSuccessRate;
    const auto count = [&](const std::map<std::string, base::TimePoint> &times) {
        return static_cast<double>(times.size() - times.count(exceptWorker));
    };
    const double succeeded = count(found->second.succeeded);
    const double failed = count(found->second.failed);
    // One added success and failure (Laplace smoothing) limit the effect of a single observation.
    return (succeeded + 1) / (succeeded + failed + 2);
}

bool WorkerHealth::isSuspect(const std::string &worker) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end() || found->second.failures.size() < kMinSuspectJobs)
        return false;
    double weight = 0;
    for (const Failure &failure : found->second.failures)
        weight += successRate(failure.kind, worker);
    return weight >= kMinSuspectWeight;
}

std::vector<std::string> WorkerHealth::suspects() const
{
    std::vector<std::string> ids;
    for (const auto &[id, record] : workers_) {
        if (record.failures.size() >= kMinSuspectJobs && isSuspect(id))
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> WorkerHealth::failedJobs(const std::string &worker) const
{
    std::vector<std::string> jobs;
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return jobs;
    for (const Failure &failure : found->second.failures)
        jobs.push_back(failure.job);
    return jobs;
}

void WorkerHealth::clearFailures(const std::string &worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end())
        found->second.failures.clear();
}

bool WorkerHealth::cannotRun(const std::vector<std::string> &failedWorkers,
                             const std::string &worker, base::TimePoint now) const
{
    std::set<std::string> healthy;
    const auto addIfHealthy = [&](const std::string &id) {
        const auto found = workers_.find(id);
        if (found == workers_.end() || isSuspect(id))
            return;
        const base::TimePoint succeeded = found->second.succeededAt;
        if (succeeded != base::TimePoint{} && now - succeeded <= kHealthyWindow)
            healthy.insert(id);
    };
    std::for_each(failedWorkers.begin(), failedWorkers.end(), addIfHealthy);
    addIfHealthy(worker);
    return healthy.size() >= kMinCannotRunWorkers;
}

} // namespace chicorywick::jobs
