#include <chicorywick/base/overloaded.h>
#include <chicorywick/serving/slot_sharing.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

// Slots are reserved mainly for entry instances in the upstream's own zone.
constexpr unsigned kSpilloverShare = 1;

unsigned fixedLimit(const SlotView &view)
{
    if (!view.local)
        return kSpilloverShare;
    return std::max(1U, view.slots / std::max(1U, view.entryInstances));
}

unsigned demandLimit(const SlotView &view)
{
    const unsigned floor = fixedLimit(view);
    if (!view.remoteKnown)
        return floor;
    const unsigned left = view.slots - std::min(view.slots, view.remoteInFlight);
    return std::max(left, floor);
}

} // namespace

unsigned equalShare(const SlotView &view)
{
    if (!view.local)
        return kSpilloverShare;
    const unsigned instances = std::max(1U, view.entryInstances);
    return (view.slots + instances - 1) / instances;
}

unsigned slotLimit(const SlotSharing &sharing, const SlotView &view)
{
    const unsigned limit = std::visit(
            base::Overloaded{[&](const OptimisticShares &) { return view.adaptiveLimit; },
                             [&](const FixedShares &) { return fixedLimit(view); },
                             [&](const DemandShares &) { return demandLimit(view); }},
            sharing);
    return std::min(limit, view.slots);
}

AdaptiveLimit initialLimit(const SlotSharing &sharing, const SlotView &view)
{
    return {equalShare(view), {}, intervalAfterAcceptedProbe(sharing)};
}

AdaptiveLimit afterRefusal(const SlotSharing &sharing, const SlotView &view,
                           const AdaptiveLimit &previous, unsigned inFlight, base::TimePoint now)
{
    const auto *optimistic = std::get_if<OptimisticShares>(&sharing);
    if (optimistic == nullptr)
        return previous;
    const base::Duration longest = inFlight < equalShare(view)
                                           ? optimistic->longestProbeIntervalBelowShare
                                           : optimistic->longestProbeIntervalAboveShare;
    const base::Duration interval =
            std::clamp(2 * previous.probeInterval, optimistic->shortestProbeInterval, longest);
    return {std::min(previous.limit, inFlight), now + interval, interval};
}

bool mayProbe(const SlotSharing &sharing, base::TimePoint nextProbe, base::TimePoint now)
{
    return std::holds_alternative<OptimisticShares>(sharing) && now >= nextProbe;
}

base::Duration intervalAfterAcceptedProbe(const SlotSharing &sharing)
{
    const auto *optimistic = std::get_if<OptimisticShares>(&sharing);
    return optimistic != nullptr ? optimistic->shortestProbeInterval : base::Duration{};
}

} // namespace chicorywick::serving
