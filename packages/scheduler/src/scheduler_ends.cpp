#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <vector>

namespace chicorywick::scheduler {

namespace {

// A worker is quarantined after failures of two different jobs without a success in between.
// Failures of a single job do not indicate a faulty worker.
constexpr int kQuarantineFailures = 2;
constexpr Millis kFirstQuarantineMs = 3'000;
constexpr Millis kLongestQuarantineMs = 24'000;

const char *endKindName(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseExpired:
        return "lapsed";
    case EndKind::GangBroken:
        return "gang-broken";
    case EndKind::GangIncomplete:
        return "gang-incomplete";
    }
    return "";
}

// Tasks that are done once the given one is. The members of a gang end together, so the end of one
// represents all: the others may never list theirs, and cannot run again without it.
std::vector<TaskId> tasksFinishedBy(const Job &job, const TaskId &id)
{
    if (!stepOf(job, id).isGang)
        return {id};
    std::vector<TaskId> unfinished;
    TaskId member = id;
    for (member.index = 0; member.index < stepOf(job, id).taskCount; ++member.index)
        if (job.task(member)->phase != TaskPhase::Done)
            unfinished.push_back(member);
    return unfinished;
}

} // namespace

void Scheduler::recordTaskResult(Worker &worker, bool isGood, const std::string &job)
{
    if (isGood) {
        worker.failuresInRow = 0;
        worker.lastFailedJob.clear();
        worker.quarantineMs = 0;
        return;
    }
    if (worker.lastFailedJob == job)
        return;
    worker.lastFailedJob = job;
    if (++worker.failuresInRow < kQuarantineFailures)
        return;
    worker.quarantineMs =
            std::clamp(worker.quarantineMs * 2, kFirstQuarantineMs, kLongestQuarantineMs);
    worker.quarantinedUntil = hooks_.clock().steady + worker.quarantineMs;
    base::logEvent(base::Event::WorkerQuarantined,
                   {{"worker", worker.entry.id},
                    {"failures", std::to_string(worker.failuresInRow)},
                    {"for_ms", std::to_string(worker.quarantineMs)}});
}

void Scheduler::release(const TaskId &id, Task &task)
{
    Worker *const worker = workerOf(task.worker);
    if (worker != nullptr && worker->tasks.erase(id) > 0) {
        const JobEntry *const entry = entryOf(id.job);
        if (entry != nullptr)
            worker->removeUse(stepOf(entry->job, id));
        worker->fullUntil = 0;
        worker->startingTasks.erase(id);
        worker->trialTasks.erase(id);
        worker->inheritedTasks.erase(id);
        servicesToPlace_.insert(worker->entry.service);
        if (worker->tasks.empty())
            worker->idleSince = hooks_.clock().steady;
    }
    task.worker.clear();
    task.accountUse.reset();
    task.isStopConfirmed = false;
    task.isStopPending = false;
    task.wasMissing = false;
    task.percent = 0;
    task.pacePercent = 100;
}

void Scheduler::requeue(JobEntry &entry, const TaskId &id, Task &task)
{
    release(id, task);
    task.phase = TaskPhase::Ready;
    task.phaseSince = hooks_.clock().steady;
    enqueue(entry, id);
}

void Scheduler::handleDone(JobEntry &entry, const EndedTask &end, const std::string &workerId)
{
    Task *const task = entry.job.task(end.task);
    if (task == nullptr || task->phase == TaskPhase::Done)
        return;
    entry.job.markStarted();
    markDirty(end.task.job);
    // For a job in a final state, the end is only recorded in its progress.
    const bool wasTerminal = isTerminal(entry.job.state());
    std::vector<int> unblocked;
    for (const TaskId &id : tasksFinishedBy(entry.job, end.task)) {
        dequeue(entry, id);
        releaseDone(id, *entry.job.task(id), end, workerId);
        unblocked = entry.job.finishTask(id, hooks_.clock().steady);
    }
    if (entry.job.occurrence(end.task.occurrence) == nullptr)
        entry.unstoredOccurrences.push_back(batch_);
    if (wasTerminal)
        return;
    if (isTerminal(entry.job.state())) {
        finishJob(entry);
        return;
    }
    if (!unblocked.empty())
        enqueueReady(entry);
}

// A perpetual task runs until its job is cancelled, however its runs end. The end of one member of
// a gang represents all members of that run: the others start again with it once they are known to
// have ended.
void Scheduler::restartPerpetual(JobEntry &entry, const Worker &worker, const EndedTask &end)
{
    if (isTerminal(entry.job.state()))
        return;
    for (const TaskId &id : tasksFinishedBy(entry.job, end.task)) {
        Task &task = *entry.job.task(id);
        if (id == end.task) {
            if (task.worker != worker.entry.id || task.run > end.run)
                continue;
            logEndedEarly(entry, worker, end);
            requeue(entry, id, task);
            // The end is acknowledged after the write that this requests, once the task has been
            // started again: until then a new leader finds it listed.
            markDirty(id.job);
        } else if (task.run == end.run && task.phase == TaskPhase::Running) {
            stop(id, task, StopReason::Superseded);
        }
    }
}

