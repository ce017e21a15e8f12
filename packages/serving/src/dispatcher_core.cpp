#include "dispatcher_core.h"

#include "record_outcome.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

constexpr std::uint64_t kSeedStep = 0x9E3779B97F4A7C15ULL;
// Peers report their load every few hundred milliseconds; an older report is out of date.
constexpr base::Duration kRemoteLoadLifetime = std::chrono::seconds(2);
constexpr base::Duration kUnknownRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr base::Duration kLongestRetryAfter = std::chrono::seconds(30);

} // namespace

DispatcherCore::DispatcherCore(base::Clock clock, std::uint64_t seed, SlotSharing sharing)
    : clock_(std::move(clock))
    , seed_(seed)
    , sharing_(sharing)
    , snapshot_(std::make_unique<const RoutingSnapshot>())
{}

void DispatcherCore::update(const RoutingTable &table)
{
    PendingResults pendingResults;
    {
        const std::lock_guard lock(updates_);
        if (table == table_)
            return;
        auto next = std::make_unique<const RoutingSnapshot>(
                buildSnapshot(table, states_, sharing_, now()));
        snapshot_.publish(std::move(next));
        table_ = table;
        base::logEvent(base::Event::RoutingPublished,
                       {{"services", std::to_string(table.services.size())}});
        dropRemovedServices(table, pendingResults);
    }
    deliver(pendingResults);
    poll();
}

std::optional<base::Result<Permit>> DispatcherCore::tryAdmit(const AdmissionRequest &request)
{
    using Decision = std::optional<base::Result<Permit>>;
    if (stopped_.load() && !request.isRetry)
        return base::makeError(base::Code::ShuttingDown);
    return snapshot_.read([&](const RoutingSnapshot &snapshot) -> Decision {
        const auto found = snapshot.services.find(request.service);
        if (found == snapshot.services.end())
            return base::makeError(base::Code::UnknownService, request.service);
        const ServiceSnapshot &service = found->second;
        const base::TimePoint at = now();
        if (at >= request.deadline)
            return base::makeError(base::Code::DeadlineExceeded);
        if (!hasCandidate(service, request.excludedUpstreams))
            return base::makeError(base::Code::NoUpstream, request.service);
        if (service.state->queued.load() > 0)
            return std::nullopt;
        base::Rng rng = nextRng();
        const auto chosen =
                chooseSlot(service, contextOf(snapshot, rng, request.excludedUpstreams));
        if (!chosen)
            return std::nullopt;
        return grant(service, *chosen, request.isRetry, at);
    });
}

void DispatcherCore::enqueue(const WaiterPtr &waiter)
{
    PendingResults pendingResults;
    snapshot_.read([&](const RoutingSnapshot &snapshot) {
        const auto found = snapshot.services.find(waiter->request.service);
        if (found == snapshot.services.end()) {
            pendingResults.push_back({waiter, base::makeError(base::Code::UnknownService)});
            return;
        }
        const std::lock_guard lock(found->second.state->mutex);
        queueOrReject(snapshot, found->second, waiter, pendingResults);
    });
    deliver(pendingResults);
}

void DispatcherCore::submit(const AdmissionRequest &request, AdmissionCallback callback)
{
    if (auto decided = tryAdmit(request)) {
        callback(std::move(*decided));
        return;
    }
    enqueue(std::make_shared<Waiter>(Waiter{request, std::move(callback)}));
}

void DispatcherCore::poll()
{
    PendingResults pendingResults;
    snapshot_.read([&](const RoutingSnapshot &snapshot) {
        for (const auto &[name, service] : snapshot.services) {
            if (service.state->queued.load() == 0)
                continue;
            const std::lock_guard lock(service.state->mutex);
            sweep(snapshot, service, pendingResults);
        }
    });
    deliver(pendingResults);
}

