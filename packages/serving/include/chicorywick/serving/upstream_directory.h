#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/instance_list.h>
#include <chicorywick/serving/routing_table.h>

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace chicorywick::serving {

/// @brief When upstreams are checked and what the results mean. A failed upstream is found after at
/// most two intervals and one timeout (1.9 s), within the 3 s in which it must get no new work.
struct HealthPolicy
{
    base::Duration interval = std::chrono::milliseconds(700);
    base::Duration timeout = std::chrono::milliseconds(500);
    unsigned failuresToUnhealthy = 2;
    unsigned successesToHealthy = 2;

    bool operator==(const HealthPolicy &) const = default;
};

/// @brief Consecutive results of the health checks of one upstream. A newly listed upstream takes
/// work after its first passed check, so that one that is listed but dead never gets any.
struct HealthState
{
    bool known = false;
    bool healthy = false;
    unsigned consecutive = 0;

    bool operator==(const HealthState &) const = default;
};

/// @brief The state after one more check; changes only after several equal results.
HealthState afterCheck(const HealthPolicy &policy, HealthState state, bool passed);

/// @brief An operator's decision to drain an upstream or to end that. The highest stamp counts.
struct DrainDecision
{
    std::string upstream;
    bool draining = false;
    base::TimePoint timestamp;

    bool operator==(const DrainDecision &) const = default;
};

/// @brief What an entry instance knows of the upstreams: the platform's list, drains and health
/// checks. An upstream takes work only if all three agree. Belongs to one thread.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(HealthPolicy health = {})
        : health_(health)
    {}

    /// @brief Replaces the list unless a later observation was applied.
    bool applyListing(const platform::InstanceListing &listing);

    /// @brief Applies a decision of this or another entry instance unless a later one is known.
    bool applyDrain(const DrainDecision &decision);

    /// @brief A decision made here, stamped in whole milliseconds after every decision known about
    /// the upstream.
    DrainDecision decideDrain(const std::string &upstream, bool draining,
                              base::TimePoint now) const;

    bool applyHealthCheck(const std::string &upstream, bool passed);

    /// @brief All known decisions, to be repeated to peers.
    std::vector<DrainDecision> drains() const;

    bool isDraining(const std::string &upstream) const;

    /// @brief The routing table for services with the given policies.
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
