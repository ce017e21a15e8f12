#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// A job that ends within three objectives earns its late worth; the users' pages set the factor.
constexpr int kLateFactor = 3;
// Bands of the ready queue.
constexpr int kPerpetualBand = 0;
constexpr int kOnTimeBand = 1;
constexpr int kLateBand = 2;
constexpr int kOverdueBand = 3;
// Window of the moving average of submitted work: short enough to follow a queue that turns busy.
constexpr double kWindowMs = 700;
// Bands change as slack is used up; twice a second keeps the queue's order close to the truth.
constexpr Millis kBandRefreshMs = 500;

// Longest local time that a lease can last on a worker whose clock runs slow.
Millis formerLeaseEnd(Millis leaseMs)
{
    constexpr Millis kSlackMs = 200;
    return leaseMs + leaseMs * 3 / 100 + kSlackMs;
}

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
    , beganAt_(hooks_.clock().steady)
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

const QueuePolicy *Scheduler::policyOf(const Job &job) const
{
    const auto found = queues_.find(job.spec().queue);
    return found != queues_.end() ? &found->second : nullptr;
}

void Scheduler::setQueues(const std::vector<QueuePolicy> &queues)
{
    std::map<std::string, QueuePolicy> next;
    for (const QueuePolicy &queue : queues)
        next.emplace(queue.name, queue);
    if (next == queues_)
        return;
    for (auto &[id, entry] : jobs_)
        for (const auto &[task, key] : std::map(entry->ready))
            dequeue(*entry, task);
    queues_ = std::move(next);
    for (auto &[id, entry] : jobs_)
        enqueueReady(*entry);
    place();
}

void Scheduler::markDirty(const std::string &id)
{
    if (dirty_.empty())
        ++batch_;
    dirty_.insert(id);
    if (hooks_.onProgress)
        hooks_.onProgress();
}

void Scheduler::noteArrival(const Job &job)
{
    const QueuePolicy *const policy = policyOf(job);
    if (policy == nullptr)
        return;
    double work = 0;
    for (const StepSpec &step : job.spec().steps)
        if (!step.isPerpetual)
            work += static_cast<double>(step.taskCount) * static_cast<double>(step.demand.cpuMillis)
                    * static_cast<double>(step.estimatedMs);
    ArrivalRate &rate = arrivals_[policy->service];
    const Millis now = hooks_.clock().steady;
    rate.cpuMillis = rate.cpuMillis * std::exp(-static_cast<double>(now - rate.at) / kWindowMs)
                     + work / kWindowMs;
    rate.at = now;
}

void Scheduler::addJob(const JobSpec &spec, const std::optional<JobProgress> &progress)
{
    if (jobs_.contains(spec.id))
        return;
    const Now now = hooks_.clock();
    // The age is taken from wall clocks of two machines; a clock that runs ahead counts as no age.
    const Millis age = std::clamp<Millis>(now.wall - spec.submittedWall, 0, settings_.retentionMs);
    auto owned = std::make_unique<JobEntry>(JobEntry{.job = Job(spec, now.steady - age)});
    JobEntry &entry = *owned;
    entry.sequence = nextSequence_++;
    if (progress) {
        entry.job.restore(*progress, now.steady);
        entry.uncertainUntil = beganAt_ + formerLeaseEnd(settings_.formerLeaseMs);
    }
    jobs_.emplace(spec.id, std::move(owned));
    entry.job.beginDue(now.wall);
    base::logEvent(base::Event::JobAccepted, {{"job", spec.id},
                                              {"queue", spec.queue},
                                              {"age_ms", std::to_string(age)},
                                              {"resumed", progress ? "1" : "0"}});
    if (!progress)
        noteArrival(entry.job);
    enqueueReady(entry);
    place();
}

void Scheduler::mergeStored(const std::string &id, const JobProgress &progress)
{
    JobEntry *const entry = entryOf(id);
    if (entry == nullptr || isTerminal(entry->job.state()))
        return;
    if (progress.state == JobState::Failed) {
        entry->job.fail(hooks_.clock().steady);
        finishJob(*entry);
        return;
    }
    for (const TaskId &task : entry->job.tasksDoneIn(progress))
        handleDone(*entry, EndedTask{.task = task});
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

// The job has reached a final state: nothing of it waits any more and what runs is stopped.
void Scheduler::finishJob(JobEntry &entry)
{
    for (const auto &[task, key] : std::map(entry.ready))
        dequeue(entry, task);
    stopAllTasks(entry);
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
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                Task &task = occurrence.steps[step][index];
                if (task.worker.empty() || task.phase == TaskPhase::Done)
                    continue;
                stop({.job = entry.job.spec().id,
                      .occurrence = number,
                      .step = static_cast<int>(step),
                      .index = static_cast<int>(index)},
                     task);
            }
}

Scheduler::ReadyKey Scheduler::keyOf(const JobEntry &entry, const TaskId &id) const
{
    const QueuePolicy *const policy = policyOf(entry.job);
    const Millis now = hooks_.clock().steady;
    const StepSpec &step = entry.job.spec().steps[static_cast<std::size_t>(id.step)];
    const Millis objective =
            policy == nullptr ? entry.job.totalChain()
                              : static_cast<Millis>(policy->stretch
                                                    * static_cast<double>(entry.job.totalChain()))
                                        + policy->targetCompletionMs;
    Millis due = entry.job.acceptedSteady() + objective;
    const Millis chain = entry.job.remainingChain(id.step);
    int band = kOnTimeBand;
    if (step.isPerpetual)
        band = kPerpetualBand;
    else if (due - chain < now) {
        due += (kLateFactor - 1) * objective;
        band = due - chain < now ? kOverdueBand : kLateBand;
    }
    const int priority = policy != nullptr ? policy->priority : 0;
    constexpr int kBandsPerPriority = 4;
    return {.band = step.isPerpetual ? kPerpetualBand : priority * kBandsPerPriority + band,
            .latestStart = due - chain,
            .sequence = entry.sequence,
            .id = id};
}

