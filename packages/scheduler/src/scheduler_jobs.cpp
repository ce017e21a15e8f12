#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <utility>

namespace chicorywick::scheduler {

namespace {

constexpr Millis kCompactionPeriodMs = 1'000;
constexpr Millis kJobMemoryPeriodMs = 250;

const char *stateName(JobState state)
{
    switch (state) {
    case JobState::Pending:
        return "pending";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "";
}

} // namespace

Scheduler::Scheduler(WorkerOrders &orders, SchedulerHooks hooks, SchedulerSettings settings)
    : orders_(orders)
    , hooks_(std::move(hooks))
    , settings_(settings)
    , createdAt_(hooks_.clock().steady)
{}

Scheduler::~Scheduler()
{
    *alive_ = false;
}

Scheduler::JobEntry *Scheduler::entryOf(const std::string &id)
{
    const auto found = jobs_.find(id);
    return found != jobs_.end() ? found->second.get() : nullptr;
}

const Scheduler::JobEntry *Scheduler::entryOf(const std::string &id) const
{
    const auto found = jobs_.find(id);
    return found != jobs_.end() ? found->second.get() : nullptr;
}

Task *Scheduler::taskOf(const TaskId &id)
{
    JobEntry *const entry = entryOf(id.job);
    return entry != nullptr ? entry->job.task(id) : nullptr;
}

const Task *Scheduler::taskOf(const TaskId &id) const
{
    const JobEntry *const entry = entryOf(id.job);
    return entry != nullptr ? entry->job.task(id) : nullptr;
}

// An accepted job runs to its end also if the operator removes its queue.
const QueuePolicy *Scheduler::policyOf(const Job &job) const
{
    const auto found = queues_.find(job.spec().queue);
    if (found != queues_.end())
        return &found->second;
    const std::optional<QueuePolicy> &accepted = job.spec().acceptedPolicy;
    return accepted ? &*accepted : nullptr;
}

std::set<std::string> Scheduler::usedServices() const
{
    std::set<std::string> services;
    for (const auto &[name, policy] : queues_)
        services.insert(policy.service);
    for (const auto &[id, entry] : openJobs_)
        if (const QueuePolicy *const policy = policyOf(entry->job))
            services.insert(policy->service);
    return services;
}

void Scheduler::setQueues(const std::vector<QueuePolicy> &queues)
{
    std::map<std::string, QueuePolicy> next;
    for (const QueuePolicy &queue : queues)
        next.emplace(queue.name, queue);
    if (next == queues_)
        return;
    for (const auto &[id, entry] : openJobs_)
        dequeueAll(*entry);
    queues_ = std::move(next);
    for (const auto &[id, entry] : openJobs_) {
        recordService(*entry);
        enqueueReady(*entry);
    }
    place();
}

void Scheduler::recordService(JobEntry &entry)
{
    const QueuePolicy *const policy = policyOf(entry.job);
    if (policy == nullptr || !entry.job.addService(policy->service))
        return;
    markDirty(entry.job.spec().id);
    entry.serviceBatch = batch_;
}

void Scheduler::markDirty(const std::string &id)
{
    if (dirty_.empty())
        ++batch_;
    dirty_.insert(id);
    if (hooks_.onProgress)
        hooks_.onProgress();
}

void Scheduler::addJob(const JobSpec &spec, const std::optional<JobProgress> &progress)
{
    if (jobs_.contains(spec.id))
        return;
    const Now now = hooks_.clock();
    // The wall clocks of two machines may differ; a submission time in the future gives age 0.
    const Millis age = std::clamp<Millis>(now.wall - spec.submittedWall, 0, settings_.retentionMs);
    auto owned = std::make_unique<JobEntry>(
            JobEntry{.job = Job(spec, now.steady - age), .footprint = footprintOf(spec)});
    JobEntry &entry = *owned;
    entry.sequence = nextSequence_++;
    if (progress) {
        entry.job.restore(*progress, now.steady);
        entry.mayHaveRuns = true;
    }
    recordShare(entry);
    jobs_.emplace(spec.id, std::move(owned));
    beginDueOccurrences(entry);
    if (isTerminal(entry.job.state())) {
        recordEndedJob(entry);
    } else {
        openJobs_.emplace(spec.id, &entry);
        if (spec.repeatCount > 0)
            recurringJobs_.insert(spec.id);
        if (entry.job.isPerpetual())
            perpetualJobs_.insert(spec.id);
        recordService(entry);
    }
    base::logEvent(base::Event::JobAccepted, {{"job", spec.id},
                                              {"queue", spec.queue},
                                              {"age_ms", std::to_string(age)},
                                              {"resumed", progress ? "1" : "0"}});
    if (!progress)
        recordArrival(entry.job);
    finishPartlyDoneGangs(entry);
    enqueueReady(entry);
    requestPlacement();
}

void Scheduler::mergeStoredProgress(const std::string &id, const JobProgress &progress)
{
    JobEntry *const entry = entryOf(id);
    if (entry == nullptr || isTerminal(entry->job.state()))
        return;
    if (progress.state == JobState::Failed) {
        entry->job.fail(hooks_.clock().steady);
        finishJob(*entry);
        return;
    }
    // The progress of a cancelled job does not tell which tasks are done.
    if (progress.state == JobState::Cancelled)
        return cancelJob(id);
    for (const std::string &service : progress.services)
        entry->job.addService(service);
    for (const TaskId &task : entry->job.tasksDoneIn(progress))
        handleDone(*entry, EndedTask{.task = task}, {});
    for (const TaskId &task : entry->job.mergeLostRuns(progress)) {
        requeueReady(*entry, task);
        failIfExhausted(*entry, task);
    }
    markDirty(id);
}

void Scheduler::cancelJob(const std::string &id)
{
    JobEntry *const entry = entryOf(id);
    if (entry == nullptr || isTerminal(entry->job.state()))
        return;
    entry->job.cancel(hooks_.clock().steady);
    finishJob(*entry);
}

// The job has no open occurrences, so tasks that workers list as running are unknown and get
// stopped.
void Scheduler::addCancelledJob(const JobSpec &spec)
{
    if (jobs_.contains(spec.id))
        return cancelJob(spec.id);
    addJob(spec, JobProgress{.state = JobState::Cancelled});
    markDirty(spec.id);
}

// Removes the waiting tasks of a job in a final state from the queue and stops the running ones.
void Scheduler::finishJob(JobEntry &entry)
{
    dequeueAll(entry);
    stopAllTasks(entry);
    recordEndedJob(entry);
    markDirty(entry.job.spec().id);
    base::logEvent(
            base::Event::JobFinished,
            {{"job", entry.job.spec().id},
             {"queue", entry.job.spec().queue},
             {"state", stateName(entry.job.state())},
             {"age_ms", std::to_string(hooks_.clock().steady - entry.job.acceptedSteady())}});
}

void Scheduler::stopAllTasks(JobEntry &entry)
{
    for (auto &[number, occurrence] : entry.job.occurrences())
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
            for (auto &[index, task] : occurrence.steps[step].edited()) {
                if (task.worker.empty() || task.phase == TaskPhase::Done)
                    continue;
                stop({.job = entry.job.spec().id,
                      .occurrence = number,
                      .step = static_cast<int>(step),
                      .index = index},
                     task, StopReason::JobEnded);
            }
}

std::vector<std::int64_t> Scheduler::beginDueOccurrences(JobEntry &entry)
{
    while (!entry.unstoredOccurrences.empty() && entry.unstoredOccurrences.front() <= storedBatch_)
        entry.unstoredOccurrences.pop_front();
    return entry.job.beginDueOccurrences(hooks_.clock().wall, entry.unstoredOccurrences.size());
}

// Events that arrive together share one pass: a pass examines many more tasks and workers than one
// event changes, and a busy leader has dozens of events waiting.
void Scheduler::requestPlacement()
{
    if (!hooks_.defer)
        return place();
    if (std::exchange(isPlacementRequested_, true))
        return;
    hooks_.defer([this, alive = alive_] {
        if (!*alive)
            return;
        isPlacementRequested_ = false;
        place();
    });
}

void Scheduler::tick()
{
    expireEndedJobs();
    compactEndedJobs();
    for (const std::string &id : std::vector(recurringJobs_.begin(), recurringJobs_.end())) {
        JobEntry &entry = *entryOf(id);
        const std::vector<std::int64_t> begun = beginDueOccurrences(entry);
        if (begun.empty())
            continue;
        markDirty(id);
        for (const std::int64_t number : begun)
            enqueueReady(entry, *entry.job.occurrence(number));
    }
    refreshBands();
    retryWorkers();
    pruneWorkers();
    expireSilences();
    // Quarantines and capacity back-offs of workers end without an event.
    markAllServicesForPlacement();
    place(PlacementDepth::Further);
    reportWaiting();
}

void Scheduler::recordEndedJob(JobEntry &entry)
{
    const std::string &id = entry.job.spec().id;
    entry.job.dropPayload();
    uncompactedJobs_.insert(id);
    openJobs_.erase(id);
    recurringJobs_.erase(id);
    perpetualJobs_.erase(id);
    endedJobs_.emplace_back(entry.job.endedSteady(), id);
}

void Scheduler::expireEndedJobs()
{
    const Millis now = hooks_.clock().steady;
    while (!endedJobs_.empty() && now - endedJobs_.front().first > settings_.retentionMs) {
        expiredJobs_.push_back(endedJobs_.front().second);
        uncompactedJobs_.erase(endedJobs_.front().second);
        jobs_.erase(endedJobs_.front().second);
        endedJobs_.pop_front();
    }
}

// The steps of an ended job are needed as long as a worker may run one of its tasks, also after an
// order that it executes late.
void Scheduler::compactEndedJobs()
{
    const Millis now = hooks_.clock().steady;
    if (uncompactedJobs_.empty() || now - compactedAt_ < kCompactionPeriodMs)
        return;
    compactedAt_ = now;
    std::set<std::string> onWorkers;
    for (const auto &[id, worker] : workers_) {
        for (const std::set<TaskId> *tasks :
             {&worker->tasks, &worker->startingTasks, &worker->trialTasks, &worker->inheritedTasks})
            for (const TaskId &task : *tasks)
                onWorkers.insert(task.job);
        for (const auto &[key, run] : worker->unassigned)
            onWorkers.insert(key.first.job);
    }
    std::erase_if(uncompactedJobs_, [&](const std::string &id) {
        JobEntry &entry = *entryOf(id);
        if (onWorkers.contains(id) || now - entry.job.endedSteady() < kMaxOrderDelayMs)
            return false;
        entry.job.compact();
        entry.footprint = footprintOf(entry.job.spec());
        return true;
    });
}

const JobMemory &Scheduler::jobMemory() const
{
    const Millis now = hooks_.clock().steady;
    if (jobMemoryAt_ != 0 && now - jobMemoryAt_ < kJobMemoryPeriodMs)
        return jobMemory_;
    jobMemoryAt_ = now;
    jobMemory_ = {};
    for (const auto &[id, entry] : jobs_) {
        const JobSpec &spec = entry->job.spec();
        const std::int64_t bytes = entry->footprint.jobBytes
                                   + static_cast<std::int64_t>(entry->job.occurrences().size())
                                             * entry->footprint.occurrenceBytes;
        jobMemory_.total += bytes;
        jobMemory_.byHolder[roomHolderOf(spec.account, spec.queue)] += bytes;
    }
    return jobMemory_;
}

std::vector<std::string> Scheduler::takeDirtyJobs()
{
    std::vector<std::string> taken(dirty_.begin(), dirty_.end());
    dirty_.clear();
    return taken;
}

std::vector<std::string> Scheduler::takeExpiredJobs()
{
    return std::exchange(expiredJobs_, {});
}

void Scheduler::progressStored(std::uint64_t batch)
{
    storedBatch_ = std::max(storedBatch_, batch);
    for (auto &[id, worker] : workers_) {
        bool hasMore = false;
        while (!worker->unstoredEnds.empty()
               && worker->unstoredEnds.front().first <= storedBatch_) {
            worker->lastAckedEnd = worker->unstoredEnds.front().second;
            worker->unstoredEnds.pop_front();
            hasMore = true;
        }
        if (hasMore)
            renew(*worker);
    }
}

std::optional<JobProgress> Scheduler::progressOf(const std::string &id) const
{
    const JobEntry *const entry = entryOf(id);
    if (entry == nullptr)
        return std::nullopt;
    return entry->job.progress();
}

std::optional<JobState> Scheduler::stateOf(const std::string &id) const
{
    const JobEntry *const entry = entryOf(id);
    if (entry == nullptr)
        return std::nullopt;
    return entry->job.state();
}

} // namespace chicorywick::scheduler
