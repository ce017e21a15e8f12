#pragma once

#include <chicorywick/jobs/attempt_decision.h>
#include <chicorywick/jobs/job_repository.h>
#include <chicorywick/jobs/scheduling.h>
#include <chicorywick/platform/workers.h>

#include <memory>

namespace chicorywick::jobs {

/// @brief The platform services that a driver uses.
struct JobPlatform
{
    platform::Table table;
    platform::ObjectStore objects;
    platform::InstanceList list;
    platform::Workers workers;
};

/// @brief Settings of a driver.
struct JobDriverOptions
{
    base::Clock clock;
    LeaseTimes lease;
    /// Pool of workers that have no instance row; empty leaves them unused.
    std::string defaultPool;
    base::Duration scanInterval = std::chrono::seconds(1);
    base::Duration pollInterval = std::chrono::seconds(1);
    base::Duration listInterval = std::chrono::seconds(2);
    base::Duration fleetInterval = std::chrono::seconds(5);
    std::size_t maxPollsPerStep = 200;
    std::size_t maxStartsPerStep = 80;
    /// Rows of finished jobs are kept for this long.
    base::Duration finishedRetention = std::chrono::hours(1);
    /// Disabled only in measurements that compare runs with and without quarantine.
    bool quarantineWorkers = true;
    std::uint64_t seed = 1;
    /// Shared with the job service of the same daemon; made from kDefaultWritesPerSecond if null.
    std::shared_ptr<base::TokenBucket> writeBudget;
    CallHook beforeCall;
};

/// @brief Row writes per second of all daemons together: below a third of the table's 400.
constexpr double kDefaultWritesPerSecond = 120;

/// @brief Creates the bucket for one daemon's row writes; its burst always covers a whole group.
std::shared_ptr<base::TokenBucket> makeWriteBudget(double writesPerSecond);

/// @brief Counters of one step.
struct JobStepReport
{
    std::size_t queued = 0;
    std::size_t active = 0;
    std::size_t started = 0;
    std::size_t finished = 0;
    std::size_t preempted = 0;
    std::size_t quarantined = 0;
    std::size_t polledWorkers = 0;
    bool tableDown = false;

    bool operator==(const JobStepReport &) const = default;
};

/// @brief Schedules and supervises the jobs of a set of pools. Several drivers may safely share
/// a pool.
///
/// All methods must be called from one thread.
class JobDriver
{
public:
    JobDriver(const JobPlatform &platform, JobDriverOptions options);
    ~JobDriver();
    JobDriver(JobDriver &&) noexcept;
    JobDriver &operator=(JobDriver &&) noexcept;

    void setPools(std::vector<std::string> pools);
    void setQuotas(const std::vector<TeamQuota> &quotas);

    /// @brief Runs one pass over all pools with a bounded amount of work.
    JobStepReport step(base::TimePoint now);

private:
    class Core;
    std::unique_ptr<Core> core_;
};

} // namespace chicorywick::jobs
