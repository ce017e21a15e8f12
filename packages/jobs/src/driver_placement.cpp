#include "driver_core.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// Queue entries considered for each start that the step may make.
constexpr std::size_t kCandidatesPerStart = 4;
constexpr std::size_t kMaxPreemptionsPerStep = 16;
// How long the checkpoints for an urgent job may take before other attempts are chosen.
constexpr base::Duration kPreemptionTimeout = std::chrono::seconds(4);
// A job that has fitted no worker for this long gets one held for it until enough of it is free.
constexpr base::Duration kHoldAfter = std::chrono::minutes(5);
// A job that is too large for every worker fails only after this time, because a move or a reboot
// may change the fleet for a while.
constexpr base::Duration kUnplaceableTimeout = std::chrono::minutes(10);

void add(platform::Capacity &to, const platform::Capacity &amount)
{
    to.cpuMillis += amount.cpuMillis;
    to.memoryMib += amount.memoryMib;
    to.accelerators += amount.accelerators;
}

bool isAtLeast(const platform::Capacity &left, const platform::Capacity &right)
{
    return left.cpuMillis >= right.cpuMillis && left.memoryMib >= right.memoryMib
           && left.accelerators >= right.accelerators;
}

using Spreads = std::map<std::string, KindSpread>;

void addTo(KindSpread &spread, const WorkerView &worker)
{
    ++spread.racks[worker.rack];
    ++spread.zones[worker.zone];
    ++spread.total;
}

Spreads spreadsOf(const JobCache::Jobs &jobs, const std::vector<WorkerView> &views)
{
    std::map<std::string, const WorkerView *> byId;
    for (const WorkerView &view : views)
        byId.emplace(view.id, &view);
    Spreads spreads;
    for (const auto &[key, stored] : jobs) {
        const auto found = byId.find(stored.job.worker());
        if (isActive(stored.job.state()) && found != byId.end())
            addTo(spreads[stored.job.spec().kind], *found->second);
    }
    return spreads;
}

} // namespace

TeamShares JobDriver::Core::currentShares() const
{
    TeamShares shares;
    shares.quotas = quotas_;
    for (const auto &[pool, jobs] : cache_.pools()) {
        for (const auto &[key, stored] : jobs) {
            if (isActive(stored.job.state()))
                shares.add(stored.job.spec().team, stored.job.reserved());
        }
    }
    return shares;
}

JobDriver::Core::Reservations JobDriver::Core::currentReservations() const
{
    Reservations reserved;
    for (const auto &[pool, jobs] : cache_.pools()) {
        for (const auto &[key, stored] : jobs) {
            if (isActive(stored.job.state()))
                add(reserved[stored.job.worker()], stored.job.reserved());
        }
    }
    return reserved;
}

std::vector<WorkerView> JobDriver::Core::viewsOf(const std::string &pool,
                                                 const Reservations &reserved) const
{
    std::vector<WorkerView> views = fleet_.placeable(pool, now());
    for (WorkerView &view : views) {
        const auto found = reserved.find(view.id);
        if (found != reserved.end())
            view.reserved = found->second;
    }
    return views;
}

void JobDriver::Core::placeQueued()
{
    if (tableDown_)
        return;
    const double available = options_.writeBudget->available(now());
    std::size_t limit =
            std::min(options_.maxStartsPerStep, static_cast<std::size_t>(std::max(0.0, available)));
    std::vector<PlannedStart> starts;
    TeamShares shares = currentShares();
    const Reservations reserved = currentReservations();
    // A random first pool keeps the same pools from using up the starts of every step.
    const std::size_t offset = pools_.empty() ? 0 : rng_.below(pools_.size());
    for (std::size_t i = 0; i < pools_.size() && starts.size() < limit; ++i)
        placePool(pools_[(i + offset) % pools_.size()], reserved, shares, limit, starts);
    startPlanned(starts);
    applyChanges(std::exchange(rejected_, {}));
}

void JobDriver::Core::trackUnplaceable(const std::string &key)
{
    const auto since = unplaceableSince_.emplace(key, now()).first->second;
    if (now() - since >= kUnplaceableTimeout)
        rejected_.push_back({.key = key, .isUnplaceable = true});
}

JobDriver::Core::PoolQueue JobDriver::Core::queueOf(const std::string &pool,
                                                    const JobCache::Jobs &jobs)
{
    const base::TimePoint time = now();
    const auto capacities = fleet_.capacities(pool);
    PoolQueue queue;
    for (const auto &[key, stored] : jobs) {
        const Job &job = stored.job;
        if (job.state() != JobState::Queued || time < job.queuedAt() + retryDelay(job))
            continue;
        const auto size = placeableSize(usage_.predict(job.spec()).resources, job.spec().resources,
                                        capacities);
        // Without listed workers there is no evidence that the job is too large.
        if (!size && !capacities.empty())
            trackUnplaceable(key);
        if (!size)
            continue;
        unplaceableSince_.erase(key);
        queue.entries.push_back({.job = queue.jobs.size(),
                                 .team = job.spec().team,
                                 .jobClass = job.spec().jobClass,
                                 .requested = *size,
                                 .acceptedAt = job.acceptedAt()});
        queue.keys.push_back(key);
        queue.jobs.push_back(&job);
    }
    return queue;
}

