#pragma once

#include <chicorywick/fleet/pool.h>
#include <chicorywick/fleet/wave_plan.h>

namespace chicorywick::fleet {

/// @brief What the choice of the next instances depends on.
struct DisruptionView
{
    /// Plan entries that may be started now.
    std::vector<NumberedEntry> candidates;
    /// Plan entries that were started before.
    std::vector<NumberedEntry> started;
    AvailabilityBudget budget;
    std::uint32_t memberCount = 0;
    std::vector<PlacedInstance> unavailable;

    bool operator==(const DisruptionView &) const = default;
};

/// @brief The instances to disrupt next, at most limit, all within the budget together.
///
/// Zones and racks that the wave has begun come first, then those with the most candidates. An
/// instance that does not fit is passed over for one that does, so the budget is used fully.
/// Unavailable instances come last.
std::vector<NumberedEntry> nextDisruptions(const DisruptionView &view, std::size_t limit);

} // namespace chicorywick::fleet
