#include <chicorywick/serving/ejection.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

constexpr int kTimeoutLatencyFactor = 4;
constexpr unsigned kMaxDoublings = 16;

base::Duration ejectionTime(const EjectionPolicy &policy, unsigned earlierEjections)
{
    const auto factor = std::int64_t{1} << std::min(earlierEjections, kMaxDoublings);
    return std::min(policy.maxTime, policy.baseTime * factor);
}

} // namespace

bool isUpstreamFailure(AttemptOutcome outcome, base::Duration latency,
                       base::Duration typicalLatency)
{
    switch (outcome) {
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Failed:
        return true;
    case AttemptOutcome::TimedOut:
        return latency >= kTimeoutLatencyFactor * typicalLatency;
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::Refused:
    case AttemptOutcome::Cancelled:
        return false;
    }
    return false;
}

bool mayEject(std::size_t ejected, std::size_t total)
{
    return 2 * (ejected + 1) <= total;
}

bool isEjected(const EjectionState &state, base::TimePoint now)
{
    return now < state.until;
}

bool isOnProbation(const EjectionState &state, base::TimePoint now)
{
    return state.ejections > 0 && state.failures > 0 && !isEjected(state, now);
}

EjectionState afterFailure(const EjectionPolicy &policy, EjectionState state, base::TimePoint now,
                           bool ejectionAllowed)
{
    // Attempts already in flight when the ejection began do not extend it.
    if (isEjected(state, now))
        return state;
    state.failures = std::min(state.failures + 1, policy.consecutiveFailures);
    if (state.failures < policy.consecutiveFailures || !ejectionAllowed)
        return state;
    if (now - state.until > policy.resetAfter)
        state.ejections = 0;
    state.until = now + ejectionTime(policy, state.ejections);
    ++state.ejections;
    // A single failure after the ejection starts the next one.
    state.failures = policy.consecutiveFailures - 1;
    return state;
}

EjectionState afterSuccess(EjectionState state)
{
    state.failures = 0;
    return state;
}

EjectionState reinstated(EjectionState state, base::TimePoint now)
{
    state.until = std::min(state.until, now);
    return state;
}

} // namespace chicorywick::serving
