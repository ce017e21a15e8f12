#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/serving/ejection.h>
#include <chicorywick/serving/pick_upstream.h>
#include <chicorywick/serving/routing_table.h>
#include <chicorywick/serving/slot_sharing.h>

#include <atomic>
#include <mutex>

namespace chicorywick::serving {

/// @brief Load and health of one upstream; kept across routing tables.
struct UpstreamState
{
    explicit UpstreamState(UpstreamTarget address)
        : target(std::move(address))
    {}

    const UpstreamTarget target;
    /// False once the upstream leaves, fails its health check or is no longer listed.
    std::atomic<bool> accepting{true};
    std::atomic<unsigned> inFlight{0};

    std::atomic<unsigned> remoteInFlight{0};
    std::atomic<base::TimePoint> remoteValidUntil{base::TimePoint{}};

    std::atomic<unsigned> adaptiveLimit{0};
    std::atomic<base::TimePoint> nextProbe{base::TimePoint{}};
    std::atomic<base::Duration> probeInterval{base::Duration{}};

    /// Copies of what routing needs of `ejection`.
    std::atomic<base::TimePoint> ejectedUntil{base::TimePoint{}};
    std::atomic<bool> hasFailures{false};
    std::atomic<bool> onProbation{false};

    std::mutex mutex;
    EjectionState ejection;
};

/// @brief What the limits of a service's upstreams have in common.
struct SlotRule
{
    const SlotSharing *sharing = nullptr;
    unsigned slots = 0;
    unsigned entryInstances = 1;
    bool local = true;
};

enum class SlotTaken { No, Yes, AsProbe };

/// @brief The upstream as the choice sees it; `probing` adds the slot of a probe that is due.
UpstreamView viewOf(const UpstreamState &upstream, const SlotRule &rule, base::TimePoint now,
                    bool probing);

/// @brief Takes a slot if the limit, the slots and the state of the upstream allow it.
SlotTaken tryTakeSlot(UpstreamState &upstream, const SlotRule &rule, base::TimePoint now);

/// @brief Sets the limit of a new upstream.
void initAdaptiveLimit(UpstreamState &upstream, const SlotRule &rule);

/// @brief Learns from a refusal.
void applyRefusal(UpstreamState &upstream, const SlotRule &rule, base::TimePoint now);

/// @brief Stores the failure history and what routing reads of it. Call with the mutex held.
void storeEjection(UpstreamState &upstream, const EjectionState &next);

bool isEjected(const UpstreamState &upstream, base::TimePoint now);

} // namespace chicorywick::serving
