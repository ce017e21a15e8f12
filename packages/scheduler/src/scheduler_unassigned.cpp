#include "scheduler_worker.h"

#include <algorithm>

namespace chicorywick::scheduler {

// Stops a run that a worker lists and that is not assigned to it. A worker that does not guard its
// capacity accepts starts beside the run, so it reserves its size until a list shows its end.
void Scheduler::stopUnassigned(Worker &worker, const RunningTask &running)
{
    UnassignedRun &run = worker.unassigned[{running.task, running.run}];
    run.listedAt = worker.listClock;
    const JobEntry *const entry = entryOf(running.task.job);
    const bool isStepKnown = entry != nullptr && running.task.step >= 0
                             && running.task.step < std::ssize(entry->job.spec().steps);
    if (isStepKnown) {
        run.demand = reservedFor(stepOf(entry->job, running.task));
        if (!run.accountUse)
            run.accountUse = countRun(*entry, stepOf(entry->job, running.task));
    }
    if (mayStopUnassigned(worker, running.task, run))
        sendStop(running.task, running.run, worker.entry.id, StopReason::Unassigned);
}

// A run of a perpetual task that its worker lists may be the only one at work. It is stopped only
// once the assigned run is at work. The budget is not asked then: the task stays available, and the
// run may hold the room that another one of the step waits for.
bool Scheduler::mayStopUnassigned(const Worker &worker, const TaskId &id,
                                  const UnassignedRun &run) const
{
    if (worker.entry.isDraining || !isUnderBudget(id))
        return true;
    if (run.listedAt == 0)
        return !run.isStopSent || hasFreshList(worker);
    return isAtWork(id);
}

// True if the worker lists a run that may be the only one of its perpetual task at work.
bool Scheduler::hasKeptRuns(const Worker &worker) const
{
    return std::any_of(worker.unassigned.begin(), worker.unassigned.end(),
                       [this](const auto &item) {
                           return item.second.listedAt != 0 && isUnderBudget(item.first.first);
                       });
}

// Frees a task from its current run. The next tick stops the run unless its end is listed before.
void Scheduler::detachRun(const TaskId &id, Task &task, StopReason reason)
{
    Worker *const worker = workerOf(task.worker);
    const JobEntry *const entry = entryOf(id.job);
    if (worker != nullptr && entry != nullptr) {
        UnassignedRun &run = worker->unassigned[{id, task.run}];
        run.demand = reservedFor(stepOf(entry->job, id));
        run.accountUse = task.accountUse;
        run.stopReason = reason;
        run.listedAt = task.isListed ? worker->listClock : 0;
        run.isStopSent =
                task.phase == TaskPhase::Stopping || hooks_.clock().steady < task.stopExpectedUntil;
    }
    release(id, task);
}

// Stops the current run of a task that is done or runs elsewhere, and frees the task from it.
void Scheduler::stopAndRelease(const TaskId &id, Task &task, StopReason reason)
{
    const std::string workerId = task.worker;
    detachRun(id, task, reason);
    sendStop(id, task.run, workerId, reason);
}

void Scheduler::handleUnassignedStop(const std::string &workerId, const TaskId &id,
                                     std::int64_t run, const OrderReply &reply)
{
    Worker *const worker = workerOf(workerId);
    if (worker == nullptr)
        return;
    const auto found = worker->unassigned.find({id, run});
    if (found == worker->unassigned.end())
        return;
    UnassignedRun &stopped = found->second;
    stopped.isStopPending = false;
    const bool isConfirmed =
            reply.status == OrderStatus::Accepted || reply.status == OrderStatus::StaleRun;
    if (!isConfirmed || stopped.isStopConfirmed)
        return;
    stopped.isStopConfirmed = true;
    stopped.lastReplyNumber = ++replyCount_;
    // A run that was never there produces no end, so the long poll does not return early.
    if (stopped.listedAt == 0)
        probe(*worker);
}

// Forgets the runs that a list lacks. A run that was never listed may still be started by an order
// on its way, unless the worker had confirmed its stop before the list was requested.
void Scheduler::reconcileUnassigned(Worker &worker, std::uint64_t repliesBeforeSend,
                                    const RenewReply &reply)
{
    const auto isGone = [&](const auto &item) {
        const auto &[key, run] = item;
        const bool isListed =
                std::any_of(reply.running.begin(), reply.running.end(),
                            [&key = key](const RunningTask &running) {
                                return running.task == key.first && running.run == key.second;
                            });
        const bool wasListed = run.listedAt != 0 && run.listedAt < reply.workerClock;
        const bool isRejected = run.isStopConfirmed && run.lastReplyNumber <= repliesBeforeSend;
        return !isListed && (wasListed || isRejected);
    };
    if (std::erase_if(worker.unassigned, isGone) > 0)
        servicesToPlace_.insert(worker.entry.service);
}

void Scheduler::retryUnassignedStops(Worker &worker)
{
    if (worker.isReplaced)
        return;
    bool needsList = false;
    for (const auto &[key, run] : std::map(worker.unassigned)) {
        if (run.isStopConfirmed || run.isStopPending)
            continue;
        if (mayStopUnassigned(worker, key.first, run))
            sendStop(key.first, key.second, worker.entry.id, run.stopReason);
        else
            needsList = needsList || run.listedAt == 0;
    }
    if (needsList)
        probe(worker);
}

} // namespace chicorywick::scheduler