void JobDriver::Core::placePool(const std::string &pool, const Reservations &reserved,
                                TeamShares &shares, std::size_t limit,
                                std::vector<PlannedStart> &starts)
{
    const auto found = cache_.pools().find(pool);
    if (found == cache_.pools().end())
        return;
    const PoolQueue queue = queueOf(pool, found->second);
    if (queue.entries.empty())
        return;
    const base::TimePoint time = now();
    std::vector<WorkerView> views = viewsOf(pool, reserved);
    Spreads spreads = spreadsOf(found->second, views);
    std::optional<platform::Capacity> tooLarge;
    std::size_t preemptions = 0;
    for (const QueueEntry &entry :
         orderQueue(queue.entries, shares, time, (limit - starts.size()) * kCandidatesPerStart)) {
        if (starts.size() >= limit)
            return;
        const Job &job = *queue.jobs[entry.job];
        const std::string &key = queue.keys[entry.job];
        if (!shares.allows(entry.team, entry.requested))
            continue;
        const bool isUrgent = entry.jobClass == JobClass::Urgent;
        if (!isUrgent && tooLarge && isAtLeast(entry.requested, *tooLarge))
            continue;
        const bool hasWaited = time - job.queuedAt() >= kHoldAfter;
        KindSpread &spread = spreads[job.spec().kind];
        const auto worker = pickWorker({.requested = entry.requested,
                                        .avoidedWorkers = job.failedWorkers(),
                                        .spread = &spread,
                                        .mayUseHeld = isUrgent || hasWaited},
                                       views);
        if (worker) {
            add(views[*worker].reserved, entry.requested);
            addTo(spread, views[*worker]);
            shares.add(entry.team, entry.requested);
            starts.push_back(
                    {key, views[*worker].id, entry.requested, usage_.predict(job.spec()).runTime});
        } else if (isUrgent && preemptions < kMaxPreemptionsPerStep) {
            ++preemptions;
            preemptFor(entry, key, pool, views);
        } else {
            tooLarge = entry.requested;
            if (hasWaited)
                holdWorker(job, entry.requested, views);
        }
    }
}

void JobDriver::Core::holdWorker(const Job &job, const platform::Capacity &requested,
                                 std::vector<WorkerView> &views) const
{
    const bool isHeld = std::any_of(views.begin(), views.end(),
                                    [](const WorkerView &view) { return view.isHeld; });
    if (isHeld)
        return;
    WorkerView *best = nullptr;
    for (WorkerView &view : views) {
        WorkerView empty = view;
        empty.reserved = {};
        const auto &failed = job.failedWorkers();
        const bool isAvoided = std::find(failed.begin(), failed.end(), view.id) != failed.end();
        if (isAvoided || !fits(requested, empty))
            continue;
        if (best == nullptr || view.reserved.cpuMillis < best->reserved.cpuMillis)
            best = &view;
    }
    if (best != nullptr)
        best->isHeld = true;
}

void JobDriver::Core::preemptFor(const QueueEntry &entry, const std::string &key,
                                 const std::string &pool, const std::vector<WorkerView> &views)
{
    const auto waiting = preemptionDeadlines_.find(key);
    if (waiting != preemptionDeadlines_.end() && waiting->second > now())
        return;
    std::map<std::string, std::size_t> positions;
    for (std::size_t i = 0; i < views.size(); ++i)
        positions.emplace(views[i].id, i);
    std::vector<PreemptionCandidate> candidates;
    for (const auto &[jobKey, stored] : cache_.pools().at(pool)) {
        const Job &job = stored.job;
        const auto worker = positions.find(job.worker());
        const auto localState = localStates_.find(jobKey);
        const bool isEnding = localState != localStates_.end()
                              && localState->second.attempt == job.attempt()
                              && localState->second.isPreempted;
        if (!isActive(job.state()) || worker == positions.end() || isEnding)
            continue;
        if (job.spec().jobClass == JobClass::Urgent || !job.isResumable())
            continue;
        candidates.push_back({.job = jobKey,
                              .worker = worker->second,
                              .reserved = job.reserved(),
                              .jobClass = job.spec().jobClass,
                              .startedAt = job.startedAt()});
    }
    const auto chosen = pickPreemption(entry.requested, views, candidates);
    if (chosen.empty())
        return;
    preemptionDeadlines_[key] = now() + kPreemptionTimeout;
    for (const std::size_t index : chosen) {
        const std::string &victim = candidates[index].job;
        const StoredJob *stored = cache_.find(victim);
        AttemptLocalState &localState = localStateOf(victim, stored->job.attempt());
        localState.isPreempted = true;
        ++report_.preempted;
        base::logEvent(base::Event::JobPreempted, {{"job", victim}, {"for", key}});
        sendCommand(stored->job, victim, TaskCommand::Checkpoint, localState);
    }
}

} // namespace chicorywick::jobs
