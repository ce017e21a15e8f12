#pragma once

#include <chicorywick/scheduler/model.h>

#include <span>

namespace chicorywick::scheduler {

/// @brief The tail latency of a serving task against its target.
struct ServingLoad
{
    Millis tailMs = 0;
    Millis targetMs = 0;

    bool operator==(const ServingLoad &) const = default;
};

/// @brief The pause between two changes of pace; the tail covers the last half second.
inline constexpr Millis kPaceIntervalMs = 700;

/// @brief The next pace of tasks that use left-over processor time beside serving tasks: cut
/// sharply when a target is near or missed, raised slowly while all tails are well below.
int nextPace(int currentPercent, std::span<const ServingLoad> serving);

} // namespace chicorywick::scheduler
