#include "driver_core.h"

#include <chicorywick/base/log_event.h>

namespace chicorywick::jobs {

namespace {

// Bounds the memory of a driver; further jobs wait in the table until others have finished.
constexpr std::size_t kMaxTrackedJobs = 100'000;
constexpr std::size_t kMaxRemovedPerStep = 20;

} // namespace

void JobDriver::Core::updateTableStatus(bool answered)
{
    if (answered) {
        if (tableDown_)
            base::logEvent(base::Event::PlatformRecovered, {{"service", "table"}});
        tableDown_ = false;
        tableBackoff_.reset();
        return;
    }
    if (!tableDown_)
        base::logEvent(base::Event::PlatformUnreachable, {{"service", "table"}});
    tableDown_ = true;
    tableRetryAt_ = now() + tableBackoff_.next(rng_);
}

bool JobDriver::Core::isTableUsable() const
{
    return !tableDown_ || now() >= tableRetryAt_;
}

void JobDriver::Core::refreshFleet()
{
    if (now() < nextListing_)
        return;
    nextListing_ = now() + options_.listInterval;
    notifyBeforeCall("InstanceList.list");
    // While the list cannot be read, the last one stays in use.
    if (const auto listing = platform_.list.list())
        fleet_.updateListing(listing.value(), now());
}

void JobDriver::Core::refreshRecords()
{
    if (now() < nextRecords_ || !isTableUsable())
        return;
    nextRecords_ = now() + options_.fleetInterval;
    auto pools = repository_.instancePools();
    updateTableStatus(pools.has_value());
    if (!pools)
        return;
    fleet_.updatePools(std::move(pools).value());
    const auto records = repository_.workers();
    if (!records)
        return;
    for (const std::string &worker : fleet_.updateQuarantineRecords(records.value()))
        health_.clearFailures(worker);
}

void JobDriver::Core::refreshJobs()
{
    for (const std::string &pool : pools_) {
        if (now() < nextScan_[pool])
            continue;
        if (!isTableUsable())
            return;
        // Jitter keeps the scans of several drivers apart.
        const auto interval = options_.scanInterval;
        nextScan_[pool] = now() + interval - base::Duration(rng_.below(interval.count() / 4 + 1));
        const bool answered = scanPool(pool);
        updateTableStatus(answered);
        if (!answered)
            return;
    }
}

bool JobDriver::Core::scanPool(const std::string &pool)
{
    JobCache::Jobs jobs;
    std::string after;
    const base::TimePoint oldest = now() - options_.finishedRetention;
    do {
        auto page = repository_.scan(pool, after, platform::kMaxScanRows);
        if (!page)
            return false;
        for (StoredJob &stored : page.value().jobs) {
            std::string key = jobKey(pool, stored.job.spec().id);
            if (isTerminal(stored.job.state())) {
                if (stored.job.finishedAt() < oldest && expiredRows_.size() < kMaxRemovedPerStep)
                    expiredRows_.emplace_back(std::move(key), stored.version);
                continue;
            }
            if (jobs.size() + cache_.size() >= kMaxTrackedJobs && !cache_.find(key))
                continue;
            stored.job = stored.job.withoutPayload();
            jobs.emplace(std::move(key), std::move(stored));
        }
        after = page.value().next;
    } while (!after.empty());
    cache_.replacePool(pool, std::move(jobs));
    std::erase_if(localStates_,
                  [&](const auto &entry) { return cache_.find(entry.first) == nullptr; });
    std::erase_if(unsent_, [&](const auto &entry) { return entry.second.until < now(); });
    std::erase_if(unplaceableSince_,
                  [&](const auto &entry) { return cache_.find(entry.first) == nullptr; });
    std::erase_if(preemptionDeadlines_, [&](const auto &entry) { return entry.second < now(); });
    return true;
}

// Removal has the lowest priority: it uses only the write budget that other writes leave.
void JobDriver::Core::removeFinished()
{
    if (expiredRows_.empty() || !isTableUsable())
        return;
    const auto rows = std::exchange(expiredRows_, {});
    const auto count = static_cast<double>(rows.size());
    if (options_.writeBudget->available(now()) < count + kMaxGroupedChanges)
        return;
    if (options_.writeBudget->tryTake(now(), count))
        repository_.removeFinished(rows);
}

} // namespace chicorywick::jobs
