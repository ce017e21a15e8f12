#pragma once

#include "service_state.h"

#include <chicorywick/serving/routing_table.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorywick::serving {

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// @brief Routing data of one service; lists only upstreams that accept requests.
struct ServiceSnapshot
{
    std::shared_ptr<ServiceState> state;
    ServicePolicy policy;
    std::vector<UpstreamPtr> local;
    std::vector<UpstreamPtr> otherZones;
};

/// @brief Immutable routing data, replaced as a whole.
struct RoutingSnapshot
{
    std::string localZone;
    unsigned entryInstances = 1;
    std::unordered_map<std::string, ServiceSnapshot> services;
    std::unordered_multimap<std::string, UpstreamPtr> upstreams;
};

using ServiceStates = std::unordered_map<std::string, std::shared_ptr<ServiceState>>;

/// @brief Builds the snapshot of a table. Keeps the state of upstreams with an unchanged address,
/// creates missing state, and clears `accepting` for upstreams that must not receive new requests.
RoutingSnapshot buildSnapshot(const RoutingTable &table, ServiceStates &states,
                              const SlotSharing &sharing, base::TimePoint now);

} // namespace chicorywick::serving
