#pragma once

#include <chicorywick/jobs/job_repository.h>
#include <chicorywick/jobs/placement.h>
#include <chicorywick/platform/instance_list.h>

#include <map>
#include <set>

namespace chicorywick::jobs {

/// @brief The workers as the instance list, the fleet's rows and the quarantine rows show them.
class WorkerFleet
{
public:
    explicit WorkerFleet(std::string defaultPool)
        : defaultPool_(std::move(defaultPool))
    {}

    void takeListing(const platform::InstanceListing &listing, base::TimePoint now);
    void takePools(std::map<std::string, std::string> pools);
    /// @brief Takes the quarantine rows; returns the workers that have been released since.
    std::vector<std::string> takeRecords(const std::vector<StoredWorker> &records);
    void setQuarantined(const std::string &worker, std::uint64_t version);
    /// @brief Keeps a worker out of placement for a short while after it refused a start.
    void avoidUntil(const std::string &worker, base::TimePoint until);

    /// @brief The workers of a pool that may get new attempts.
    std::vector<WorkerView> placeable(const std::string &pool, base::TimePoint now) const;
    /// @brief The distinct capacities of all listed workers of a pool, free or not.
    const std::vector<platform::Capacity> &capacities(const std::string &pool) const;
    std::string poolOf(const std::string &worker) const;
    std::size_t poolSize(const std::string &pool) const;
    std::size_t quarantinedIn(const std::string &pool) const;
    bool isQuarantined(const std::string &worker) const;
    std::uint64_t recordVersion(const std::string &worker) const;
    /// @brief Whether the worker was leaving or not listed a short while before a time.
    bool wasInterrupted(const std::string &worker, base::TimePoint now) const;
    std::size_t size() const { return workers_.size(); }

private:
    struct PoolIndex
    {
        std::vector<const platform::ListedInstance *> workers;
        std::vector<platform::Capacity> capacities;
    };

    void indexPools();
    const PoolIndex &indexOf(const std::string &pool) const;

    struct Record
    {
        bool quarantined = false;
        std::uint64_t version = 0;
    };

    std::string defaultPool_;
    std::map<std::string, platform::ListedInstance> workers_;
    std::map<std::string, std::string> pools_;
    std::map<std::string, PoolIndex> index_;
    std::map<std::string, Record> records_;
    std::map<std::string, base::TimePoint> outOfService_;
    std::map<std::string, base::TimePoint> avoided_;
};

} // namespace chicorywick::jobs
