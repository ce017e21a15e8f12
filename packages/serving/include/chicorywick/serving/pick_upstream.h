#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/rng.h>

#include <optional>
#include <span>

namespace chicorywick::serving {

/// @brief Load of one upstream, as input to the choice.
struct UpstreamView
{
    /// In flight from this entry instance.
    unsigned inFlight = 0;
    /// In flight from the other entry instances, as they last reported.
    unsigned remoteInFlight = 0;
    /// Most requests that this entry instance may have in flight.
    unsigned limit = 0;
    bool eligible = true;
};

/// @brief Index of the least loaded eligible upstream below its limit; ties are broken at random.
std::optional<std::size_t> pickUpstream(std::span<const UpstreamView> views, base::Rng &rng);

/// @brief Whether a request starts earlier in another zone than in the local one. An unknown local
/// wait counts as longer.
bool spilloverLowersWait(std::optional<base::Duration> localWait, base::Duration zonePenalty);

} // namespace chicorywick::serving
