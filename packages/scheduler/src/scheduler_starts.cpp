#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// Back-off after a worker rejects a start for lack of capacity: its count of used resources and the
// scheduler's differ until its next reply.
constexpr Millis kFullPauseMs = 200;

const char *stopReasonName(StopReason reason)
{
    switch (reason) {
    case StopReason::JobEnded:
        return "job-ended";
    case StopReason::NotStarted:
        return "not-started";
    case StopReason::Unassigned:
        return "unassigned";
    case StopReason::Superseded:
        return "superseded";
    case StopReason::Draining:
        return "draining";
    case StopReason::Maintenance:
        return "maintenance";
    }
    return "";
}

} // namespace

OrderValidity Scheduler::validity() const
{
    return hooks_.orderValidity ? hooks_.orderValidity() : OrderValidity();
}

std::int64_t Scheduler::fenceFor(const Worker &worker) const
{
    return hooks_.fenceFor ? hooks_.fenceFor(worker.entry.machine) : settings_.fence;
}

Millis Scheduler::jobsAge() const
{
    return hooks_.jobsKnownUntil ? hooks_.clock().steady - hooks_.jobsKnownUntil() : 0;
}

bool Scheduler::mayStartTasks() const
{
    return hooks_.maySendOrders() && jobsAge() <= settings_.maxJobsAgeMs;
}

// A start may wait for a connection, and then be sent on a view that has become too old.
OrderValidity Scheduler::startValidity() const
{
    OrderValidity limited = validity();
    if (!hooks_.jobsKnownUntil)
        return limited;
    const Millis until = hooks_.jobsKnownUntil() + settings_.maxJobsAgeMs + 1;
    limited.until = limited.until == 0 ? until : std::min(limited.until, until);
    return limited;
}

void Scheduler::assign(JobEntry &entry, const TaskId &id, Worker &worker)
{
    dequeue(entry, id);
    Task &task = *entry.job.task(id);
    task.phase = TaskPhase::Starting;
    task.readySince = std::max(task.phaseSince, entry.job.acceptedSteady());
    task.phaseSince = hooks_.clock().steady;
    task.worker = worker.entry.id;
    task.lastReplyNumber = 0;
    worker.tasks.insert(id);
    beginRun(worker, id, task);
    worker.addUse(stepOf(entry.job, id));
    task.accountUse = countRun(entry, stepOf(entry.job, id));
}

void Scheduler::sendStart(JobEntry &entry, const TaskId &id, Worker &worker)
{
    Task &task = *entry.job.task(id);
    StartOrder order{.task = id,
                     .run = task.run,
                     .payload = entry.job.spec().payload,
                     .checkpoint = task.checkpoint,
                     .leaseUntil = leaseUntil(worker),
                     .fence = fenceFor(worker),
                     .validity = startValidity()};
    worker.leaseSent = std::max(worker.leaseSent, order.leaseUntil);
    ++task.unansweredStarts;
    ++worker.unansweredStarts;
    const Millis now = hooks_.clock().steady;
    base::logEvent(base::Event::JobStarted,
                   {{"task", id.text()},
                    {"run", std::to_string(task.run)},
                    {"worker", worker.entry.id},
                    {"waited_ms", std::to_string(now - task.readySince)},
                    {"free_cpu", std::to_string(worker.free().cpuMillis)},
                    {"worker_age_ms", std::to_string(now - worker.replyAt)},
                    {"jobs_age_ms", std::to_string(jobsAge())}},
                   logPriority(stepOf(entry.job, id)));
    orders_.start(worker.address(), order,
                  [this, alive = alive_, id, run = task.run,
                   destination = StartDestination{.workerId = worker.entry.id,
                                                  .generation = worker.generation,
                                                  .clockAtSend = worker.clockAtReply}](
                          const OrderReply &reply) {
                      if (*alive)
                          handleStart(id, run, destination, reply);
                  });
}

