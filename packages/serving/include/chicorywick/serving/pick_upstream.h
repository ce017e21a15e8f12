#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/rng.h>

#include <optional>
#include <span>

namespace chicorywick::serving {

/// @brief Load of one upstream as the choice sees it.
struct UpstreamView
{
    /// In flight from this entry instance.
    unsigned inFlight = 0;
    /// In flight from the others, by their hints.
    unsigned remoteInFlight = 0;
    /// Most that this entry instance may have in flight.
    unsigned limit = 0;
    bool eligible = true;
};

/// @brief The eligible upstream below its limit with the lowest load; ties are drawn at random.
std::optional<std::size_t> pickUpstream(std::span<const UpstreamView> views, base::Rng &rng);

/// @brief Whether another zone serves a request earlier than a wait in the local zone. An unknown
/// wait counts as long.
bool spilloverLowersWait(std::optional<base::Duration> localWait, base::Duration zonePenalty);

} // namespace chicorywick::serving
