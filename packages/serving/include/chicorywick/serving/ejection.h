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
    /// Time without an ejection after which the ejection time starts from the shortest again.
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

/// @brief Whether an outcome speaks against the upstream. A timeout does only if the attempt had
/// several times the usual time, so that callers with short deadlines cannot eject an upstream.
bool isUpstreamFailure(AttemptOutcome outcome, base::Duration latency,
                       base::Duration typicalLatency);

/// @brief Whether one more upstream of `total` may be ejected beside `ejected`.
bool mayEject(std::size_t ejected, std::size_t total);

bool isEjected(const EjectionState &state, base::TimePoint now);

/// @brief Whether the upstream is back after an ejection and has not succeeded yet.
bool isOnProbation(const EjectionState &state, base::TimePoint now);

/// @brief The history after a failure; ejects only where that is allowed.
EjectionState afterFailure(const EjectionPolicy &policy, EjectionState state, base::TimePoint now,
                           bool ejectionAllowed);

EjectionState afterSuccess(EjectionState state);

/// @brief The history of an upstream that routing needs back at once.
EjectionState reinstated(EjectionState state, base::TimePoint now);

} // namespace chicorywick::serving
