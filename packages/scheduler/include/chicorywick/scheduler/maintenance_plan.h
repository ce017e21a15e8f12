#pragma once

#include <span>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief A machine of a maintenance wave that has not begun its upkeep.
struct MaintenanceCandidate
{
    std::string machine;
    std::string workerId; ///< empty: nothing runs on it
    std::string service;
    int tasks = 0;
    bool mayDisrupt = true; ///< ending its tasks exceeds no disruption budget
    bool isUp = true;

    bool operator==(const MaintenanceCandidate &) const = default;
};

/// @brief How many machines a wave may take down now.
struct MaintenanceBudget
{
    int maxAtOnce = 1;
    int downNow = 0;

    bool operator==(const MaintenanceBudget &) const = default;
};

struct MaintenancePlan
{
    std::vector<std::string> cordoned; ///< workers that get no new tasks
    std::vector<std::string> begin;    ///< machines whose upkeep begins now

    bool operator==(const MaintenancePlan &) const = default;
};

/// @brief The next steps of a wave: empty machines begin, the least loaded ones are emptied next.
/// Few machines of one service are emptied at a time, so that its queue keeps most of its room.
MaintenancePlan planMaintenance(std::span<const MaintenanceCandidate> candidates,
                                const MaintenanceBudget &budget);

} // namespace chicorywick::scheduler
