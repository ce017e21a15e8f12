#pragma once

#include <chicorywick/base/clock.h>

#include <cstdint>

namespace chicorywick::fleet {

/// @brief Load of a pool as observed by its entry instances.
struct QueueLoad
{
    /// Number of slots that the arriving work occupies.
    double offeredSlots = 0;
    /// Wait of the oldest queued work so far.
    base::Duration wait{};
    std::uint32_t slotsPerInstance = 1;
    std::uint32_t available = 0;
    /// Wait up to which the queue absorbs a peak.
    base::Duration tolerance{};

    bool operator==(const QueueLoad &) const = default;
};

/// @brief Number of instances that a pool needs now. While the wait is within the tolerance, this
/// is at most the number of available instances.
std::uint32_t neededInstances(const QueueLoad &load);

} // namespace chicorywick::fleet
