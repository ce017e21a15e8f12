#include "choose_slot.h"

#include <algorithm>
#include <array>

namespace chicorywick::serving {

namespace {

// Up to kScanLimit upstreams are all compared; above that, a random sample is. The least loaded of
// 16 is among the least loaded fifth with a probability of 97%, and the cost does not grow with the
// size of the service.
constexpr std::size_t kScanLimit = 32;
constexpr std::size_t kSampleSize = 16;
// Retries after another thread takes the chosen slot first.
constexpr int kRaceRetries = 3;
// Round-trip time between zones with a one-way latency of 1.5 ms, the larger latency of the two
// deployments.
constexpr base::Duration kZonePenalty = std::chrono::milliseconds(3);

struct Selection
{
    const std::vector<UpstreamPtr> *upstreams;
    const SlotRule *rule;
    const ChoiceContext *context;
    bool probing = false;
};

UpstreamView selectionView(const Selection &selection, std::size_t index)
{
    const UpstreamState &upstream = *(*selection.upstreams)[index];
    UpstreamView view =
            viewOf(upstream, *selection.rule, selection.context->now, selection.probing);
    if (view.eligible && isExcluded(upstream, selection.context->excluded))
        view.eligible = false;
    return view;
}

std::optional<std::size_t> pickFromSample(const Selection &selection)
{
    std::array<std::size_t, kSampleSize> indices{};
    std::array<UpstreamView, kSampleSize> views{};
    for (std::size_t i = 0; i < kSampleSize; ++i) {
        indices[i] = selection.context->rng->below(selection.upstreams->size());
        views[i] = selectionView(selection, indices[i]);
    }
    const auto picked = pickUpstream(views, *selection.context->rng);
    return picked ? std::optional(indices[*picked]) : std::nullopt;
}

std::optional<std::size_t> pickFromAll(const Selection &selection)
{
    thread_local std::vector<UpstreamView> views;
    views.resize(selection.upstreams->size());
    for (std::size_t i = 0; i < views.size(); ++i)
        views[i] = selectionView(selection, i);
    return pickUpstream(views, *selection.context->rng);
}

std::optional<std::size_t> pick(const Selection &selection)
{
    if (selection.upstreams->size() > kScanLimit && !selection.probing) {
        if (const auto sampled = pickFromSample(selection))
            return sampled;
    }
    return pickFromAll(selection);
}

std::optional<ChosenSlot> takeBestSlot(const Selection &selection)
{
    for (int i = 0; i < kRaceRetries; ++i) {
        const auto picked = pick(selection);
        if (!picked)
            return std::nullopt;
        const UpstreamPtr &upstream = (*selection.upstreams)[*picked];
        const SlotTaken taken = tryTakeSlot(*upstream, *selection.rule, selection.context->now);
        if (taken != SlotTaken::No)
            return ChosenSlot{upstream, taken == SlotTaken::AsProbe};
    }
    return std::nullopt;
}

std::optional<ChosenSlot> takeSlotAmong(const std::vector<UpstreamPtr> &upstreams,
                                        const SlotRule &rule, const ChoiceContext &context)
{
    if (upstreams.empty())
        return std::nullopt;
    if (auto chosen = takeBestSlot({&upstreams, &rule, &context, false}))
        return chosen;
    if (!std::holds_alternative<OptimisticShares>(*context.sharing))
        return std::nullopt;
    return takeBestSlot({&upstreams, &rule, &context, true});
}

} // namespace

std::optional<ChosenSlot> chooseSlot(const ServiceSnapshot &service, const ChoiceContext &context)
{
    const SlotRule localRule = ruleFor(service, context, true);
    if (auto chosen = takeSlotAmong(service.local, localRule, context))
        return chosen;
    if (service.otherZones.empty())
        return std::nullopt;
    std::optional<base::Duration> localWait;
    if (!service.local.empty())
        localWait = expectedWait(service.state->queued.load(), rateOf(*service.state));
    if (!spilloverLowersWait(localWait, kZonePenalty))
        return std::nullopt;
    return takeSlotAmong(service.otherZones, ruleFor(service, context, false), context);
}

SlotRule ruleFor(const ServiceSnapshot &service, const ChoiceContext &context, bool local)
{
    return {context.sharing, service.policy.slotsPerUpstream, context.entryInstances, local};
}

bool isExcluded(const UpstreamState &upstream, std::span<const std::string> excluded)
{
    return std::find(excluded.begin(), excluded.end(), upstream.target.id) != excluded.end();
}

bool hasCandidate(const ServiceSnapshot &service, std::span<const std::string> excluded)
{
    const auto isCandidate = [&](const UpstreamPtr &upstream) {
        return !isExcluded(*upstream, excluded);
    };
    return std::any_of(service.local.begin(), service.local.end(), isCandidate)
           || std::any_of(service.otherZones.begin(), service.otherZones.end(), isCandidate);
}

} // namespace chicorywick::serving
