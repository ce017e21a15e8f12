#pragma once

#include <chicorywick/scheduler/model.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>

namespace chicorywick::scheduler {

/// @brief An unfinished job that can still end within its objective.
struct BacklogJob
{
    Millis due = 0;           ///< end of its objective
    double workMillis = 0;    ///< remaining CPU time, in milliseconds of a core
    int priority = 0;         ///< 0 is the highest
    bool isOverShare = false; ///< its account sends more than its share

    bool operator==(const BacklogJob &) const = default;
};

/// @brief Processor time of a service that finite tasks can use.
struct BacklogCapacity
{
    double cores = 0;
    double joiningCores = 0; ///< of machines that are about to join
    Millis joinMs = 0;       ///< until these have joined
    double busyMillis = 0;   ///< remaining work of tasks that run, in milliseconds of a core

    bool operator==(const BacklogCapacity &) const = default;
};

/// @brief Time until an amount of work is done after the tasks that run, in milliseconds.
double timeFor(double workMillis, const BacklogCapacity &capacity);

/// @brief Answers a backlog that is larger than the service can work off in time: returns the
/// indices of the jobs to run after the others. They are the ones whose delay costs callers least:
/// jobs over their account's share first, then those of the lowest priority, then those that need
/// the most work. The jobs that remain can all end in time.
std::set<std::size_t> planBacklog(std::span<const BacklogJob> jobs, const BacklogCapacity &capacity,
                                  Millis now);

} // namespace chicorywick::scheduler
