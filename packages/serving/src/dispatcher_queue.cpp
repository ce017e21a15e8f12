#include "dispatcher_core.h"

#include <algorithm>

// Functions of DispatcherCore that need the mutex of a service's queue.
namespace chicorywick::serving {

namespace {

// A sweep scans every upstream, so arrivals trigger at most one per interval.
constexpr base::Duration kSweepInterval = std::chrono::milliseconds(2);

QueueLoad loadFor(const ServiceState &service, const AdmissionRequest &request, base::TimePoint at)
{
    const FairQueue &queue = service.queue;
    const auto nonEmptyTime =
            queue.size() > 0 ? at - service.nonEmptySince : base::Duration::zero();
    return {.quick = queue.queueOfClass(RequestClass::Quick).size(),
            .archive = queue.queueOfClass(RequestClass::Archive).size(),
            .queuedByCaller = queue.queuedByCaller(request.caller),
            .longestCallerQueue = queue.queueOfClass(request.requestClass).longestCallerQueue(),
            .nonEmptyFor = nonEmptyTime};
}

base::Code codeOf(AdmissionVerdict verdict)
{
    switch (verdict) {
    case AdmissionVerdict::CallerLimit:
        return base::Code::CallerLimitExceeded;
    case AdmissionVerdict::DeadlineTooNear:
        return base::Code::DeadlineExceeded;
    case AdmissionVerdict::Queue:
    case AdmissionVerdict::QueueAndEvict:
    case AdmissionVerdict::QueueFull:
        break;
    }
    return base::Code::QueueFull;
}

} // namespace

void DispatcherCore::queueOrReject(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                                   const WaiterPtr &waiter, PendingResults &pendingResults)
{
    ServiceState &state = *service.state;
    const base::TimePoint at = now();
    const AdmissionRequest &request = waiter->request;
    const AdmissionVerdict verdict = decideAdmission(
            service.policy, request, loadFor(state, request, at), rateOf(state), at);
    const bool queue =
            verdict == AdmissionVerdict::Queue || verdict == AdmissionVerdict::QueueAndEvict;
    if (!queue) {
        pendingResults.push_back({waiter, base::makeError(codeOf(verdict), request.service)});
        return;
    }
    if (verdict == AdmissionVerdict::QueueAndEvict) {
        if (const WaiterPtr evicted = state.queue.evictNewest(request.requestClass)) {
            --state.queued;
            pendingResults.push_back(
                    {evicted, base::makeError(base::Code::QueueFull, evicted->request.service)});
        }
    }
    const bool wasEmpty = state.queue.size() == 0;
    if (wasEmpty)
        state.nonEmptySince = at;
    state.queue.push(waiter);
    ++state.queued;
    // Only this call finds a slot that was released before the request was counted as queued.
    if (wasEmpty || claimSweep(state, at, kSweepInterval))
        serveFreeSlots(snapshot, service, pendingResults);
}

void DispatcherCore::sweep(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                           PendingResults &pendingResults)
{
    rejectUnservable(service, now(), pendingResults);
    serveFreeSlots(snapshot, service, pendingResults);
}

void DispatcherCore::rejectUnservable(const ServiceSnapshot &service, base::TimePoint at,
                                      PendingResults &pendingResults)
{
    for (const WaiterPtr &waiter : service.state->queue.all()) {
        if (at >= waiter->request.deadline)
            reject(*service.state, waiter, base::Code::DeadlineExceeded, pendingResults);
        else if (!hasCandidate(service, waiter->request.excludedUpstreams))
            reject(*service.state, waiter, base::Code::NoUpstream, pendingResults);
    }
}

void DispatcherCore::serveFreeSlots(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                                    PendingResults &pendingResults)
{
    base::Rng rng = nextRng();
    const ChoiceContext context = contextOf(snapshot, rng, {});
    while (service.state->queue.size() > 0) {
        const auto chosen = chooseSlot(service, context);
        if (!chosen)
            return;
        if (!assignToWaiter(service, *chosen, context.now, pendingResults)) {
            serveExcluding(snapshot, service, pendingResults);
            return;
        }
    }
}

// Used when every queued request excludes the upstream chosen for all of them; chooses an upstream
// for each request separately.
void DispatcherCore::serveExcluding(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                                    PendingResults &pendingResults)
{
    base::Rng rng = nextRng();
    for (const WaiterPtr &waiter : service.state->queue.all()) {
        const ChoiceContext context = contextOf(snapshot, rng, waiter->request.excludedUpstreams);
        const auto chosen = chooseSlot(service, context);
        if (!chosen)
            continue;
        service.state->queue.remove(waiter);
        --service.state->queued;
        pendingResults.push_back(
                {waiter, grant(service, *chosen, waiter->request.isRetry, context.now)});
    }
}

void DispatcherCore::serveUpstream(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                                   const UpstreamPtr &upstream, PendingResults &pendingResults)
{
    base::Rng rng = nextRng();
    const ChoiceContext context = contextOf(snapshot, rng, {});
    const bool local = upstream->target.zone == snapshot.localZone;
    const SlotRule rule = ruleFor(service, context, local);
    const std::lock_guard lock(service.state->mutex);
    while (service.state->queue.size() > 0) {
        const SlotTaken taken = tryTakeSlot(*upstream, rule, context.now);
        if (taken == SlotTaken::No)
            return;
        const ChosenSlot chosen{upstream, taken == SlotTaken::AsProbe};
        if (!assignToWaiter(service, chosen, context.now, pendingResults))
            return;
    }
}

bool DispatcherCore::assignToWaiter(const ServiceSnapshot &service, const ChosenSlot &chosen,
                                    base::TimePoint at, PendingResults &pendingResults)
{
    const auto accepts = [&](const Waiter &waiter) {
        return at < waiter.request.deadline
               && !isExcluded(*chosen.upstream, waiter.request.excludedUpstreams);
    };
    const WaiterPtr waiter = service.state->queue.pop(service.policy.archiveSharePercent, accepts);
    if (!waiter) {
        --chosen.upstream->inFlight;
        return false;
    }
    --service.state->queued;
    pendingResults.push_back({waiter, grant(service, chosen, waiter->request.isRetry, at)});
    return true;
}

void DispatcherCore::reject(ServiceState &service, const WaiterPtr &waiter, base::Code code,
                            PendingResults &pendingResults)
{
    if (!service.queue.remove(waiter))
        return;
    --service.queued;
    pendingResults.push_back({waiter, base::makeError(code, service.name)});
}

} // namespace chicorywick::serving
