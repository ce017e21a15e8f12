#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// A run that its worker shows at work after this time has survived its start.
constexpr Millis kSettleMs = 250;
// A run that started this recently can have crashed its worker although it had been seen at work.
constexpr Millis kRecentMs = 2'000;
// A run that has lasted this long is not suspected when its worker crashes.
constexpr Millis kProvenMs = 10'000;
// Bounds of the workers that are closed to other tasks for trials, and of the trials examined in
// one pass that find no worker.
constexpr std::size_t kClosedWorkersShare = 8;
constexpr std::size_t kMinClosedWorkers = 3;
constexpr int kMaxUnplaceableTrials = 24;
// Longest wait for a silent worker to show whether it has crashed again under a task.
constexpr Millis kEvidenceWaitMs = 10'000;
// A perpetual task has to run again within 9 s of its last run. Its lease takes up to 4.3 s of
// them.
constexpr Millis kPerpetualEvidenceWaitMs = 3'000;
// A machine that returns later than this is not taken for one that has crashed.
constexpr Millis kMaxSilenceMs = 60'000;

} // namespace

// The age counts up to the latest report, because a worker is down for seconds before its crash
// shows.
bool Scheduler::isProven(const Worker &worker, const Task &task) const
{
    return task.isSettled && worker.reportAt - task.startedAt >= kProvenMs;
}

std::vector<Scheduler::LostRun> Scheduler::unprovenRuns(const Worker &worker) const
{
    std::vector<LostRun> runs;
    for (const TaskId &id : worker.tasks) {
        const Task *const task = taskOf(id);
        if (task != nullptr && task->phase != TaskPhase::Done && !isProven(worker, *task))
            runs.push_back({.task = id,
                            .run = task->run,
                            .hasBegun = task->hasBegun,
                            .isSettled = task->isSettled,
                            .isRecent = worker.reportAt - task->startedAt < kRecentMs});
    }
    return runs;
}

void Scheduler::recordCrash(const std::vector<LostRun> &runs)
{
    std::set<TaskId> lost;
    for (const LostRun &run : runs)
        lost.insert(run.task);
    recordCrash(runs, lost);
}

// Adds a crash to the history of each lost run, and gives up the jobs whose tasks are shown to be
// the cause. Runs that may not be lost count as evidence, because they can be the cause.
void Scheduler::recordCrash(const std::vector<LostRun> &runs, const std::set<TaskId> &lost)
{
    std::set<std::string> startingJobs;
    std::set<std::string> recentJobs;
    std::set<std::string> jobs;
    for (const LostRun &run : runs) {
        jobs.insert(run.task.job);
        if (run.isRecent)
            recentJobs.insert(run.task.job);
        if (!run.isSettled)
            startingJobs.insert(run.task.job);
    }
    std::set<std::string> causes;
    for (const LostRun &run : runs) {
        if (!lost.contains(run.task))
            continue;
        JobEntry *const entry = entryOf(run.task.job);
        Task *const task = taskOf(run.task);
        if (entry == nullptr || task == nullptr || isTerminal(entry->job.state())
            || task->phase == TaskPhase::Done)
            continue;
        // A start without an answer was often sent to a worker that had crashed already.
        const bool isStarting = run.hasBegun && !run.isSettled;
        task->crashes.record(run.run, isStarting);
        markDirty(run.task.job);
        if (task->crashes.isCause({.isStarting = isStarting,
                                   .isOnlyStarting = startingJobs.size() == 1,
                                   .isOnlyRecent = recentJobs.size() == 1,
                                   .isOnlyUnproven = jobs.size() == 1}))
            causes.insert(run.task.job);
        requeueReady(*entry, run.task);
    }
    for (const std::string &job : causes)
        giveUp(*entryOf(job));
}

// The place of a task in the queue depends on its crash history.
void Scheduler::requeueReady(JobEntry &entry, const TaskId &id)
{
    if (!isQueued(entry, id))
        return;
    dequeue(entry, id);
    enqueue(entry, id);
}

// Keeps the runs of a worker whose lease has expired. A worker that has crashed returns as another
// incarnation, one that was cut off replies again.
void Scheduler::recordSilence(const Worker &worker, const std::vector<LostRun> &runs)
{
    const Millis now = hooks_.clock().steady;
    // What the lease of a restarted worker lasted longer than usual is not waited for again.
    const Millis waited =
            std::max<Millis>(now - worker.replyAt - longestLocalLease(settings_.leaseMs), 0);
    Silence &silence = silences_[worker.entry.machine];
    silence.incarnation = worker.entry.incarnation;
    silence.since = now;
    silence.runs.insert(silence.runs.end(), runs.begin(), runs.end());
    for (const LostRun &run : runs) {
        Task *const task = taskOf(run.task);
        if (task == nullptr)
            continue;
        ++task->silentRuns;
        if (!task->crashes.needsEvidence(task->silentRuns))
            continue;
        const bool isPerpetual = stepOf(entryOf(run.task.job)->job, run.task).isPerpetual;
        const Millis wait = isPerpetual ? kPerpetualEvidenceWaitMs : kEvidenceWaitMs;
        task->heldUntil = now + std::max<Millis>(wait - waited, 0);
    }
}

