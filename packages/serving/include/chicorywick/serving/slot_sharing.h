#pragma once

#include <chicorywick/base/clock.h>

#include <variant>

namespace chicorywick::serving {

/// @brief Every entry instance of a zone uses an equal part of each upstream's slots.
struct FixedShares
{
    bool operator==(const FixedShares &) const = default;
};

/// @brief An entry instance uses what the hints of its peers leave free, at least its equal part.
struct DemandShares
{
    bool operator==(const DemandShares &) const = default;
};

/// @brief An entry instance learns a limit: a refusal by the upstream lowers it, and single probes
/// at growing intervals raise it.
struct OptimisticShares
{
    base::Duration shortestProbeInterval = std::chrono::milliseconds(100);
    /// Longest interval below the equal share and above it. Below is shorter, so that an entry
    /// instance that got less than its part catches up.
    base::Duration longestProbeIntervalBelowShare = std::chrono::milliseconds(400);
    base::Duration longestProbeIntervalAboveShare = std::chrono::milliseconds(2000);

    bool operator==(const OptimisticShares &) const = default;
};

/// @brief How the entry instances of a zone share the slots of an upstream without a coordinator.
using SlotSharing = std::variant<OptimisticShares, FixedShares, DemandShares>;

/// @brief What an entry instance has learned about its part of an upstream's slots.
struct AdaptiveLimit
{
    unsigned limit = 0;
    base::TimePoint nextProbe;
    base::Duration probeInterval{};

    bool operator==(const AdaptiveLimit &) const = default;
};

/// @brief What the limit of one upstream depends on.
struct SlotView
{
    unsigned slots = 0;
    unsigned entryInstances = 1;
    bool local = true;
    unsigned remoteInFlight = 0;
    bool remoteKnown = false;
    unsigned adaptiveLimit = 0;
};

/// @brief The equal part of an entry instance, rounded up; one slot in other zones.
unsigned equalShare(const SlotView &view);

/// @brief Most requests that this entry instance may have in flight at the upstream.
unsigned slotLimit(const SlotSharing &sharing, const SlotView &view);

/// @brief The limit before anything was learned.
AdaptiveLimit initialLimit(const SlotSharing &sharing, const SlotView &view);

/// @brief The limit after a refusal that left `inFlight` requests at the upstream.
AdaptiveLimit afterRefusal(const SlotSharing &sharing, const SlotView &view,
                           const AdaptiveLimit &previous, unsigned inFlight, base::TimePoint now);

/// @brief Whether one request above the limit may be sent to learn a higher one.
bool mayProbe(const SlotSharing &sharing, base::TimePoint nextProbe, base::TimePoint now);

/// @brief The interval to the next probe after a probe that was accepted.
base::Duration intervalAfterAcceptedProbe(const SlotSharing &sharing);

} // namespace chicorywick::serving