void Scheduler::enqueue(JobEntry &entry, const TaskId &id)
{
    const QueuePolicy *const policy = policyOf(entry.job);
    if (policy == nullptr || isTerminal(entry.job.state()) || entry.ready.contains(id))
        return;
    const ReadyKey key = keyOf(entry, id);
    entry.ready.emplace(id, key);
    ready_[policy->service].insert(key);
}

void Scheduler::dequeue(JobEntry &entry, const TaskId &id)
{
    const auto found = entry.ready.find(id);
    if (found == entry.ready.end())
        return;
    if (const QueuePolicy *const policy = policyOf(entry.job))
        ready_[policy->service].erase(found->second);
    entry.ready.erase(found);
}

void Scheduler::enqueueReady(JobEntry &entry)
{
    for (const auto &[number, occurrence] : entry.job.occurrences())
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                if (occurrence.steps[step][index].phase != TaskPhase::Ready)
                    continue;
                enqueue(entry, {.job = entry.job.spec().id,
                                .occurrence = number,
                                .step = static_cast<int>(step),
                                .index = static_cast<int>(index)});
            }
}

void Scheduler::refreshBands()
{
    const Millis now = hooks_.clock().steady;
    if (now - bandsRefreshedAt_ < kBandRefreshMs)
        return;
    bandsRefreshedAt_ = now;
    for (auto &[id, entry] : jobs_) {
        for (const auto &[task, key] : std::map(entry->ready)) {
            if (keyOf(*entry, task).band == key.band)
                continue;
            dequeue(*entry, task);
            enqueue(*entry, task);
        }
    }
}

// Until every worker that an earlier driver may have used has answered or its lease is over, a task
// without a known worker may still run on a silent one.
bool Scheduler::isUncertain(const JobEntry &entry) const
{
    if (entry.uncertainUntil <= hooks_.clock().steady)
        return false;
    const QueuePolicy *const policy = policyOf(entry.job);
    return std::any_of(workers_.begin(), workers_.end(), [policy](const auto &item) {
        const Worker &worker = *item.second;
        const bool isOfService = policy == nullptr || worker.entry.service == policy->service;
        return isOfService && worker.isExpected && !worker.isContacted && !worker.isReplaced;
    });
}

void Scheduler::tick()
{
    const Now now = hooks_.clock();
    for (auto item = jobs_.begin(); item != jobs_.end();) {
        JobEntry &entry = *item->second;
        if (isTerminal(entry.job.state())) {
            if (now.steady - entry.job.endedSteady() > settings_.retentionMs) {
                forgotten_.push_back(item->first);
                item = jobs_.erase(item);
                continue;
            }
        } else if (!entry.job.beginDue(now.wall).empty()) {
            markDirty(item->first);
            enqueueReady(entry);
        }
        ++item;
    }
    refreshBands();
    retryWorkers();
    pruneWorkers();
    place();
}

std::vector<std::string> Scheduler::takeDirtyJobs()
{
    std::vector<std::string> taken(dirty_.begin(), dirty_.end());
    dirty_.clear();
    return taken;
}

std::vector<std::string> Scheduler::takeForgottenJobs()
{
    return std::exchange(forgotten_, {});
}

void Scheduler::progressStored(std::uint64_t batch)
{
    storedBatch_ = std::max(storedBatch_, batch);
    for (auto &[id, worker] : workers_) {
        bool hasMore = false;
        while (!worker->unstoredEnds.empty()
               && worker->unstoredEnds.front().first <= storedBatch_) {
            worker->ackedEnds = worker->unstoredEnds.front().second;
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

int Scheduler::waitingJobs(const std::string &queue) const
{
    return static_cast<int>(std::count_if(jobs_.begin(), jobs_.end(), [&queue](const auto &item) {
        const Job &job = item.second->job;
        return job.spec().queue == queue && job.state() == JobState::Pending;
    }));
}

std::map<std::string, ServiceLoad> Scheduler::loads() const
{
    std::map<std::string, ServiceLoad> loads;
    for (const auto &[id, worker] : workers_) {
        ServiceLoad &load = loads[worker->entry.service];
        if (isUsable(*worker))
            load.capacityCpuMillis += worker->entry.capacity.cpuMillis;
        load.runningCpuMillis += worker->used.cpuMillis;
    }
    for (const auto &[service, keys] : ready_)
        for (const ReadyKey &key : keys) {
            const JobEntry *const entry = entryOf(key.id.job);
            if (entry == nullptr)
                continue;
            ServiceLoad &load = loads[service];
            load.waitingCpuMillis +=
                    reservedFor(entry->job.spec().steps[static_cast<std::size_t>(key.id.step)])
                            .cpuMillis;
            ++load.waitingTasks;
        }
    const Millis now = hooks_.clock().steady;
    for (const auto &[service, rate] : arrivals_)
        loads[service].arrivingCpuMillis =
                rate.cpuMillis * std::exp(-static_cast<double>(now - rate.at) / kWindowMs);
    for (const auto &[id, entry] : jobs_) {
        const QueuePolicy *const policy = policyOf(entry->job);
        if (policy == nullptr || isTerminal(entry->job.state()))
            continue;
        int &spread = loads[policy->service].spreadWorkers;
        for (const StepSpec &step : entry->job.spec().steps)
            if (step.isPerpetual && step.maxPerWorker > 0)
                spread = std::max(spread,
                                  (step.taskCount + step.maxPerWorker - 1) / step.maxPerWorker);
    }
    return loads;
}

} // namespace chicorywick::scheduler
