#pragma once

#include "upstream_state.h"

#include <chicorywick/serving/admission_rule.h>
#include <chicorywick/serving/fair_queue.h>
#include <chicorywick/serving/retry_budget.h>

#include <map>
#include <memory>
#include <string>

namespace chicorywick::serving {

/// @brief Queue, rate and retry budget of one service; preserved across routing table updates.
struct ServiceState
{
    explicit ServiceState(std::string serviceName)
        : name(std::move(serviceName))
    {}

    const std::string name;
    std::atomic<std::size_t> slotsInUse{0};
    std::atomic<base::Duration> meanHoldTime{base::Duration{}};
    RetryBudget retries;

    /// Length of `queue`, readable without the lock.
    std::atomic<std::size_t> queued{0};
    std::atomic<base::TimePoint> nextSweep{base::TimePoint{}};
    std::mutex mutex;
    FairQueue queue;
    /// Time at which the queue last became non-empty.
    base::TimePoint nonEmptySince;

    /// Serializes ejections, so that the number of ejected upstreams stays within its limit.
    std::mutex ejectionMutex;

    /// All upstreams by id; accessed only with the mutex for routing updates locked.
    std::map<std::string, std::shared_ptr<UpstreamState>> upstreams;
};

/// @brief The currently observed service rate.
ServiceRate rateOf(const ServiceState &service);

/// @brief Adds one observed hold time of a slot to the mean.
void recordHoldTime(ServiceState &service, base::Duration holdTime);

/// @brief Returns true if the calling thread must sweep the queue now; at most one does per
/// interval.
bool claimSweep(ServiceState &service, base::TimePoint now, base::Duration interval);

} // namespace chicorywick::serving
