#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// A run that its worker shows at work after this time has survived its start.
constexpr Millis kSettleMs = 250;
// A run that has lasted this long is not suspected when its worker crashes.
constexpr Millis kProvenMs = 10'000;
// Longest wait for a silent worker to show whether it has crashed again under a task.
constexpr Millis kEvidenceWaitMs = 10'000;

} // namespace

bool Scheduler::isProven(const Task &task) const
{
    return task.isSettled && hooks_.clock().steady - task.startedAt >= kProvenMs;
}

std::vector<Scheduler::LostRun> Scheduler::unprovenRuns(const Worker &worker) const
{
    std::vector<LostRun> runs;
    for (const TaskId &id : worker.tasks) {
        const Task *const task = taskOf(id);
        if (task != nullptr && task->phase != TaskPhase::Done && !isProven(*task))
            runs.push_back({.task = id,
                            .run = task->run,
                            .hasBegun = task->hasBegun,
                            .isSettled = task->isSettled});
    }
    return runs;
}

// Adds a crash to the history of each run that can be its cause, and gives up the jobs whose tasks
// are shown to be the cause.
void Scheduler::recordCrash(const std::vector<LostRun> &runs)
{
    std::set<std::string> startingJobs;
    std::set<std::string> jobs;
    for (const LostRun &run : runs) {
        jobs.insert(run.task.job);
        if (!run.isSettled)
            startingJobs.insert(run.task.job);
    }
    std::set<std::string> causes;
    for (const LostRun &run : runs) {
        JobEntry *const entry = entryOf(run.task.job);
        Task *const task = taskOf(run.task);
        if (entry == nullptr || task == nullptr || isTerminal(entry->job.state())
            || task->phase == TaskPhase::Done)
            continue;
        task->heldUntil = 0;
        // A start without an answer was often sent to a worker that had crashed already.
        const bool isStarting = run.hasBegun && !run.isSettled;
        task->crashes.record(run.run, isStarting);
        markDirty(run.task.job);
        if (task->crashes.isCause({.isStarting = isStarting,
                                   .isOnlyStarting = startingJobs.size() == 1,
                                   .isOnlyUnproven = jobs.size() == 1}))
            causes.insert(run.task.job);
        if (entry->ready.contains(run.task)) {
            dequeue(*entry, run.task);
            enqueue(*entry, run.task);
        }
    }
    for (const std::string &job : causes)
        giveUp(*entryOf(job));
}

// A worker that has crashed returns as another incarnation, one that was cut off replies again.
void Scheduler::recordSilence(Worker &worker, const std::vector<LostRun> &runs)
{
    worker.silentRuns.insert(worker.silentRuns.end(), runs.begin(), runs.end());
    for (const LostRun &run : runs)
        if (Task *const task = taskOf(run.task); task != nullptr && !task->crashes.empty())
            task->heldUntil = hooks_.clock().steady + kEvidenceWaitMs;
}

void Scheduler::recordReturn(Worker &worker)
{
    for (const LostRun &run : std::exchange(worker.silentRuns, {}))
        if (Task *const task = taskOf(run.task))
            task->heldUntil = 0;
}

void Scheduler::giveUp(JobEntry &entry)
{
    base::logEvent(base::Event::JobGivenUp,
                   {{"job", entry.job.spec().id}, {"queue", entry.job.spec().queue}});
    entry.job.fail(hooks_.clock().steady);
    finishJob(entry);
}

void Scheduler::beginRun(Worker &worker, const TaskId &id, Task &task)
{
    task.startedAt = hooks_.clock().steady;
    task.hasBegun = false;
    task.isSettled = false;
    worker.startingTasks.insert(id);
    if (task.crashes.needsTrial() || task.crashes.needsOwnWorker())
        worker.trialTasks.insert(id);
}

