#pragma once

#include <chicorywick/base/clock.h>

#include <cstdint>

namespace chicorywick::fleet {

/// @brief The load of a pool as its entry instances observe it.
struct QueueLoad
{
    /// Slots that the arriving work keeps busy.
    double offeredSlots = 0;
    /// Time for which the oldest queued work has waited.
    base::Duration wait{};
    std::uint32_t slotsPerInstance = 1;
    std::uint32_t available = 0;
    /// Wait up to which a peak is left to the queue.
    base::Duration tolerance{};

    bool operator==(const QueueLoad &) const = default;
};

/// @brief Instances that a pool needs now. A peak that its queue can hold asks for no more than the
/// pool has.
std::uint32_t neededInstances(const QueueLoad &load);

} // namespace chicorywick::fleet