// Takes the runs of a silence that has ended; their tasks need not wait for its outcome any longer.
std::vector<Scheduler::LostRun> Scheduler::endSilence(const std::string &machine)
{
    const auto found = silences_.find(machine);
    if (found == silences_.end())
        return {};
    std::vector<LostRun> runs = std::move(found->second.runs);
    silences_.erase(found);
    for (const LostRun &run : runs)
        if (Task *const task = taskOf(run.task)) {
            --task->silentRuns;
            task->heldUntil = 0;
        }
    return runs;
}

// A reply that was written before the lease expired can be read after it.
void Scheduler::recordReturn(const Worker &worker)
{
    const auto found = silences_.find(worker.entry.machine);
    if (found != silences_.end() && found->second.incarnation == worker.entry.incarnation
        && worker.reportAt > found->second.since)
        endSilence(worker.entry.machine);
}

void Scheduler::recordIncarnation(const WorkerEntry &entry)
{
    const auto found = silences_.find(entry.machine);
    if (found == silences_.end() || found->second.incarnation >= entry.incarnation)
        return;
    recordCrash(endSilence(entry.machine));
}

void Scheduler::expireSilences()
{
    const Millis now = hooks_.clock().steady;
    std::vector<std::string> expired;
    for (const auto &[machine, silence] : silences_)
        if (now - silence.since > kMaxSilenceMs)
            expired.push_back(machine);
    for (const std::string &machine : expired)
        endSilence(machine);
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
    task.isListed = false;
    task.isAdopted = false;
    task.isSettled = false;
    task.stopExpectedUntil = 0;
    worker.startingTasks.insert(id);
    if (task.crashes.isSuspected())
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
    task.isListed = true;
    const Millis age = worker.reportAt - task.startedAt;
    if (!task.isSettled && age >= kSettleMs) {
        task.isSettled = true;
        worker.startingTasks.erase(id);
    }
    if (task.isSettled && !task.crashes.needsOwnWorker())
        endTrial(worker, id);
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
        return isOtherJob(other) && neighbour != nullptr && !isProven(worker, *neighbour);
    });
}

// Tasks on trial are placed before the others. If no worker can take one, a worker is kept free of
// other starts until it can. The bounds keep ordinary crashes from closing the service to other
// tasks.
void Scheduler::placeTrials(const std::string &service, const WorkerList &open)
{
    const ReadyQueue &queue = ready_[service];
    if (queue.trials().empty())
        return;
    const std::vector<Worker *> &workers = workersFor(service);
    const std::size_t maxClosed = std::max(kMinClosedWorkers, workers.size() / kClosedWorkersShare);
    const Millis now = hooks_.clock().steady;
    // A worker that has crashed under a trial is down for seconds.
    auto closed = static_cast<std::size_t>(
            std::count_if(workers.begin(), workers.end(), [this, now](const Worker *worker) {
                return !worker->trialTasks.empty() && !worker->hasRenewalFailed
                       && isUsable(*worker, now);
            }));
    int unplaceable = 0;
    for (const auto &[key, id] : std::set(queue.trials())) {
        if (unplaceable >= kMaxUnplaceableTrials)
            return;
        JobEntry *const entry = entryOf(id.job);
        if (entry == nullptr || mustWait(*entry))
            continue;
        const Task &task = *entry->job.task(id);
        const bool mustWait = closed >= maxClosed && !task.crashes.needsOwnWorker()
                              && !isOnTrial(workers, id.job);
        if (task.heldUntil > now || mustWait)
            continue;
        if (tryPlace(*entry, id, open)) {
            ++closed;
            continue;
        }
        ++unplaceable;
        if (reserved_.size() < maxClosed)
            reserveForTrial(*entry, id);
    }
}

bool Scheduler::isOnTrial(const std::vector<Worker *> &workers, const std::string &job)
{
    return std::any_of(workers.begin(), workers.end(), [&job](const Worker *worker) {
        return !worker->trialTasks.empty() && worker->trialTasks.begin()->job == job;
    });
}

// Reserves the emptiest worker that can run the task once the finite tasks there have ended.
void Scheduler::reserveForTrial(const JobEntry &entry, const TaskId &id)
{
    const StepSpec &step = stepOf(entry.job, id);
    const Millis now = hooks_.clock().steady;
    const Worker *emptiest = nullptr;
    for (const Worker *const worker : workersFor(entry.job)) {
        const bool isCandidate = isUsable(*worker, now) && worker->trialTasks.empty()
                                 && !reserved_.contains(worker->entry.id)
                                 && canTakeLater(*worker, step, id);
        if (isCandidate && (emptiest == nullptr || worker->tasks.size() < emptiest->tasks.size()))
            emptiest = worker;
    }
    if (emptiest != nullptr)
        reserved_.insert(emptiest->entry.id);
}

} // namespace chicorywick::scheduler
