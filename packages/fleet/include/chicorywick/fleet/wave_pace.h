#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/next_disruptions.h>

namespace chicorywick::fleet {

/// @brief A pool whose wave has further instances to start.
struct PacedPool
{
    std::string name;
    bool isSpare = false;
    DisruptionView view;
    /// Members that serve now. Lent instances count for the spare pool because they can return to
    /// it.
    std::uint32_t available = 0;
    /// Instances that the pool may need before an instance started now is back in service.
    std::uint32_t expectedDemand = 0;
    /// Highest number of instances needed outside peaks.
    std::uint32_t offPeakDemand = 0;

    bool operator==(const PacedPool &) const = default;
};

struct PaceInput
{
    std::vector<PacedPool> pools;
    /// Number of pools that may peak at the same time.
    std::uint32_t concurrentPeaks = 1;
    /// Instances of the spare pool that are reserved for failures.
    std::uint32_t reserve = 0;

    bool operator==(const PaceInput &) const = default;
};

/// @brief The instances of one pool to disrupt now.
struct PoolDisruptions
{
    std::string pool;
    std::vector<PlanEntry> entries;

    bool operator==(const PoolDisruptions &) const = default;
};

/// @brief Selects the instances to disrupt now in all pools: as many as the budgets allow while the
/// spare pool can cover the shortage during coinciding peaks, or while the disruptions do not
/// increase that shortage. The pool with the longest remaining wave comes first.
std::vector<PoolDisruptions> paceWaves(const PaceInput &input);

} // namespace chicorywick::fleet
