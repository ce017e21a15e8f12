#include <chicorywick/fleet/queue_load.h>

#include <algorithm>
#include <cmath>

namespace chicorywick::fleet {

std::uint32_t neededInstances(const QueueLoad &load)
{
    const double instances = load.offeredSlots / std::max(1U, load.slotsPerInstance);
    const auto needed = static_cast<std::uint32_t>(std::ceil(std::max(0.0, instances)));
    return load.wait <= load.tolerance ? std::min(needed, load.available) : needed;
}

} // namespace chicorywick::fleet
