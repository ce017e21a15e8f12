#pragma once

#include <chicorywick/scheduler/model.h>

#include <span>

namespace chicorywick::scheduler {

/// @brief Tail latency of a serving task and its target.
struct ServingLoad
{
    Millis tailMs = 0;
    Millis targetMs = 0;

    bool operator==(const ServingLoad &) const = default;
};

/// @brief Minimum time between two pace changes. The reported tail latency covers the last 500 ms,
/// so a shorter interval would react to samples from before the previous change.
inline constexpr Millis kPaceIntervalMs = 700;

/// @brief Next pace in percent of tasks that use leftover CPU beside serving tasks. Cut sharply
/// when a latency is near or above its target, raised slowly while all latencies are well below.
int nextPace(int currentPercent, std::span<const ServingLoad> serving);

} // namespace chicorywick::scheduler
