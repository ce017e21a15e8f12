#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/instance_list.h>
#include <chicorywick/serving/routing_table.h>

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace chicorywick::serving {

/// @brief Timing and thresholds of the health checks. A failed upstream is detected after at most
/// two intervals and one timeout (1.9 s); it must stop receiving new requests within 3 s.
struct HealthPolicy
{
    base::Duration interval = std::chrono::milliseconds(700);
    base::Duration timeout = std::chrono::milliseconds(500);
    unsigned failuresToUnhealthy = 2;
    unsigned successesToHealthy = 2;

    bool operator==(const HealthPolicy &) const = default;
};

/// @brief Health check state of one upstream. A newly listed upstream receives requests only after
/// its first passed check, so that a listed but dead one never receives any.
struct HealthState
{
    bool known = false;
    bool healthy = false;
    unsigned consecutive = 0;

    bool operator==(const HealthState &) const = default;
};

/// @brief The state after one more check; changes only after several consecutive results.
HealthState afterCheck(const HealthPolicy &policy, HealthState state, bool passed);

/// @brief An operator's decision to start or end the drain of an upstream. The latest timestamp
/// wins.
struct DrainDecision
{
    std::string upstream;
    bool draining = false;
    base::TimePoint timestamp;

    bool operator==(const DrainDecision &) const = default;
};

/// @brief Upstream state of an entry instance: the platform's list, drains and health checks. An
/// upstream receives requests only if all three allow it. Not thread-safe.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(HealthPolicy health = {})
        : health_(health)
    {}

    /// @brief Replaces the list unless a later one was already applied.
    bool applyListing(const platform::InstanceListing &listing);

    /// @brief Applies a decision of this or another entry instance unless a later one was already
    /// applied.
    bool applyDrain(const DrainDecision &decision);

    /// @brief Makes a decision whose timestamp, in whole milliseconds, is later than that of the
    /// last applied decision for the upstream.
    DrainDecision decideDrain(const std::string &upstream, bool draining,
                              base::TimePoint now) const;

    bool applyHealthCheck(const std::string &upstream, bool passed);

    /// @brief All decisions, for retransmission to peers.
    std::vector<DrainDecision> drains() const;

    bool isDraining(const std::string &upstream) const;

    /// @brief Builds the routing table for the services with the given policies.
    RoutingTable table(const std::string &localZone, unsigned entryInstancesInZone,
                       const std::map<std::string, ServicePolicy> &policies) const;

private:
    void removeUnlisted();

    HealthPolicy health_;
    platform::InstanceListing listing_;
    std::unordered_set<std::string> listed_;
    std::map<std::string, DrainDecision> drains_;
    std::map<std::string, HealthState> checks_;
};

} // namespace chicorywick::serving