// Frees a task from its worker when an end of the task or of another member of its gang shows that
// it is done.
void Scheduler::releaseDone(const TaskId &id, Task &task, const EndedTask &end,
                            const std::string &workerId)
{
    const bool isSameRun = task.run == end.run;
    if (id == end.task && isSameRun && task.worker == workerId)
        release(id, task);
    else if (id != end.task && isSameRun)
        detachRun(id, task,
                  StopReason::Superseded); // its own end is usually listed before the next tick
    else if (!task.worker.empty())
        // Two leaders can have given the same run number to runs on two workers.
        stopAndRelease(id, task, StopReason::Superseded);
}

// The stored progress can list only some members of a gang as done.
void Scheduler::finishPartlyDoneGangs(JobEntry &entry)
{
    std::vector<TaskId> unfinished;
    for (const auto &[number, occurrence] : entry.job.occurrences())
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const TaskList &members = occurrence.steps[step];
            const bool isPartlyDone = entry.job.spec().steps[step].isGang
                                      && occurrence.doneCounts[step] > 0
                                      && occurrence.doneCounts[step] < members.size();
            if (!isPartlyDone)
                continue;
            const IndexSet done = members.done();
            int first = 0;
            while (done.contains(first))
                ++first;
            unfinished.push_back({.job = entry.job.spec().id,
                                  .occurrence = number,
                                  .step = static_cast<int>(step),
                                  .index = first});
        }
    for (const TaskId &id : unfinished)
        handleDone(entry, EndedTask{.task = id}, {});
}

void Scheduler::handleFailure(JobEntry &entry, Worker &worker, const EndedTask &end)
{
    Task *const task = entry.job.task(end.task);
    if (task == nullptr || task->phase == TaskPhase::Done)
        return;
    // Perpetual tasks have no limit of attempts. Their failures would make the stored progress of
    // the job larger than a row.
    const bool isPerpetual = stepOf(entry.job, end.task).isPerpetual;
    const bool isNew = !task->failedRuns.contains(end.run);
    if (isPerpetual)
        task->failedRuns.clear();
    task->failedRuns.insert(end.run);
    if (isNew) {
        markDirty(end.task.job);
        recordTaskResult(worker, false, end.task.job);
    }
    const bool isCurrent = task->worker == worker.entry.id && task->run <= end.run;
    if (isCurrent) {
        task->avoidedWorker = worker.entry.id;
        requeue(entry, end.task, *task);
    }
    base::logEvent(base::Event::JobAttemptLost,
                   {{"task", end.task.text()},
                    {"run", std::to_string(end.run)},
                    {"worker", worker.entry.id},
                    {"how", "failed"},
                    {"attempts", std::to_string(task->failedRuns.size())}},
                   logPriority(stepOf(entry.job, end.task)));
    failIfExhausted(entry, end.task);
}

void Scheduler::failIfExhausted(JobEntry &entry, const TaskId &id)
{
    const Task *const task = entry.job.task(id);
    const QueuePolicy *const policy = policyOf(entry.job);
    if (task == nullptr || policy == nullptr || stepOf(entry.job, id).isPerpetual
        || isTerminal(entry.job.state())
        || static_cast<int>(task->failedRuns.size()) < policy->maxAttempts)
        return;
    entry.job.fail(hooks_.clock().steady);
    finishJob(entry);
}

void Scheduler::logEndedEarly(const JobEntry &entry, const Worker &worker,
                              const EndedTask &end) const
{
    base::logEvent(base::Event::JobAttemptLost,
                   {{"task", end.task.text()},
                    {"run", std::to_string(end.run)},
                    {"worker", worker.entry.id},
                    {"how", endKindName(end.kind)}},
                   logPriority(stepOf(entry.job, end.task)));
}

void Scheduler::handleEnd(Worker &worker, const EndedTask &end)
{
    JobEntry *const entry = entryOf(end.task.job);
    Task *const task = entry != nullptr ? entry->job.task(end.task) : nullptr;
    if (task == nullptr)
        return;
    // Unacknowledged ends are reported again, also to a new leader and after later runs of the task
    // have started. They do not apply to the current run.
    const bool isCurrent = task->worker == worker.entry.id && end.run >= task->run;
    task->highestRun = std::max(task->highestRun, end.run);
    task->endedRun = std::max(task->endedRun, end.run);
    if (!end.checkpoint.empty() && (isCurrent || task->worker.empty()))
        task->checkpoint = end.checkpoint;
    switch (end.kind) {
    case EndKind::Done:
        recordTaskResult(worker, true, end.task.job);
        if (stepOf(entry->job, end.task).isPerpetual)
            restartPerpetual(*entry, worker, end);
        else
            handleDone(*entry, end, worker.entry.id);
        break;
    case EndKind::Failed:
        handleFailure(*entry, worker, end);
        break;
    case EndKind::Stopped:
    case EndKind::LeaseExpired:
    case EndKind::GangBroken:
    case EndKind::GangIncomplete:
        if (isCurrent && task->phase != TaskPhase::Done) {
            logEndedEarly(*entry, worker, end);
            requeue(*entry, end.task, *task);
        }
        break;
    }
    // If the end completed the occurrence, the task no longer exists.
    Task *const remaining = taskOf(end.task);
    const bool isOver = isTerminal(entry->job.state()) && isCurrent;
    if (isOver && remaining != nullptr && !remaining->worker.empty())
        release(end.task, *remaining);
}

} // namespace chicorywick::scheduler
