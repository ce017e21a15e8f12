#pragma once

#include <chicorywick/fleet/buffer_planner.h>

namespace chicorywick::measure {

/// @brief A deployment simulated by the fleet measurement.
struct FleetDeployment
{
    std::string name;
    /// Sizes without buffer; the first pool is the spare pool.
    std::vector<std::uint32_t> poolSizes;
    std::string spareName;
    std::uint32_t zones = 3;
    /// Percentage of a pool's base members that its budget allows to be unavailable.
    std::uint32_t budgetPercent = 25;
    fleet::PlannerWeights weights;
    /// Number of groups of pools. The pools of a group peak in turn, so each peaks for an equal
    /// share of the time.
    std::uint32_t peakGroups = 1;
    base::Duration timeStep = std::chrono::seconds(1);
    base::Duration horizon = std::chrono::hours(24);
    base::Duration waveInterval = std::chrono::hours(4);
    base::Duration paceInterval = std::chrono::seconds(1);
    /// Mean time from the start of an instance's maintenance until it serves again.
    base::Duration meanMaintenanceTime = std::chrono::minutes(3);
    double instanceFailuresPerDay = 4;
    double rackFailuresPerDay = 0.5;
};

constexpr std::uint32_t kSlotsPerInstance = 8;
constexpr std::uint32_t kInstancesPerRack = 4;
/// @brief Time during which a moving instance is a member of neither pool.
constexpr base::Duration kMoveTime = std::chrono::seconds(5);
/// @brief Instance time lost per move: the move itself and the time until caches are warm.
constexpr base::Duration kMoveCost = std::chrono::seconds(30);
constexpr base::Duration kRequestDeadline = std::chrono::seconds(10);
constexpr base::Duration kServiceTime = std::chrono::milliseconds(500);
constexpr base::Duration kInstanceRepair = std::chrono::minutes(30);
constexpr base::Duration kRackRepair = std::chrono::hours(1);

FleetDeployment hanbitDeployment();
FleetDeployment associationDeployment();
FleetDeployment targetDeployment();

/// @brief The budget of a pool: a count, or a percentage for the spare pool, whose size varies.
fleet::AvailabilityBudget budgetOf(const FleetDeployment &deployment, std::size_t pool);

} // namespace chicorywick::measure
