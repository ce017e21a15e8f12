#include "routing_snapshot.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace chicorywick::serving {

namespace {

UpstreamPtr keepOrCreate(ServiceState &state, const UpstreamTarget &target, const SlotRule &rule)
{
    UpstreamPtr &known = state.upstreams[target.id];
    // A different address is a different process, so the recorded state does not apply to it.
    if (known && known->target == target)
        return known;
    if (known)
        known->accepting = false;
    known = std::make_shared<UpstreamState>(target);
    initAdaptiveLimit(*known, rule);
    return known;
}

// A removed upstream is kept while it has requests in flight, so that they still count if it
// returns.
void dropUnlisted(ServiceState &state, const std::vector<RoutedUpstream> &listed)
{
    std::unordered_set<std::string_view> ids;
    for (const RoutedUpstream &routed : listed)
        ids.insert(routed.target.id);
    std::erase_if(state.upstreams, [&](const auto &entry) {
        if (ids.contains(entry.first))
            return false;
        entry.second->accepting = false;
        return entry.second->inFlight.load() == 0;
    });
}

// When a service shrinks, more than half of its remaining upstreams may be ejected.
void reinstateExcess(const ServiceSnapshot &service, base::TimePoint now)
{
    std::vector<UpstreamPtr> ejected;
    for (const auto *zone : {&service.local, &service.otherZones}) {
        std::copy_if(zone->begin(), zone->end(), std::back_inserter(ejected),
                     [&](const UpstreamPtr &upstream) { return isEjected(*upstream, now); });
    }
    std::sort(ejected.begin(), ejected.end(),
              [](const UpstreamPtr &left, const UpstreamPtr &right) {
                  return left->ejectedUntil.load() > right->ejectedUntil.load();
              });
    const std::size_t total = service.local.size() + service.otherZones.size();
    while (2 * ejected.size() > total) {
        UpstreamState &upstream = *ejected.back();
        const std::lock_guard lock(upstream.mutex);
        storeEjection(upstream, reinstated(upstream.ejection, now));
        ejected.pop_back();
    }
}

ServiceSnapshot buildService(const ServiceRoute &route, const std::shared_ptr<ServiceState> &state,
                             const RoutingTable &table, const SlotSharing &sharing)
{
    ServiceSnapshot service{state, route.policy, {}, {}};
    for (const RoutedUpstream &routed : route.upstreams) {
        const bool local = routed.target.zone == table.localZone;
        const SlotRule rule{&sharing, route.policy.slotsPerUpstream, table.entryInstancesInZone,
                            local};
        const UpstreamPtr upstream = keepOrCreate(*state, routed.target, rule);
        upstream->accepting = routed.healthy && !routed.leaving;
        if (upstream->accepting)
            (local ? service.local : service.otherZones).push_back(upstream);
    }
    return service;
}

} // namespace

RoutingSnapshot buildSnapshot(const RoutingTable &table, ServiceStates &states,
                              const SlotSharing &sharing, base::TimePoint now)
{
    RoutingSnapshot snapshot{table.localZone, table.entryInstancesInZone, {}, {}};
    for (const auto &[name, route] : table.services) {
        std::shared_ptr<ServiceState> &state = states[name];
        if (!state)
            state = std::make_shared<ServiceState>(name);
        dropUnlisted(*state, route.upstreams);
        ServiceSnapshot service = buildService(route, state, table, sharing);
        reinstateExcess(service, now);
        for (const auto &[id, upstream] : state->upstreams)
            snapshot.upstreams.emplace(id, upstream);
        snapshot.services.emplace(name, std::move(service));
    }
    for (auto &[name, state] : states) {
        if (!table.services.contains(name))
            dropUnlisted(*state, {});
    }
    return snapshot;
}

} // namespace chicorywick::serving
