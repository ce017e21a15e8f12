#pragma once

#include "routing_snapshot.h"

#include <chicorywick/serving/admission.h>

namespace chicorywick::serving {

/// @brief An attempt that ended.
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::Cancelled;
    base::Duration latency{};
    bool wasProbe = false;
};

/// @brief Updates the ejection state and the adaptive limit after an attempt.
void recordOutcome(const ServiceSnapshot &service, UpstreamState &upstream, const SlotRule &rule,
                   const AttemptResult &attempt, base::TimePoint now);

} // namespace chicorywick::serving
