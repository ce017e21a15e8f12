#pragma once

#include <chicorywick/jobs/job_repository.h>
#include <chicorywick/jobs/placement.h>
#include <chicorywick/platform/instance_list.h>

#include <map>
#include <set>

namespace chicorywick::jobs {

/// @brief Workers merged from the instance list, the fleet's rows and the quarantine rows.
class WorkerFleet
{
public:
    explicit WorkerFleet(std::string defaultPool)
        : defaultPool_(std::move(defaultPool))
    {}

    void updateListing(const platform::InstanceListing &listing, base::TimePoint now);
    void updatePools(std::map<std::string, std::string> pools);
    /// @brief Replaces the quarantine rows; returns the workers released since the last call.
    std::vector<std::string> updateQuarantineRecords(const std::vector<StoredWorker> &records);
    void setQuarantined(const std::string &worker, std::uint64_t version);
    /// @brief Keeps a worker out of placement for a short while after it refused a start.
    void avoidUntil(const std::string &worker, base::TimePoint until);

    /// @brief The workers of a pool that may get new attempts.
    std::vector<WorkerView> placeable(const std::string &pool, base::TimePoint now) const;
    /// @brief The distinct total capacities of all listed workers of a pool.
    const std::vector<platform::Capacity> &capacities(const std::string &pool) const;
    std::string poolOf(const std::string &worker) const;
    std::size_t poolSize(const std::string &pool) const;
    std::size_t quarantinedCount(const std::string &pool) const;
    bool isQuarantined(const std::string &worker) const;
    std::uint64_t recordVersion(const std::string &worker) const;
    /// @brief Whether the worker is not listed, or was leaving or not listed shortly before now.
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
