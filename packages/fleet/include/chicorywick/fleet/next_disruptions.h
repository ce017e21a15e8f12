#pragma once

#include <chicorywick/fleet/pool.h>
#include <chicorywick/fleet/wave_plan.h>

namespace chicorywick::fleet {

/// @brief Input of nextDisruptions().
struct DisruptionView
{
    /// Plan entries that may be started now.
    std::vector<PlanEntry> candidates;
    /// Plan entries that have been started.
    std::vector<PlanEntry> started;
    AvailabilityBudget budget;
    std::uint32_t memberCount = 0;
    std::vector<PlacedInstance> unavailable;

    bool operator==(const DisruptionView &) const = default;
};

/// @brief Selects the instances to disrupt next, at most `limit`, which together fit the budget.
///
/// Zones and racks that the wave has started come first, then those with the most candidates. An
/// instance that does not fit is skipped in favor of one that does, so that the budget is used
/// fully. Unavailable instances come last.
std::vector<PlanEntry> nextDisruptions(const DisruptionView &view, std::size_t limit);

} // namespace chicorywick::fleet
