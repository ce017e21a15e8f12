#pragma once

#include <chicorywick/base/clock.h>

#include <variant>

namespace chicorywick::serving {

/// @brief Each entry instance of a zone uses an equal share of each upstream's slots.
struct FixedShares
{
    bool operator==(const FixedShares &) const = default;
};

/// @brief An entry instance uses the slots that its peers do not report as used, but at least its
/// equal share.
struct DemandShares
{
    bool operator==(const DemandShares &) const = default;
};

/// @brief An entry instance adapts its limit: a refusal by the upstream lowers it, and single
/// probes raise it. The probe interval grows with each refusal.
struct OptimisticShares
{
    base::Duration shortestProbeInterval = std::chrono::milliseconds(100);
    /// Longest probe interval below and above the equal share. It is shorter below, so that an
    /// entry instance with less than its share catches up.
    base::Duration longestProbeIntervalBelowShare = std::chrono::milliseconds(400);
    base::Duration longestProbeIntervalAboveShare = std::chrono::milliseconds(2000);

    bool operator==(const OptimisticShares &) const = default;
};

/// @brief How the entry instances of a zone share the slots of an upstream without a coordinator.
using SlotSharing = std::variant<OptimisticShares, FixedShares, DemandShares>;

/// @brief Current limit of an entry instance at one upstream and its probe schedule.
struct AdaptiveLimit
{
    unsigned limit = 0;
    base::TimePoint nextProbe;
    base::Duration probeInterval{};

    bool operator==(const AdaptiveLimit &) const = default;
};

/// @brief Inputs of the limit of one upstream.
struct SlotView
{
    unsigned slots = 0;
    unsigned entryInstances = 1;
    bool local = true;
    unsigned remoteInFlight = 0;
    bool remoteKnown = false;
    unsigned adaptiveLimit = 0;
};

/// @brief Equal share of an entry instance, rounded up; one slot at upstreams in other zones.
unsigned equalShare(const SlotView &view);

/// @brief Most requests that this entry instance may have in flight at the upstream.
unsigned slotLimit(const SlotSharing &sharing, const SlotView &view);

/// @brief The limit of a new upstream, before any refusal or probe.
AdaptiveLimit initialLimit(const SlotSharing &sharing, const SlotView &view);

/// @brief The limit after a refusal, with `inFlight` requests still at the upstream.
AdaptiveLimit afterRefusal(const SlotSharing &sharing, const SlotView &view,
                           const AdaptiveLimit &previous, unsigned inFlight, base::TimePoint now);

/// @brief Whether one request above the limit may be sent as a probe for a higher one.
bool mayProbe(const SlotSharing &sharing, base::TimePoint nextProbe, base::TimePoint now);

/// @brief The interval to the next probe after a probe that was accepted.
base::Duration intervalAfterAcceptedProbe(const SlotSharing &sharing);

} // namespace chicorywick::serving
