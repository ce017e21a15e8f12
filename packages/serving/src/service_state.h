#pragma once

#include "upstream_state.h"

#include <chicorywick/serving/admission_rule.h>
#include <chicorywick/serving/fair_queue.h>
#include <chicorywick/serving/retry_budget.h>

#include <map>
#include <memory>
#include <string>

namespace chicorywick::serving {

/// @brief Queue, rate and retry budget of one service; kept across routing tables.
struct ServiceState
{
    explicit ServiceState(std::string serviceName)
        : name(std::move(serviceName))
    {}

    const std::string name;
    std::atomic<std::size_t> slotsInUse{0};
    std::atomic<base::Duration> meanHoldTime{base::Duration{}};
    RetryBudget retries;

    /// Length of `queue`, for readers that do not lock.
    std::atomic<std::size_t> queued{0};
    std::atomic<base::TimePoint> nextSweep{base::TimePoint{}};
    std::mutex mutex;
    FairQueue queue;
    /// When the queue was last empty.
    base::TimePoint nonEmptySince;

    /// Serializes ejections, so that their number stays within its bound.
    std::mutex ejectionMutex;

    /// All known upstreams by id; belongs to the writer of routing tables.
    std::map<std::string, std::shared_ptr<UpstreamState>> upstreams;
};

/// @brief The service rate observed last.
ServiceRate rateOf(const ServiceState &service);

/// @brief Adds one observed hold time of a slot.
void recordHoldTime(ServiceState &service, base::Duration holdTime);

/// @brief Whether the caller is the one to sweep the queue now; at most one is in an interval.
bool claimSweep(ServiceState &service, base::TimePoint now, base::Duration interval);

} // namespace chicorywick::serving
