#include "upstream_state.h"

#include <algorithm>

namespace chicorywick::serving {

namespace {

constexpr unsigned kProbationLimit = 1;

SlotView slotView(const UpstreamState &upstream, const SlotRule &rule, base::TimePoint now)
{
    return {.slots = rule.slots,
            .entryInstances = rule.entryInstances,
            .local = rule.local,
            .remoteInFlight = upstream.remoteInFlight.load(),
            .remoteKnown = now < upstream.remoteValidUntil.load(),
            .adaptiveLimit = upstream.adaptiveLimit.load()};
}

unsigned limitOf(const UpstreamState &upstream, const SlotRule &rule, base::TimePoint now)
{
    const unsigned limit = slotLimit(*rule.sharing, slotView(upstream, rule, now));
    return upstream.onProbation.load() ? std::min(limit, kProbationLimit) : limit;
}

bool isProbeDue(const UpstreamState &upstream, const SlotRule &rule, base::TimePoint now)
{
    return !upstream.onProbation.load() && mayProbe(*rule.sharing, upstream.nextProbe.load(), now);
}

bool addBelow(std::atomic<unsigned> &count, unsigned limit)
{
    unsigned current = count.load();
    while (current < limit) {
        if (count.compare_exchange_weak(current, current + 1))
            return true;
    }
    return false;
}

bool tryTakeProbe(UpstreamState &upstream, const SlotRule &rule, base::TimePoint now)
{
    if (!isProbeDue(upstream, rule, now) || upstream.inFlight.load() >= rule.slots)
        return false;
    // Only the thread that advances the time of the next probe may send this one.
    base::TimePoint due = upstream.nextProbe.load();
    const base::TimePoint next = now + upstream.probeInterval.load();
    if (now < due || !upstream.nextProbe.compare_exchange_strong(due, next))
        return false;
    if (!addBelow(upstream.inFlight, rule.slots))
        return false;
    upstream.adaptiveLimit = std::min(rule.slots, upstream.adaptiveLimit.load() + 1);
    return true;
}

} // namespace

UpstreamView viewOf(const UpstreamState &upstream, const SlotRule &rule, base::TimePoint now,
                    bool probing)
{
    UpstreamView view;
    view.eligible = upstream.accepting.load() && !isEjected(upstream, now);
    view.inFlight = upstream.inFlight.load();
    view.limit = limitOf(upstream, rule, now);
    if (now < upstream.remoteValidUntil.load())
        view.remoteInFlight = upstream.remoteInFlight.load();
    if (probing && isProbeDue(upstream, rule, now))
        view.limit = std::min(view.limit + 1, rule.slots);
    return view;
}

SlotTaken tryTakeSlot(UpstreamState &upstream, const SlotRule &rule, base::TimePoint now)
{
    if (!upstream.accepting.load() || isEjected(upstream, now))
        return SlotTaken::No;
    if (addBelow(upstream.inFlight, limitOf(upstream, rule, now)))
        return SlotTaken::Yes;
    return tryTakeProbe(upstream, rule, now) ? SlotTaken::AsProbe : SlotTaken::No;
}

void initAdaptiveLimit(UpstreamState &upstream, const SlotRule &rule)
{
    const AdaptiveLimit initial = initialLimit(*rule.sharing, slotView(upstream, rule, {}));
    upstream.adaptiveLimit = initial.limit;
    upstream.nextProbe = initial.nextProbe;
    upstream.probeInterval = initial.probeInterval;
}

void applyRefusal(UpstreamState &upstream, const SlotRule &rule, base::TimePoint now)
{
    const std::lock_guard lock(upstream.mutex);
    const AdaptiveLimit before{upstream.adaptiveLimit.load(), upstream.nextProbe.load(),
                               upstream.probeInterval.load()};
    const AdaptiveLimit after = afterRefusal(*rule.sharing, slotView(upstream, rule, now), before,
                                             upstream.inFlight.load(), now);
    upstream.adaptiveLimit = after.limit;
    upstream.nextProbe = after.nextProbe;
    upstream.probeInterval = after.probeInterval;
}

void storeEjection(UpstreamState &upstream, const EjectionState &next)
{
    upstream.ejection = next;
    upstream.hasFailures = next.failures > 0;
    upstream.onProbation = next.ejections > 0 && next.failures > 0;
    upstream.ejectedUntil = next.until;
}

bool isEjected(const UpstreamState &upstream, base::TimePoint now)
{
    return now < upstream.ejectedUntil.load();
}

} // namespace chicorywick::serving
