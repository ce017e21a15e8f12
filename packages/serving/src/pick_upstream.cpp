#include <chicorywick/serving/pick_upstream.h>

namespace chicorywick::serving {

std::optional<std::size_t> pickUpstream(std::span<const UpstreamView> views, base::Rng &rng)
{
    std::optional<std::size_t> best;
    unsigned bestLoad = 0;
    std::uint64_t ties = 0;
    for (std::size_t i = 0; i < views.size(); ++i) {
        const UpstreamView &view = views[i];
        if (!view.eligible || view.inFlight >= view.limit)
            continue;
        const unsigned load = view.inFlight + view.remoteInFlight;
        if (best && load > bestLoad)
            continue;
        ties = best && load == bestLoad ? ties + 1 : 1;
        if (ties == 1 || rng.below(ties) == 0)
            best = i;
        bestLoad = load;
    }
    return best;
}

bool spilloverLowersWait(std::optional<base::Duration> localWait, base::Duration zonePenalty)
{
    return !localWait || *localWait > zonePenalty;
}

} // namespace chicorywick::serving
