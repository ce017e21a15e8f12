#pragma once

#include <span>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief A machine of a maintenance wave that has not begun its upkeep.
struct UpkeepCandidate
{
    std::string machine;
    std::string workerId; ///< empty: nothing runs on it
    std::string service;
    int tasks = 0;
    bool mayDisrupt = true; ///< ending its tasks exceeds no disruption budget
    bool isUp = true;

    bool operator==(const UpkeepCandidate &) const = default;
};

/// @brief How many machines a wave may take down now.
struct UpkeepBudget
{
    int maxAtOnce = 1;
    int downNow = 0;

    bool operator==(const UpkeepBudget &) const = default;
};

struct UpkeepPlan
{
    std::vector<std::string> cordoned; ///< workers that get no new tasks
    std::vector<std::string> begin;    ///< machines whose upkeep begins now

    bool operator==(const UpkeepPlan &) const = default;
};

/// @brief The next steps of a wave: empty machines begin, the least loaded ones are emptied next.
/// Few machines of one service are emptied at a time, so that its queue keeps most of its room.
UpkeepPlan planUpkeep(std::span<const UpkeepCandidate> candidates, const UpkeepBudget &budget);

} // namespace chicorywick::scheduler
