#pragma once

#include <chicorywick/fleet/availability_budget.h>
#include <chicorywick/platform/instance_list.h>

namespace chicorywick::fleet {

/// @brief Maximum age of a listing. An older one does not show the current health.
constexpr base::Duration kMaxListingAge = std::chrono::seconds(15);

/// @brief Unavailable members of a pool according to one listing of the platform.
struct PoolHealth
{
    /// False if the listing is older than kMaxListingAge. Then all members count as unavailable.
    bool isKnown = false;
    std::vector<PlacedInstance> unavailable;
    base::TimePoint observedAt;

    bool operator==(const PoolHealth &) const = default;
};

/// @brief Determines the members that the listing shows as leaving or does not show, sorted.
PoolHealth assessHealth(const std::vector<PlacedInstance> &members,
                        const platform::InstanceListing &listing, base::TimePoint now);

} // namespace chicorywick::fleet