// Processes the clock in the answer. A clock that has fallen back shows that the worker has
// restarted: it read the clock after the order was sent.
void Scheduler::recordAcceptedStart(Worker &worker, const TaskId &id,
                                    const StartDestination &destination, const OrderReply &reply)
{
    const bool isForFormer = worker.generation != destination.generation;
    const bool hasRestarted =
            !isForFormer && reply.workerClock != 0 && reply.workerClock < destination.clockAtSend;
    if (!isForFormer && !hasRestarted)
        recordClock(worker, reply.workerClock);
    if (hasRestarted) {
        worker.isSuspect = true;
        suspectRestart(worker);
    }
    // Only a task list shows which incarnation has taken the start.
    if (hasRestarted || worker.inheritedTasks.contains(id))
        probe(worker);
}

void Scheduler::handleStart(const TaskId &id, std::int64_t run, const StartDestination &destination,
                            const OrderReply &reply)
{
    const std::string &workerId = destination.workerId;
    Worker *const worker = workerOf(workerId);
    if (worker != nullptr && worker->generation != destination.generation)
        recordFormerCall(*worker, reply.status);
    else if (worker != nullptr)
        --worker->unansweredStarts;
    JobEntry *const entry = entryOf(id.job);
    Task *const task = taskOf(id);
    if (entry == nullptr || task == nullptr)
        return;
    const Millis now = hooks_.clock().steady;
    task->unansweredStarts = std::max(task->unansweredStarts - 1, 0);
    task->lastReplyNumber = ++replyCount_;
    const bool isCurrent = task->worker == workerId && task->run == run
                           && task->phase != TaskPhase::Done && worker != nullptr;
    if (reply.status == OrderStatus::Accepted)
        entry->job.markStarted();
    if (reply.status == OrderStatus::Fenced) {
        hooks_.onFenced();
        return;
    }
    if (!isCurrent)
        return;
    if (reply.status != OrderStatus::Accepted)
        base::logEvent(base::Event::JobAttemptLost,
                       {{"task", id.text()},
                        {"run", std::to_string(run)},
                        {"worker", workerId},
                        {"how", "not-started"},
                        {"status", std::to_string(static_cast<int>(reply.status))}},
                       logPriority(stepOf(entry->job, id)));
    Millis fullUntil = 0;
    switch (reply.status) {
    case OrderStatus::Accepted:
        recordAcceptedStart(*worker, id, destination, reply);
        task->hasBegun = true;
        if (task->phase == TaskPhase::Starting) {
            task->phase = TaskPhase::Running;
            task->phaseSince = now;
        }
        // Renewals of an idle worker carry no lease; send one that does unless one is recent.
        if (now - worker->renewedAt > settings_.renewWaitMs)
            renew(*worker);
        return;
    case OrderStatus::Unknown:
        // The worker's task list shows whether the start was executed.
        worker->isSuspect = true;
        suspectRestart(*worker);
        task->lastReplyNumber = 0;
        probe(*worker);
        return;
    case OrderStatus::NoCapacity:
    case OrderStatus::ExpiredLease:
        fullUntil = now + kFullPauseMs;
        break;
    case OrderStatus::StaleRun:
    case OrderStatus::NoTicket:
        break;
    case OrderStatus::WrongIncarnation:
        replaceWorker(*worker);
        place();
        return;
    case OrderStatus::NotSent:
        // The permission can have ended, which says nothing about the worker.
        if (!mayStartTasks())
            break;
        [[fallthrough]];
    case OrderStatus::Unhealthy:
    case OrderStatus::Invalid:
    case OrderStatus::Fenced:
        // The worker gets no further starts until a renewal is accepted.
        worker->isSuspect = true;
        suspectRestart(*worker);
        task->avoidedWorker = workerId;
        break;
    }
    if (isTerminal(entry->job.state()))
        release(id, *task);
    else
        requeue(*entry, id, *task);
    worker->fullUntil = fullUntil;
}

