#pragma once

#include <chicorywick/fleet/availability_budget.h>
#include <chicorywick/platform/instance_list.h>

namespace chicorywick::fleet {

/// @brief A listing older than this says nothing about the present.
constexpr base::Duration kMaxListingAge = std::chrono::seconds(15);

/// @brief Members of a pool that are unavailable according to one observation of the platform.
struct PoolHealth
{
    /// False if the observation is too old to tell; then no member counts as available.
    bool isKnown = false;
    std::vector<PlacedInstance> unavailable;
    base::TimePoint observedAt;

    bool operator==(const PoolHealth &) const = default;
};

/// @brief Members that the listing shows as leaving or does not show. The result is sorted.
PoolHealth assessHealth(const std::vector<PlacedInstance> &members,
                        const platform::InstanceListing &listing, base::TimePoint now);

} // namespace chicorywick::fleet
