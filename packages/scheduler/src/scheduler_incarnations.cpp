#include "scheduler_worker.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace chicorywick::scheduler {

// A machine runs one worker at a time, so all but the latest incarnation on it have ended.
void Scheduler::replaceFormerIncarnations(const WorkerEntry &entry)
{
    if (entry.machine.empty())
        return;
    const std::vector<Worker *> &incarnations = workersByMachine_.at(entry.machine);
    Worker *latest = workerOf(entry.id);
    for (Worker *const worker : incarnations)
        if (worker->entry.incarnation > latest->entry.incarnation)
            latest = worker;
    for (Worker *const worker : incarnations)
        if (worker != latest)
            replaceWorker(*worker);
}

void Scheduler::replaceWorker(Worker &worker)
{
    if (worker.isReplaced)
        return;
    worker.isReplaced = true;
    worker.hasResponded = false;
    ++rosterRevision_;
    handleLostTasks(worker, LossReason::Replaced);
}

// Begins with empty state for a worker that has restarted under its id and address. Runs that the
// former incarnation had listed are lost. Any other start can have reached the new incarnation, as
// orders name only the id; its task list decides. It gets no new tasks until discovery lists it.
void Scheduler::beginIncarnation(Worker &worker, const WorkerEntry &entry)
{
    logLostWorker(worker, "restarted");
    const bool isEndPlanned = worker.isEndPlanned();
    const std::vector<LostRun> runs = isEndPlanned ? std::vector<LostRun>() : unprovenRuns(worker);
    reindex(worker, entry);
    const Worker former = std::exchange(worker, Worker());
    worker.entry = entry;
    worker.fullCapacity = entry.capacity;
    worker.generation = nextGeneration_++;
    worker.isInherited = former.isInherited;
    worker.addedAt = hooks_.clock().steady;
    worker.hasRestarted = true;
    worker.formerOrdersUntil = worker.addedAt + kMaxCallMs;
    worker.uncertainUntil = createdAt_ + longestLocalLease(settings_.maxLeaseMs);
    worker.idleSince = worker.addedAt;
    worker.formerRuns = runs;
    ++rosterRevision_;
    logJoined(entry);

    std::set<TaskId> lost;
    for (const TaskId &id : former.tasks) {
        Task *const task = taskOf(id);
        if (task == nullptr)
            continue;
        if (task->isListed) {
            lost.insert(id);
            continue;
        }
        // The stop of a run has to reach the incarnation that runs it.
        task->isStopConfirmed = false;
        worker.inheritedTasks.insert(id);
        worker.tasks.insert(id);
        worker.addUse(stepOf(entryOf(id.job)->job, id));
        if (former.startingTasks.contains(id))
            worker.startingTasks.insert(id);
        if (former.trialTasks.contains(id))
            worker.trialTasks.insert(id);
    }
    for (const TaskId &id : lost)
        loseTask(id, entry.id, "restarted");
    if (isEndPlanned)
        endSilence(entry.machine);
    recordCrash(runs, lost);
}

// Takes an inherited task for lost with the former incarnation if the list lacks it although its
// start was answered before the list was requested.
void Scheduler::decideInheritedTasks(Worker &worker, std::uint64_t repliesBeforeSend,
                                     const RenewReply &reply)
{
    std::set<TaskId> lost;
    for (const TaskId &id : std::set(worker.inheritedTasks)) {
        const Task *const task = taskOf(id);
        const bool isUndecided = task != nullptr && !task->isListed
                                 && (reply.mayOmitEnds() || task->unansweredStarts > 0
                                     || task->lastReplyNumber > repliesBeforeSend);
        if (isUndecided)
            continue;
        worker.inheritedTasks.erase(id);
        if (task != nullptr && !task->isListed)
            lost.insert(id);
    }
    // A start without an answer can still arrive, so reconcileAbsent() stops it first.
    for (const TaskId &id : lost)
        if (taskOf(id)->phase != TaskPhase::Starting)
            loseTask(id, worker.entry.id, "restarted");
    recordCrash(worker.formerRuns, lost);
    if (worker.inheritedTasks.empty())
        worker.formerRuns.clear();
}

void Scheduler::suspectRestart(Worker &worker)
{
    worker.restartSuspectedAt = ++replyCount_;
}

// Orders that were meant for the former incarnation carry lease ends on its clock, which is far
// ahead: the worker shortens them to its longest lease. Calls that were under way when the new
// incarnation was noticed can arrive after the latest reply.
void Scheduler::recordFormerLease(Worker &worker) const
{
    const bool mayExecuteOrders =
            !worker.inheritedTasks.empty() || worker.replyAt < worker.formerOrdersUntil;
    if (!mayExecuteOrders)
        return;
    const Millis underWayMs = std::max<Millis>(worker.addedAt + kMaxCallMs - worker.replyAt, 0);
    worker.formerLeaseEnd = std::max(worker.formerLeaseEnd,
                                     worker.clockAtReply + underWayMs + settings_.maxLeaseMs);
}

// A call to the former incarnation that gets no answer can have reached the present one, which may
// execute it late.
void Scheduler::recordFormerCall(Worker &worker, OrderStatus status) const
{
    if (status == OrderStatus::Unknown)
        worker.formerOrdersUntil =
                std::max(worker.formerOrdersUntil, hooks_.clock().steady + kMaxOrderDelayMs);
}

} // namespace chicorywick::scheduler
