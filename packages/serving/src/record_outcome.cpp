#include "record_outcome.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

constexpr EjectionPolicy kEjection;

std::size_t countEjected(const ServiceSnapshot &service, base::TimePoint now)
{
    const auto ejected = [now](const UpstreamPtr &upstream) { return isEjected(*upstream, now); };
    return static_cast<std::size_t>(
            std::count_if(service.local.begin(), service.local.end(), ejected)
            + std::count_if(service.otherZones.begin(), service.otherZones.end(), ejected));
}

void recordSuccess(UpstreamState &upstream)
{
    if (!upstream.hasFailures.load())
        return;
    const std::lock_guard lock(upstream.mutex);
    const bool wasOnProbation = upstream.onProbation.load();
    storeEjection(upstream, afterSuccess(upstream.ejection));
    if (wasOnProbation)
        logEvent(base::Event::UpstreamReinstated, {{"upstream", upstream.target.id}});
}

void recordFailure(const ServiceSnapshot &service, UpstreamState &upstream, base::TimePoint now)
{
    const std::lock_guard ejections(service.state->ejectionMutex);
    const std::lock_guard lock(upstream.mutex);
    const std::size_t total = service.local.size() + service.otherZones.size();
    // Ejected upstreams are counted only for a failure that can cause an ejection.
    const bool allowed = upstream.accepting.load()
                         && upstream.ejection.failures + 1 >= kEjection.consecutiveFailures
                         && mayEject(countEjected(service, now), total);
    const EjectionState next = afterFailure(kEjection, upstream.ejection, now, allowed);
    const bool ejected = next.until != upstream.ejection.until;
    storeEjection(upstream, next);
    if (ejected) {
        logEvent(base::Event::UpstreamEjected,
                 {{"upstream", upstream.target.id},
                  {"service", service.state->name},
                  {"for_ms", std::to_string((next.until - now).count() / 1000)}});
    }
}

} // namespace

void recordOutcome(const ServiceSnapshot &service, UpstreamState &upstream, const SlotRule &rule,
                   const AttemptResult &attempt, base::TimePoint now)
{
    if (attempt.outcome == AttemptOutcome::Refused) {
        applyRefusal(upstream, rule, now);
        return;
    }
    if (attempt.outcome == AttemptOutcome::Succeeded) {
        if (attempt.wasProbe)
            upstream.probeInterval = intervalAfterAcceptedProbe(*rule.sharing);
        recordSuccess(upstream);
        return;
    }
    if (isUpstreamFailure(attempt.outcome, attempt.latency, service.state->meanHoldTime.load()))
        recordFailure(service, upstream, now);
}

} // namespace chicorywick::serving
