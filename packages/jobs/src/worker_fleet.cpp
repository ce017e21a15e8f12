#include "worker_fleet.h"

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// The instance list lags: it lists a worker as leaving only some time after the worker went down.
constexpr base::Duration kInterruptionWindow = std::chrono::seconds(60);

} // namespace

void WorkerFleet::updateListing(const platform::InstanceListing &listing, base::TimePoint now)
{
    std::map<std::string, platform::ListedInstance> workers;
    for (const platform::ListedInstance &instance : listing.instances) {
        if (instance.kind != platform::InstanceKind::Worker)
            continue;
        workers.emplace(instance.id, instance);
        if (instance.leaving)
            outOfService_[instance.id] = now;
    }
    for (const auto &[id, instance] : workers_) {
        if (!workers.contains(id))
            outOfService_[id] = now;
    }
    std::erase_if(outOfService_,
                  [&](const auto &entry) { return now - entry.second > kInterruptionWindow; });
    std::erase_if(avoided_, [&](const auto &entry) { return entry.second <= now; });
    workers_ = std::move(workers);
    indexPools();
}

void WorkerFleet::updatePools(std::map<std::string, std::string> pools)
{
    pools_ = std::move(pools);
    indexPools();
}

void WorkerFleet::indexPools()
{
    index_.clear();
    for (const auto &[id, instance] : workers_) {
        PoolIndex &pool = index_[poolOf(id)];
        pool.workers.push_back(&instance);
        auto &capacities = pool.capacities;
        if (std::find(capacities.begin(), capacities.end(), instance.capacity) == capacities.end())
            capacities.push_back(instance.capacity);
    }
}

const WorkerFleet::PoolIndex &WorkerFleet::indexOf(const std::string &pool) const
{
    static const PoolIndex kEmpty;
    const auto found = index_.find(pool);
    return found == index_.end() ? kEmpty : found->second;
}

std::vector<std::string>
WorkerFleet::updateQuarantineRecords(const std::vector<StoredWorker> &records)
{
    std::vector<std::string> released;
    std::map<std::string, Record> next;
    for (const StoredWorker &stored : records) {
        next[stored.worker.id] = {stored.worker.quarantined, stored.version};
        if (!stored.worker.quarantined && isQuarantined(stored.worker.id))
            released.push_back(stored.worker.id);
    }
    records_ = std::move(next);
    return released;
}

void WorkerFleet::setQuarantined(const std::string &worker, std::uint64_t version)
{
    records_[worker] = {true, version};
}

void WorkerFleet::avoidUntil(const std::string &worker, base::TimePoint until)
{
    avoided_[worker] = until;
}

std::vector<WorkerView> WorkerFleet::placeable(const std::string &pool, base::TimePoint now) const
{
    std::vector<WorkerView> views;
    for (const platform::ListedInstance *instance : indexOf(pool).workers) {
        const auto avoided = avoided_.find(instance->id);
        const bool isAvoided = avoided != avoided_.end() && avoided->second > now;
        if (instance->leaving || isAvoided || isQuarantined(instance->id))
            continue;
        views.push_back({.id = instance->id,
                         .zone = instance->zone,
                         .rack = instance->rack,
                         .capacity = instance->capacity});
    }
    return views;
}

const std::vector<platform::Capacity> &WorkerFleet::capacities(const std::string &pool) const
{
    return indexOf(pool).capacities;
}

std::string WorkerFleet::poolOf(const std::string &worker) const
{
    const auto found = pools_.find(worker);
    return found == pools_.end() ? defaultPool_ : found->second;
}

std::size_t WorkerFleet::poolSize(const std::string &pool) const
{
    return indexOf(pool).workers.size();
}

std::size_t WorkerFleet::quarantinedCount(const std::string &pool) const
{
    std::size_t count = 0;
    for (const auto &[id, record] : records_)
        count += record.quarantined && poolOf(id) == pool ? 1 : 0;
    return count;
}

bool WorkerFleet::isQuarantined(const std::string &worker) const
{
    const auto found = records_.find(worker);
    return found != records_.end() && found->second.quarantined;
}

std::uint64_t WorkerFleet::recordVersion(const std::string &worker) const
{
    const auto found = records_.find(worker);
    return found == records_.end() ? 0 : found->second.version;
}

bool WorkerFleet::wasInterrupted(const std::string &worker, base::TimePoint now) const
{
    const auto found = outOfService_.find(worker);
    return (found != outOfService_.end() && now - found->second <= kInterruptionWindow)
           || !workers_.contains(worker);
}

} // namespace chicorywick::jobs
