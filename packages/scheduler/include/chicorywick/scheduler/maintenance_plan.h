#pragma once

#include <span>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief A machine of a maintenance wave whose maintenance has not begun.
struct MaintenanceCandidate
{
    std::string machine;
    std::string workerId; ///< empty: the machine runs no worker
    std::string service;
    int tasks = 0;
    bool mayDisrupt = true; ///< stopping its tasks stays within all disruption budgets
    bool isUp = true;

    bool operator==(const MaintenanceCandidate &) const = default;
};

/// @brief Limit on machines of a wave that are down, and the current number.
struct MaintenanceBudget
{
    int maxAtOnce = 1;
    int downNow = 0;

    bool operator==(const MaintenanceBudget &) const = default;
};

struct MaintenancePlan
{
    std::vector<std::string> cordoned; ///< ids of workers that get no new tasks
    std::vector<std::string> begin;    ///< machines whose maintenance begins now

    bool operator==(const MaintenancePlan &) const = default;
};

/// @brief Plans the next actions of a wave: empty machines begin maintenance, the least loaded ones
/// are drained next. Few machines of a service drain at a time, so it keeps most of its capacity.
MaintenancePlan planMaintenance(std::span<const MaintenanceCandidate> candidates,
                                const MaintenanceBudget &budget);

} // namespace chicorywick::scheduler
