#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/serving/ejection.h>
#include <chicorywick/serving/pick_upstream.h>
#include <chicorywick/serving/routing_table.h>
#include <chicorywick/serving/slot_sharing.h>

#include <atomic>
#include <mutex>

namespace chicorywick::serving {

/// @brief Load and health of one upstream; preserved across routing table updates.
struct UpstreamState
{
    explicit UpstreamState(UpstreamTarget address)
        : target(std::move(address))
    {}

    const UpstreamTarget target;
    /// False if the upstream is leaving, fails its health check or is no longer listed.
    std::atomic<bool> accepting{true};
    std::atomic<unsigned> inFlight{0};

    std::atomic<unsigned> remoteInFlight{0};
    std::atomic<base::TimePoint> remoteValidUntil{base::TimePoint{}};

    std::atomic<unsigned> adaptiveLimit{0};
    std::atomic<base::TimePoint> nextProbe{base::TimePoint{}};
    std::atomic<base::Duration> probeInterval{base::Duration{}};

    /// Copies of the parts of `ejection` that routing reads without a lock.
    std::atomic<base::TimePoint> ejectedUntil{base::TimePoint{}};
    std::atomic<bool> hasFailures{false};
    std::atomic<bool> onProbation{false};

    std::mutex mutex;
    EjectionState ejection;
};

/// @brief Inputs of the slot limit that do not depend on the load of the upstream.
struct SlotRule
{
    const SlotSharing *sharing = nullptr;
    unsigned slots = 0;
    unsigned entryInstances = 1;
    bool local = true;
};

enum class SlotTaken { No, Yes, AsProbe };

/// @brief The upstream as input to the choice; `probing` adds one slot if a probe is due.
UpstreamView viewOf(const UpstreamState &upstream, const SlotRule &rule, base::TimePoint now,
                    bool probing);

/// @brief Takes a slot if the limit, the slot count and the state of the upstream allow it.
SlotTaken tryTakeSlot(UpstreamState &upstream, const SlotRule &rule, base::TimePoint now);

/// @brief Sets the initial adaptive limit of a new upstream.
void initAdaptiveLimit(UpstreamState &upstream, const SlotRule &rule);

/// @brief Lowers the adaptive limit after a refusal.
void applyRefusal(UpstreamState &upstream, const SlotRule &rule, base::TimePoint now);

/// @brief Stores the ejection state and updates the copies that routing reads. Requires `mutex` to
/// be locked.
void storeEjection(UpstreamState &upstream, const EjectionState &next);

bool isEjected(const UpstreamState &upstream, base::TimePoint now);

} // namespace chicorywick::serving
