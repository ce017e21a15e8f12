#pragma once

#include "service_state.h"

#include <chicorywick/serving/routing_table.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorywick::serving {

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// @brief One service as routing reads it; only upstreams that accept work are listed.
struct ServiceSnapshot
{
    std::shared_ptr<ServiceState> state;
    ServicePolicy policy;
    std::vector<UpstreamPtr> local;
    std::vector<UpstreamPtr> otherZones;
};

/// @brief The immutable value that requests are routed by.
struct RoutingSnapshot
{
    std::string localZone;
    unsigned entryInstances = 1;
    std::unordered_map<std::string, ServiceSnapshot> services;
    std::unordered_multimap<std::string, UpstreamPtr> upstreams;
};

using ServiceStates = std::unordered_map<std::string, std::shared_ptr<ServiceState>>;

/// @brief Builds the snapshot of a table. Keeps the states of upstreams with the same address,
/// creates the missing ones, and clears `accepting` of all that get no new work.
RoutingSnapshot buildSnapshot(const RoutingTable &table, ServiceStates &states,
                              const SlotSharing &sharing, base::TimePoint now);

} // namespace chicorywick::serving