void Scheduler::stop(const TaskId &id, Task &task, StopReason reason)
{
    task.phase = TaskPhase::Stopping;
    task.stopReason = reason;
    // A stop that cannot be sent now is sent by a later tick.
    task.isStopPending = hooks_.maySendOrders();
    task.isStopConfirmed = false;
    sendStop(id, task.run, task.worker, reason);
}

// Stops a run that the worker's list lacks. If the list is old, retryStops() sends the stop.
void Scheduler::withdrawStart(const Worker &worker, const TaskId &id, Task &task)
{
    if (maySendStop(worker, id, task))
        return stop(id, task, StopReason::NotStarted);
    task.phase = TaskPhase::Stopping;
    task.stopReason = StopReason::NotStarted;
    task.isStopPending = false;
    task.isStopConfirmed = false;
}

// Others of the step can have become unavailable since a stop without an answer was sent, and a run
// whose start had none can have come to work.
bool Scheduler::maySendStop(const Worker &worker, const TaskId &id, const Task &task) const
{
    if (worker.entry.isDraining || !isUnderBudget(id))
        return true;
    return task.isListed ? mayEvict(*entryOf(id.job), id) : hasFreshList(worker);
}

// The budget is logged only where it has a meaning: for tasks of unfinished perpetual jobs.
void Scheduler::logStop(const TaskId &id, std::int64_t run, const std::string &workerId,
                        StopReason reason) const
{
    const JobEntry *const entry = entryOf(id.job);
    const bool isKnown = entry != nullptr && entry->job.task(id) != nullptr;
    const bool isPerpetual = isKnown && stepOf(entry->job, id).isPerpetual;
    const bool hasBudget = isPerpetual && !isTerminal(entry->job.state());
    const Task *const task = isKnown ? entry->job.task(id) : nullptr;
    base::logEvent(
            base::Event::JobStopSent,
            {{"task", id.text()},
             {"run", std::to_string(run)},
             {"worker", workerId},
             {"reason", stopReasonName(reason)},
             {"assigned_run", task != nullptr ? std::to_string(task->run) : ""},
             {"assigned_worker", task != nullptr ? task->worker : ""},
             {"away", hasBudget ? std::to_string(unavailableOthers(*entry, id)) : ""},
             {"budget", hasBudget ? std::to_string(stepOf(entry->job, id).maxUnavailable) : ""}},
            isPerpetual ? base::LogPriority::High : base::LogPriority::Normal);
}

void Scheduler::sendStop(const TaskId &id, std::int64_t run, const std::string &workerId,
                         StopReason reason)
{
    Worker *const worker = workerOf(workerId);
    if (worker == nullptr || !hooks_.maySendOrders())
        return;
    logStop(id, run, workerId, reason);
    const auto unassigned = worker->unassigned.find({id, run});
    if (unassigned != worker->unassigned.end())
        unassigned->second.isStopSent = unassigned->second.isStopPending = true;
    orders_.stop(worker->address(),
                 {.task = id, .run = run, .fence = fenceFor(*worker), .validity = validity()},
                 [this, alive = alive_, id, run, workerId](const OrderReply &reply) {
                     if (!*alive)
                         return;
                     if (reply.status == OrderStatus::Fenced)
                         return hooks_.onFenced();
                     handleUnassignedStop(workerId, id, run, reply);
                     const Task *const known = std::as_const(*this).taskOf(id);
                     if (known == nullptr || known->worker != workerId || known->run != run)
                         return;
                     Task *const task = taskOf(id);
                     task->isStopPending = false;
                     task->lastReplyNumber = ++replyCount_;
                     task->isStopConfirmed = task->isStopConfirmed
                                             || reply.status == OrderStatus::Accepted
                                             || reply.status == OrderStatus::StaleRun;
                     if (task->isStopConfirmed && task->phase == TaskPhase::Running)
                         task->phase = TaskPhase::Stopping;
                     // A task that never ran there produces no end, so the long poll does not
                     // return early.
                     Worker *const stopped = workerOf(workerId);
                     if (task->isStopConfirmed && task->wasMissing && stopped != nullptr)
                         probe(*stopped);
                 });
}

} // namespace chicorywick::scheduler
