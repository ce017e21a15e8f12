#include <chicorywick/fleet/pool_health.h>

#include <algorithm>
#include <unordered_set>

namespace chicorywick::fleet {

PoolHealth assessHealth(const std::vector<PlacedInstance> &members,
                        const platform::InstanceListing &listing, base::TimePoint now)
{
    PoolHealth health;
    health.observedAt = listing.observedAt;
    health.isKnown = now - listing.observedAt <= kMaxListingAge;
    std::unordered_set<std::string> live;
    for (const platform::ListedInstance &instance : listing.instances) {
        if (health.isKnown && !instance.leaving)
            live.insert(instance.id);
    }
    std::copy_if(members.begin(), members.end(), std::back_inserter(health.unavailable),
                 [&](const PlacedInstance &member) { return !live.contains(member.id); });
    std::sort(health.unavailable.begin(), health.unavailable.end());
    return health;
}

} // namespace chicorywick::fleet
