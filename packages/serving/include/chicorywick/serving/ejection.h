#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/serving/admission.h>

#include <cstddef>

namespace chicorywick::serving {

/// @brief When a failing upstream is taken out of routing and for how long.
struct EjectionPolicy
{
    unsigned consecutiveFailures = 5;
    base::Duration baseTime = std::chrono::seconds(2);
    base::Duration maxTime = std::chrono::minutes(5);
    /// Time without an ejection after which the ejection time starts from `baseTime` again.
    base::Duration resetAfter = std::chrono::minutes(10);

    bool operator==(const EjectionPolicy &) const = default;
};

/// @brief Failure history of one upstream.
struct EjectionState
{
    unsigned failures = 0;
    unsigned ejections = 0;
    base::TimePoint until;

    bool operator==(const EjectionState &) const = default;
};

/// @brief Whether an outcome counts as a failure of the upstream. A timeout counts only if the
/// attempt lasted several times the typical latency, so that callers with short deadlines cannot
/// eject an upstream.
bool isUpstreamFailure(AttemptOutcome outcome, base::Duration latency,
                       base::Duration typicalLatency);

/// @brief Whether one more upstream may be ejected when `ejected` of `total` already are.
bool mayEject(std::size_t ejected, std::size_t total);

bool isEjected(const EjectionState &state, base::TimePoint now);

/// @brief Whether the ejection has ended and no request has succeeded since.
bool isOnProbation(const EjectionState &state, base::TimePoint now);

/// @brief The state after a failure; ejects only if `ejectionAllowed` is set.
EjectionState afterFailure(const EjectionPolicy &policy, EjectionState state, base::TimePoint now,
                           bool ejectionAllowed);

EjectionState afterSuccess(EjectionState state);

/// @brief The state after the ejection is ended early because routing needs the upstream.
EjectionState reinstated(EjectionState state, base::TimePoint now);

} // namespace chicorywick::serving
