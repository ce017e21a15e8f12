#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/next_disruptions.h>

namespace chicorywick::fleet {

/// @brief A pool whose wave waits to start further instances.
struct PacedPool
{
    std::string name;
    bool isSpare = false;
    DisruptionView view;
    /// Members that serve now. Lent instances count for the spare pool, to which they can return.
    std::uint32_t available = 0;
    /// Instances that the pool may need until an instance started now is back.
    std::uint32_t expectedNeed = 0;
    /// Instances that the pool needs at most outside peaks.
    std::uint32_t quietNeed = 0;

    bool operator==(const PacedPool &) const = default;
};

struct PaceInput
{
    std::vector<PacedPool> pools;
    /// Pools that may have their peaks at the same time.
    std::uint32_t concurrentPeaks = 1;
    /// Instances of the spare pool that are kept for failures.
    std::uint32_t reserve = 0;

    bool operator==(const PaceInput &) const = default;
};

/// @brief The instances of one pool to disrupt now.
struct PoolDisruptions
{
    std::string pool;
    std::vector<NumberedEntry> entries;

    bool operator==(const PoolDisruptions &) const = default;
};

/// @brief The instances to disrupt now in all pools: as many as the budgets allow, as long as the
/// spare pool can make up for what the coinciding peaks would lack, or as long as they would lack
/// no more than without the disruption. The pool with the longest remaining wave comes first.
std::vector<PoolDisruptions> paceWaves(const PaceInput &input);

} // namespace chicorywick::fleet
