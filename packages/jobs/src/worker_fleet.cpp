#include "worker_fleet.h"

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// The instance list lags, and a worker that goes down is seen as leaving only afterwards.
constexpr base::Duration kInterruptionWindow = std::chrono::seconds(60);

} // namespace

void WorkerFleet::takeListing(const platform::InstanceListing &listing, base::TimePoint now)
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
}

std::vector<std::string> WorkerFleet::takeRecords(const std::vector<StoredWorker> &records)
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
    for (const auto &[id, instance] : workers_) {
        const auto avoided = avoided_.find(id);
        const bool isAvoided = avoided != avoided_.end() && avoided->second > now;
        if (instance.leaving || isAvoided || isQuarantined(id) || poolOf(id) != pool)
            continue;
        views.push_back({.id = id,
                         .zone = instance.zone,
                         .rack = instance.rack,
                         .capacity = instance.capacity});
    }
    return views;
}

std::vector<platform::Capacity> WorkerFleet::capacities(const std::string &pool) const
{
    std::vector<platform::Capacity> capacities;
    for (const auto &[id, instance] : workers_) {
        const bool isKnown = std::find(capacities.begin(), capacities.end(), instance.capacity)
                             != capacities.end();
        if (!isKnown && poolOf(id) == pool)
            capacities.push_back(instance.capacity);
    }
    return capacities;
}

std::string WorkerFleet::poolOf(const std::string &worker) const
{
    const auto found = pools_.find(worker);
    return found == pools_.end() ? defaultPool_ : found->second;
}

std::size_t WorkerFleet::poolSize(const std::string &pool) const
{
    std::size_t size = 0;
    for (const auto &[id, instance] : workers_)
        size += poolOf(id) == pool ? 1 : 0;
    return size;
}

std::size_t WorkerFleet::quarantinedIn(const std::string &pool) const
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