void Scheduler::endTrial(Worker &worker, const TaskId &id)
{
    if (worker.trialTasks.erase(id) > 0)
        servicesToPlace_.insert(worker.entry.service);
}

// A report that the worker wrote after the start shows that the run is at work.
void Scheduler::updateTrial(Worker &worker, const TaskId &id, Task &task)
{
    task.hasBegun = true;
    const Millis age = worker.reportAt - task.startedAt;
    if (!task.isSettled && age >= kSettleMs) {
        task.isSettled = true;
        worker.startingTasks.erase(id);
        if (!task.crashes.needsOwnWorker())
            endTrial(worker, id);
    }
    if (!task.crashes.empty() && age >= kProvenMs) {
        task.crashes = {};
        endTrial(worker, id);
        markDirty(id.job);
    }
}

// The long poll of a worker returns only when a task ends, so a trial is asked for.
void Scheduler::checkTrials(Worker &worker)
{
    const Millis now = hooks_.clock().steady;
    const bool isDue = std::any_of(
            worker.trialTasks.begin(), worker.trialTasks.end(), [this, now](const TaskId &id) {
                const Task *const task = taskOf(id);
                return task != nullptr && !task->isSettled && now - task->startedAt >= kSettleMs;
            });
    if (isDue)
        probe(worker);
}

// While a task is on trial, its worker starts tasks of the same job only: if the worker crashes,
// the job is known to be the cause.
bool Scheduler::mayStartBeside(const Worker &worker, const TaskId &id, const Task &task) const
{
    const auto isOtherJob = [&id](const TaskId &other) { return other.job != id.job; };
    if (!worker.trialTasks.empty() && isOtherJob(*worker.trialTasks.begin()))
        return false;
    if (task.crashes.needsTrial()
        && std::any_of(worker.startingTasks.begin(), worker.startingTasks.end(), isOtherJob))
        return false;
    if (!task.crashes.needsOwnWorker())
        return true;
    return std::none_of(worker.tasks.begin(), worker.tasks.end(), [&](const TaskId &other) {
        const Task *const neighbour = taskOf(other);
        return isOtherJob(other) && neighbour != nullptr && !isProven(*neighbour);
    });
}

// Tasks on trial are placed before the others. If no worker can take one, a worker is kept free of
// other starts until it can; the share bounds how many starts of other tasks are held up.
void Scheduler::placeTrials(const std::string &service)
{
    constexpr std::size_t kReservedWorkersShare = 4;
    const ReadyQueue &queue = ready_[service];
    if (queue.trials.empty())
        return;
    const std::size_t maxReserved =
            std::max<std::size_t>(1, workersFor(service).size() / kReservedWorkersShare);
    const Millis now = hooks_.clock().steady;
    for (const ReadyKey &key : std::set(queue.trials)) {
        JobEntry *const entry = entryOf(key.id.job);
        const bool isHeld = entry == nullptr || isStartUncertain(*entry, service)
                            || entry->job.task(key.id)->heldUntil > now;
        if (isHeld || tryPlace(*entry, key.id))
            continue;
        if (reserved_.size() < maxReserved)
            reserveForTrial(*entry, key.id);
    }
}

void Scheduler::reserveForTrial(const JobEntry &entry, const TaskId &id)
{
    const Resources demand = reservedFor(stepOf(entry.job, id));
    const Millis now = hooks_.clock().steady;
    const Worker *emptiest = nullptr;
    for (const Worker *const worker : workersFor(policyOf(entry.job)->service)) {
        const bool isCandidate = isUsable(*worker, now) && worker->entry.capacity.covers(demand)
                                 && worker->trialTasks.empty()
                                 && !reserved_.contains(worker->entry.id);
        if (isCandidate && (emptiest == nullptr || worker->tasks.size() < emptiest->tasks.size()))
            emptiest = worker;
    }
    if (emptiest != nullptr)
        reserved_.insert(emptiest->entry.id);
}

} // namespace chicorywick::scheduler