void DispatcherCore::release(const HeldSlot &slot, AttemptOutcome outcome, base::Duration latency)
{
    const base::TimePoint at = now();
    // Refused and cancelled attempts do not show how long a request occupies a slot.
    if (outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::TimedOut)
        recordHoldTime(*slot.service, std::max(at - slot.takenAt, base::Duration::zero()));
    // Decrement the totals first, so that they never exceed the number of slots.
    --inFlight_;
    --slot.service->slotsInUse;
    --slot.upstream->inFlight;
    PendingResults pendingResults;
    snapshot_.read([&](const RoutingSnapshot &snapshot) {
        const auto found = snapshot.services.find(slot.service->name);
        if (found == snapshot.services.end() || found->second.state != slot.service)
            return;
        const ServiceSnapshot &service = found->second;
        base::Rng rng = nextRng();
        const bool local = slot.upstream->target.zone == snapshot.localZone;
        const SlotRule rule = ruleFor(service, contextOf(snapshot, rng, {}), local);
        recordOutcome(service, *slot.upstream, rule, {outcome, latency, slot.isProbe}, at);
        // Pairs with queueOrReject(), which counts the request as queued before it searches for a
        // slot.
        if (service.state->queued.load() > 0)
            serveUpstream(snapshot, service, slot.upstream, pendingResults);
    });
    deliver(pendingResults);
}

bool DispatcherCore::tryRetry(const std::string &service) const
{
    return snapshot_.read([&](const RoutingSnapshot &snapshot) {
        const auto found = snapshot.services.find(service);
        return found != snapshot.services.end() && found->second.state->retries.tryTake();
    });
}

void DispatcherCore::reportRemoteLoad(const std::string &upstream, unsigned inFlight) const
{
    const base::TimePoint validUntil = now() + kRemoteLoadLifetime;
    snapshot_.read([&](const RoutingSnapshot &snapshot) {
        const auto range = snapshot.upstreams.equal_range(upstream);
        for (auto entry = range.first; entry != range.second; ++entry) {
            entry->second->remoteInFlight = inFlight;
            entry->second->remoteValidUntil = validUntil;
        }
    });
}

std::size_t DispatcherCore::queued() const
{
    return snapshot_.read([](const RoutingSnapshot &snapshot) {
        std::size_t total = 0;
        for (const auto &[name, service] : snapshot.services)
            total += service.state->queued.load();
        return total;
    });
}

base::Duration DispatcherCore::retryAfter(const std::string &service) const
{
    const auto wait = snapshot_.read([&](const RoutingSnapshot &snapshot) {
        const auto found = snapshot.services.find(service);
        if (found == snapshot.services.end())
            return std::optional<base::Duration>{};
        const ServiceState &state = *found->second.state;
        return expectedWait(state.queued.load(), rateOf(state));
    });
    return std::clamp(wait.value_or(kUnknownRetryAfter), kShortestRetryAfter, kLongestRetryAfter);
}

std::vector<UpstreamLoadView> DispatcherCore::loads() const
{
    const std::lock_guard lock(updates_);
    std::vector<UpstreamLoadView> views;
    for (const auto &[name, state] : states_) {
        for (const auto &[id, upstream] : state->upstreams)
            views.push_back({id, name, upstream->inFlight.load()});
    }
    return views;
}

ChoiceContext DispatcherCore::contextOf(const RoutingSnapshot &snapshot, base::Rng &rng,
                                        std::span<const std::string> excluded) const
{
    return {&sharing_, snapshot.entryInstances, now(), excluded, &rng};
}

// A separate generator per decision avoids shared state between threads and keeps single-threaded
// runs reproducible.
base::Rng DispatcherCore::nextRng()
{
    return base::Rng(seed_ + rngCount_.fetch_add(1) * kSeedStep * kSeedStep);
}

Permit DispatcherCore::grant(const ServiceSnapshot &service, const ChosenSlot &chosen, bool isRetry,
                             base::TimePoint at)
{
    ++inFlight_;
    ++service.state->slotsInUse;
    if (!isRetry)
        service.state->retries.onFirstAttempt(service.policy.retryPercent);
    return Permit({shared_from_this(), service.state, chosen.upstream, at, chosen.isProbe});
}

void DispatcherCore::dropRemovedServices(const RoutingTable &table, PendingResults &pendingResults)
{
    for (const auto &[name, state] : states_) {
        if (table.services.contains(name))
            continue;
        const std::lock_guard lock(state->mutex);
        for (const WaiterPtr &waiter : state->queue.all())
            reject(*state, waiter, base::Code::UnknownService, pendingResults);
    }
    std::erase_if(states_, [&](const auto &entry) {
        return !table.services.contains(entry.first) && entry.second->slotsInUse.load() == 0;
    });
}

void DispatcherCore::deliver(PendingResults &pendingResults)
{
    for (PendingResult &pendingResult : pendingResults)
        pendingResult.waiter->callback(std::move(*pendingResult.result));
    pendingResults.clear();
}

} // namespace chicorywick::serving
