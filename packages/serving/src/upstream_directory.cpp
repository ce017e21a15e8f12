#include <chicorywick/serving/upstream_directory.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace chicorywick::serving {

namespace {

// More than the number of upstreams in the target fleet. Bounds the memory if a peer sends
// nonexistent names.
constexpr std::size_t kMaxDrains = 16384;
// A drain notice may arrive before the instance appears in the delayed list.
constexpr base::Duration kUnlistedDrainLifetime = std::chrono::minutes(10);

std::optional<UpstreamTarget> targetOf(const platform::ListedInstance &instance)
{
    const std::size_t colon = instance.address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    UpstreamTarget target{instance.id, instance.address.substr(0, colon), 0, instance.zone};
    const char *end = instance.address.data() + instance.address.size();
    const auto parsed = std::from_chars(instance.address.data() + colon + 1, end, target.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return target;
}

// Drain notices carry milliseconds; timestamps with a finer resolution would lose their order in
// transit.
constexpr base::Duration kTimestampStep = std::chrono::milliseconds(1);

} // namespace

HealthState afterCheck(const HealthPolicy &policy, HealthState state, bool passed)
{
    if (!state.known || passed == state.healthy)
        return {true, passed, 0};
    ++state.consecutive;
    const unsigned needed = state.healthy ? policy.failuresToUnhealthy : policy.successesToHealthy;
    return state.consecutive >= needed ? HealthState{true, passed, 0} : state;
}

bool UpstreamDirectory::applyListing(const platform::InstanceListing &listing)
{
    // Listings can arrive out of order; an older one must not return a leaving upstream to service.
    if (listing.observedAt < listing_.observedAt)
        return false;
    listing_ = listing;
    removeUnlisted();
    return true;
}

bool UpstreamDirectory::applyDrain(const DrainDecision &decision)
{
    const auto known = drains_.find(decision.upstream);
    if (known == drains_.end()) {
        if (drains_.size() >= kMaxDrains)
            return false;
        drains_.emplace(decision.upstream, decision);
        return true;
    }
    DrainDecision &current = known->second;
    const bool later =
            decision.timestamp > current.timestamp
            || (decision.timestamp == current.timestamp && decision.draining && !current.draining);
    if (later)
        current = decision;
    return later;
}

DrainDecision UpstreamDirectory::decideDrain(const std::string &upstream, bool draining,
                                             base::TimePoint now) const
{
    const base::TimePoint timestamp = base::fromMillis(base::toMillis(now));
    const auto known = drains_.find(upstream);
    if (known == drains_.end())
        return {upstream, draining, timestamp};
    // The clocks of entry instances differ, so the local time alone does not order the decisions.
    return {upstream, draining, std::max(timestamp, known->second.timestamp + kTimestampStep)};
}

bool UpstreamDirectory::applyHealthCheck(const std::string &upstream, bool passed)
{
    if (!listed_.contains(upstream))
        return false;
    HealthState &state = checks_[upstream];
    const bool before = state.healthy;
    state = afterCheck(health_, state, passed);
    return state.healthy != before;
}

std::vector<DrainDecision> UpstreamDirectory::drains() const
{
    std::vector<DrainDecision> decisions;
    decisions.reserve(drains_.size());
    for (const auto &[upstream, decision] : drains_)
        decisions.push_back(decision);
    return decisions;
}

bool UpstreamDirectory::isDraining(const std::string &upstream) const
{
    const auto known = drains_.find(upstream);
    return known != drains_.end() && known->second.draining;
}

RoutingTable UpstreamDirectory::table(const std::string &localZone, unsigned entryInstancesInZone,
                                      const std::map<std::string, ServicePolicy> &policies) const
{
    RoutingTable table{localZone, std::max(1U, entryInstancesInZone), {}};
    for (const auto &[service, policy] : policies)
        table.services[service].policy = policy;
    for (const platform::ListedInstance &instance : listing_.instances) {
        const auto service = table.services.find(instance.service);
        const auto target = targetOf(instance);
        if (instance.kind != platform::InstanceKind::Upstream || service == table.services.end()
            || !target) {
            continue;
        }
        const auto check = checks_.find(instance.id);
        const bool healthy = check != checks_.end() && check->second.healthy;
        const bool leaving = instance.leaving || isDraining(instance.id);
        service->second.upstreams.push_back({*target, leaving, healthy});
    }
    return table;
}

void UpstreamDirectory::removeUnlisted()
{
    listed_.clear();
    for (const platform::ListedInstance &instance : listing_.instances)
        listed_.insert(instance.id);
    std::erase_if(checks_, [&](const auto &entry) { return !listed_.contains(entry.first); });
    const base::TimePoint oldest = listing_.observedAt - kUnlistedDrainLifetime;
    std::erase_if(drains_, [&](const auto &entry) {
        return !listed_.contains(entry.first) && entry.second.timestamp < oldest;
    });
}

} // namespace chicorywick::serving
