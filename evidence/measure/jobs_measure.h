#pragma once

#include <chicorywick/jobs/job_driver.h>
#include <chicorywick/platform/memory_platform.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace chicorywick::measure {

/// @brief Deployment sizes from the design document.
struct JobsDeployment
{
    const char *name;
    int workers;
    int accelerators;
    int pools;
    int teams;
    int drivers;
    int urgentJobs;
};

constexpr JobsDeployment kToday{"today", 50, 8, 1, 5, 2, 60};
constexpr JobsDeployment kTarget{"target", 7400, 10000, 28, 78, 8, 300};

/// @brief Measures decision time by size, packing and predicted job sizes.
nlohmann::json measureDecisions(std::uint64_t seed);
/// @brief Measures urgent starts in full pools, row writes and driver step time.
nlohmann::json measureUrgent(const JobsDeployment &deployment, std::uint64_t seed);
/// @brief Measures jobs started per second under the write budget.
nlohmann::json measureThroughput(std::uint64_t seed);
/// @brief Counts attempts wasted on bad workers, with or without quarantine.
nlohmann::json measureQuarantine(bool quarantine, std::uint64_t seed);

/// @brief The value at the given share (0 to 1) of the sorted values.
double quantile(std::vector<double> values, double share);

/// @brief An in-memory platform in virtual time with job drivers that share its pools.
class JobsFake
{
public:
    JobsFake(const JobsDeployment &deployment, std::uint64_t seed, bool quarantine = true);

    void addWorkers();
    /// @brief Advances virtual time; each driver runs one step per 500 ms.
    void run(base::Duration duration);
    std::size_t write(const std::vector<jobs::JobChange> &changes);
    jobs::Job makeJob(const std::string &id, int pool, jobs::JobClass jobClass,
                      const platform::Capacity &resources, const std::string &team,
                      const std::string &kind);

    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    base::Clock clock{time};
    std::shared_ptr<platform::MemoryPlatform> platform;
    platform::MemoryAccess access;
    jobs::JobRepository repository;
    std::vector<jobs::JobDriver> drivers;
    std::vector<double> stepMillis;
    std::size_t preempted = 0;
    std::size_t quarantined = 0;

private:
    JobsDeployment deployment_;
    std::uint64_t seed_;
    bool quarantine_;
};

} // namespace chicorywick::measure
