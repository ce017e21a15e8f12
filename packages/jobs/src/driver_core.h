#pragma once

#include "job_cache.h"
#include "worker_fleet.h"

#include <chicorywick/base/backoff.h>
#include <chicorywick/jobs/job_driver.h>
#include <chicorywick/jobs/usage_model.h>
#include <chicorywick/jobs/worker_health.h>

#include <unordered_map>

namespace chicorywick::jobs {

/// @brief State of an attempt that a driver keeps in memory only.
struct AttemptLocalState
{
    std::uint64_t attempt = 0;
    base::TimePoint renewedAt{};
    base::TimePoint overuseSince{};
    base::TimePoint sampledAt{};
    bool isThrottled = false;
    bool isPreempted = false;
    bool isOutcomeRecorded = false;
};

/// @brief An attempt that this driver planned and whose start was definitely not carried out.
///
/// The writer token distinguishes its row from one that another driver wrote for the same attempt
/// number.
struct UnsentStart
{
    std::string writer;
    base::TimePoint until;
};

/// @brief A change of a job, applied to the row as read just before the write.
struct AttemptChange
{
    std::string key;
    std::uint64_t attempt = 0;
    std::optional<AttemptEnd> end;
    bool confirmRunning = false;
    std::optional<base::TimePoint> extendTo;
    /// The job is queued and fits no worker of its pool.
    bool isUnplaceable = false;
};

/// @brief A job chosen to start on a worker.
struct PlannedStart
{
    std::string key;
    std::string worker;
    platform::Capacity reserved;
    base::Duration expectedRunTime{};
};

/// @brief The phases of a driver's step; each does a bounded amount of work.
class JobDriver::Core
{
public:
    Core(const JobPlatform &platform, JobDriverOptions options);

    void setPools(std::vector<std::string> pools);
    void setQuotas(const std::vector<TeamQuota> &quotas);
    JobStepReport step(base::TimePoint now);

private:
    // driver_refresh.cpp
    void refreshFleet();
    void refreshRecords();
    void refreshJobs();
    bool scanPool(const std::string &pool);
    void removeFinished();
    void updateTableStatus(bool answered);
    bool isTableUsable() const;

    // driver_attempts.cpp
    /// Active attempts by worker; the pointers refer to entries of the cache.
    using ActiveJob = std::pair<const std::string, StoredJob>;
    using ActiveByWorker = std::unordered_map<std::string, std::vector<const ActiveJob *>>;

    std::vector<AttemptChange> observeAttempts();
    std::vector<std::string> workersToPoll(const ActiveByWorker &byWorker) const;
    void observeWorker(const std::string &worker, const std::vector<const ActiveJob *> &active,
                       std::vector<AttemptChange> &changes, std::size_t &failedPolls);
    void observeAttempt(const StoredJob &stored, const std::string &key,
                        AttemptObservation observation, std::vector<AttemptChange> &changes);
    void recordOutcome(const Job &job, const std::string &key, AttemptLocalState &localState,
                       AttemptObservation &observation);
    void trackUsage(const Job &job, AttemptLocalState &localState, AttemptObservation &observation);
    void sendCommand(const Job &job, const std::string &key, TaskCommand command,
                     AttemptLocalState &localState);
    AttemptLocalState &localStateOf(const std::string &key, std::uint64_t attempt);
    bool isUnsent(const StoredJob &stored, const std::string &key) const;
    void quarantineSuspects();

    // driver_writes.cpp
    void applyChanges(std::vector<AttemptChange> changes);
    std::optional<JobChange> prepareWrite(const AttemptChange &change);
    void handleWriteResults(const std::vector<JobChange> &changes,
                            const std::vector<WriteResult> &results);

    // driver_placement.cpp
    struct PoolQueue
    {
        std::vector<std::string> keys;
        std::vector<const Job *> jobs;
        std::vector<QueueEntry> entries;
    };
    using Reservations = std::unordered_map<std::string, platform::Capacity>;

    void placeQueued();
    void placePool(const std::string &pool, const Reservations &reserved, TeamShares &shares,
                   std::size_t limit, std::vector<PlannedStart> &starts);
    PoolQueue queueOf(const std::string &pool, const JobCache::Jobs &jobs);
    void trackUnplaceable(const std::string &key);
    TeamShares currentShares() const;
    Reservations currentReservations() const;
    std::vector<WorkerView> viewsOf(const std::string &pool, const Reservations &reserved) const;
    void preemptFor(const QueueEntry &entry, const std::string &key, const std::string &pool,
                    const std::vector<WorkerView> &views);
    void holdWorker(const Job &job, const platform::Capacity &requested,
                    std::vector<WorkerView> &views) const;

    // driver_starts.cpp
    void startPlanned(const std::vector<PlannedStart> &starts);
    void sendStart(const Job &job, const std::string &key, const std::string &payload,
                   const std::string &writer, std::vector<AttemptChange> &refused);

    base::TimePoint now() const { return options_.clock.now(); }
    void notifyBeforeCall(const char *call) const;

    JobPlatform platform_;
    JobDriverOptions options_;
    JobRepository repository_;
    base::Rng rng_;
    std::vector<std::string> pools_;
    std::map<std::string, TeamQuota> quotas_;

    JobCache cache_;
    WorkerFleet fleet_;
    UsageModel usage_;
    WorkerHealth health_;
    std::map<std::string, AttemptLocalState> localStates_;
    std::map<std::string, UnsentStart> unsent_;
    std::map<std::string, base::TimePoint> preemptionDeadlines_;
    std::map<std::string, base::TimePoint> unplaceableSince_;
    std::vector<AttemptChange> rejected_;
    std::map<std::string, base::TimePoint> nextPoll_;
    std::vector<std::pair<std::string, std::uint64_t>> expiredRows_;

    std::map<std::string, base::TimePoint> nextScan_;
    base::TimePoint nextListing_{};
    base::TimePoint nextRecords_{};
    base::Backoff tableBackoff_;
    base::TimePoint tableRetryAt_{};
    bool tableDown_ = false;
    JobStepReport report_;
};

} // namespace chicorywick::jobs
