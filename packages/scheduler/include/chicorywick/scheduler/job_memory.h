#pragma once

#include <chicorywick/scheduler/model.h>

#include <cstdint>
#include <map>
#include <string>

namespace chicorywick::scheduler {

/// @brief Memory that a leader needs for an open job; an estimate, in bytes. Its running tasks come
/// on top, and are bounded by the workers.
struct JobFootprint
{
    std::int64_t jobBytes = 0;
    std::int64_t occurrenceBytes = 0; ///< for each open occurrence

    bool operator==(const JobFootprint &) const = default;
};

JobFootprint footprintOf(const JobSpec &spec);

/// @brief Memory for a job and the occurrences that are open or due within seconds of a time.
std::int64_t memoryFor(const JobSpec &spec, Millis wall);

/// @brief Whose room a job uses: the client account that submitted it, or else its queue.
std::string roomHolderOf(const std::string &account, const std::string &queue);

/// @brief Memory of all jobs that a leader holds.
struct JobMemory
{
    std::int64_t total = 0;
    std::map<std::string, std::int64_t> byHolder; ///< small ones may be left out

    bool operator==(const JobMemory &) const = default;
};

} // namespace chicorywick::scheduler
