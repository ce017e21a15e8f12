#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <vector>

namespace chicorywick::scheduler {

namespace {

// Maximum fraction by which a worker's clock may run slow.
constexpr double kClockSkew = 0.02;
// Margin added to a computed lease end, because timers can fire late.
constexpr Millis kLeaseSlackMs = 150;
// A lease with less than this remaining is renewed even while ends are not stored yet.
constexpr Millis kUrgentLeaseMs = 3'000;

} // namespace

// Uses the time at which the worker wrote its reply. With the time at which this process read it, a
// busy leader would grant leases that are shorter by its own delay, and tasks would lapse.
Millis Scheduler::leaseUntil(const Worker &worker) const
{
    if (worker.clockAtReply == 0)
        return 0;
    return worker.clockAtReply + (hooks_.clock().steady - worker.reportAt) + settings_.leaseMs;
}

// True once all requested leases have expired on the worker's clock, assuming the maximum skew.
bool Scheduler::isLeaseExpired(const Worker &worker) const
{
    const Millis now = hooks_.clock().steady;
    if (worker.clockAtReply == 0) {
        const auto longest =
                static_cast<Millis>(static_cast<double>(settings_.maxLeaseMs) * (1 + kClockSkew));
        const Millis undelivered = worker.hasRestarted ? kMaxCallMs : 0;
        return now - worker.addedAt > undelivered + longest + kLeaseSlackMs;
    }
    const Millis leaseEnd = std::max(worker.leaseSent, worker.formerLeaseEnd);
    const Millis left = std::max<Millis>(leaseEnd - worker.clockAtReply, 0);
    const auto local = static_cast<Millis>(static_cast<double>(left) / (1 - kClockSkew));
    return now > worker.replyAt + local + kLeaseSlackMs;
}

// Takes the time as a parameter: reading the clock for each worker cost more than the check.
bool Scheduler::isUsable(const Worker &worker, Millis now) const
{
    return worker.isListed && worker.hasResponded && !worker.isReplaced && !worker.entry.isDraining
           && worker.cordons.empty() && !worker.isSuspect && worker.quarantinedUntil <= now
           && worker.fullUntil <= now && now - worker.replyAt < settings_.unresponsiveAfterMs
           && worker.isInStoredRoster;
}

RenewOrder Scheduler::renewalFor(const Worker &worker) const
{
    RenewOrder order{.fence = fenceFor(worker), .validity = validity()};
    // Ends are numbered anew in each incarnation: a restarted worker would forget ends that nobody
    // has read.
    if (worker.restartSuspectedAt == 0)
        order.lastAckedEnd = worker.lastAckedEnd;
    // After a failed renewal the lease end stays the same. Otherwise the lease of an unresponsive
    // worker would never expire here and its tasks could not start elsewhere.
    const bool needsLease = !worker.tasks.empty() || hasKeptRuns(worker);
    if (worker.clockAtReply != 0 && needsLease)
        order.leaseUntil = worker.hasRenewalFailed ? worker.leaseSent : leaseUntil(worker);
    return order;
}

// Requests the running tasks immediately, in parallel to a pending long poll. The long poll returns
// early only when a task ends, and an order that was not executed produces no end.
void Scheduler::probe(Worker &worker)
{
    if (worker.isProbing || worker.isReplaced || !worker.hasResponded || !hooks_.maySendOrders())
        return;
    RenewOrder order = renewalFor(worker);
    order.lastAckedEnd = 0; // sent also when the worker may just have restarted
    worker.leaseSent = std::max(worker.leaseSent, order.leaseUntil);
    worker.isProbing = true;
    orders_.renew(worker.address(), order,
                  [this, alive = alive_, id = worker.entry.id, generation = worker.generation,
                   repliesBeforeSend = replyCount_,
                   leaseUntil = order.leaseUntil](const RenewReply &reply) {
                      Worker *const probed = *alive ? workerOf(id) : nullptr;
                      if (probed == nullptr)
                          return;
                      if (probed->generation != generation)
                          return recordFormerCall(*probed, reply.status);
                      probed->isProbing = false;
                      // Other failures are handled by the pending renewal.
                      if (reply.status == OrderStatus::Accepted)
                          probed->leaseGranted = std::max(probed->leaseGranted, leaseUntil);
                      if (reply.status == OrderStatus::Accepted)
                          acceptRenewal(*probed, repliesBeforeSend, reply);
                      else if (reply.status == OrderStatus::Fenced)
                          hooks_.onFenced();
                  });
}

void Scheduler::renew(Worker &worker)
{
    const Millis now = hooks_.clock().steady;
    if (worker.isRenewing || worker.isReplaced || worker.retryAt > now || !hooks_.maySendOrders())
        return;
    // While ends are not acknowledged, a long poll returns immediately; wait for the store instead.
    const bool isWaitingForStore = !worker.unstoredEnds.empty();
    const bool isUrgent =
            worker.clockAtReply == 0
            || worker.leaseSent - (worker.clockAtReply + now - worker.reportAt) < kUrgentLeaseMs;
    if (isWaitingForStore && !isUrgent) {
        worker.retryAt = 0;
        return;
    }
    RenewOrder order = renewalFor(worker);
    // A worker whose lease runs down is not left waiting for the end of a long poll.
    if (worker.hasResponded && !isWaitingForStore && !worker.hasRenewalFailed)
        order.waitMs = worker.tasks.empty() ? settings_.idleRenewWaitMs : settings_.renewWaitMs;
    worker.leaseSent = std::max(worker.leaseSent, order.leaseUntil);
    worker.isRenewing = true;
    worker.renewedAt = now;
    orders_.renew(worker.address(), order,
                  [this, alive = alive_, id = worker.entry.id, generation = worker.generation,
                   repliesBeforeSend = replyCount_,
                   leaseUntil = order.leaseUntil](const RenewReply &reply) {
                      if (*alive)
                          handleRenewal(id, generation, repliesBeforeSend, leaseUntil, reply);
                  });
}

void Scheduler::recordClock(Worker &worker, Millis workerClock)
{
    if (workerClock == 0)
        return;
    // The worker read its clock between the request and now. Pairing it with the time of the reply
    // can only overestimate the local end of the lease, never underestimate it.
    const Millis now = hooks_.clock().steady;
    const Millis offset = now - workerClock;
    // A reply can wait unread while this process is busy or paused, so that its content is older
    // than its arrival. The fastest reply shows the offset of the clocks, which drift slowly.
    const auto drift = static_cast<Millis>(kClockSkew * static_cast<double>(now - worker.replyAt));
    worker.clockOffset =
            worker.clockAtReply == 0 ? offset : std::min(offset, worker.clockOffset + drift + 1);
    worker.clockAtReply = workerClock;
    worker.replyAt = now;
    worker.reportAt = workerClock + worker.clockOffset;
    recordFormerLease(worker);
}

void Scheduler::handleRenewal(const std::string &id, std::uint64_t generation,
                              std::uint64_t repliesBeforeSend, Millis leaseUntil,
                              const RenewReply &reply)
{
    Worker *const worker = workerOf(id);
    if (worker == nullptr)
        return;
    if (worker->generation != generation)
        return recordFormerCall(*worker, reply.status);
    worker->isRenewing = false;
    const Millis now = hooks_.clock().steady;
    if (reply.status == OrderStatus::Fenced) {
        hooks_.onFenced();
        return;
    }
    // Another worker uses the address.
    if (reply.status == OrderStatus::WrongIncarnation) {
        replaceWorker(*worker);
        place();
        return;
    }
    worker->hasRenewalFailed = reply.status != OrderStatus::Accepted;
    if (worker->hasRenewalFailed) {
        suspectRestart(*worker);
        const bool hasTimedOut = reply.status == OrderStatus::Unknown;
        worker->retryAt = now + (hasTimedOut ? 0 : settings_.retryMs);
        if (hasTimedOut)
            renew(*worker);
        return;
    }
    worker->retryAt = 0;
    worker->leaseGranted = std::max(worker->leaseGranted, leaseUntil);
    acceptRenewal(*worker, repliesBeforeSend, reply);
}

void Scheduler::acceptRenewal(Worker &worker, std::uint64_t repliesBeforeSend,
                              const RenewReply &reply)
{
    if (worker.isReplaced)
        return;
    const std::string id = worker.entry.id;
    if (worker.isOtherIncarnation(reply)) {
        WorkerEntry restarted = worker.entry;
        restarted.incarnation = reply.incarnation;
        restarted.isDraining = false;
        beginIncarnation(worker, restarted);
    }
    applyRenewal(worker, repliesBeforeSend, reply);
    Worker *const still = workerOf(id);
    if (still != nullptr)
        renew(*still);
}

void Scheduler::applyRenewal(Worker &worker, std::uint64_t repliesBeforeSend,
                             const RenewReply &reply)
{
    const bool isNewlyUsable =
            !worker.hasResponded || worker.isSuspect
            || hooks_.clock().steady - worker.replyAt >= settings_.unresponsiveAfterMs;
    if (isNewlyUsable)
        servicesToPlace_.insert(worker.entry.service);
    recordClock(worker, reply.workerClock);
    worker.hasResponded = true;
    worker.isSuspect = false;
    if (repliesBeforeSend >= worker.restartSuspectedAt)
        worker.restartSuspectedAt = 0;
    recordReturn(worker);
    // Replies on two connections can arrive out of order. An older list of running tasks is
    // ignored, because a task that it lacks may have started since.
    const bool isOlder = reply.workerClock < worker.listClock;
    worker.listClock = std::max(worker.listClock, reply.workerClock);
    if (!isOlder)
        worker.listWrittenAt = worker.reportAt;
    if (!isOlder) {
        for (const RunningTask &running : reply.running)
            reconcileRunning(worker, running);
    }
    for (const EndedTask &end : reply.ended) {
        if (end.number <= worker.lastSeenEnd)
            continue;
        worker.lastSeenEnd = end.number;
        if (worker.unassigned.erase({end.task, end.run}) > 0)
            servicesToPlace_.insert(worker.entry.service);
        handleEnd(worker, end);
        const bool isDurable = !dirty_.contains(end.task.job) && worker.unstoredEnds.empty();
        if (isDurable)
            worker.lastAckedEnd = end.number;
        else
            worker.unstoredEnds.emplace_back(batch_, end.number);
    }
    if (!isOlder) {
        decideInheritedTasks(worker, repliesBeforeSend, reply);
        reconcileAbsent(worker, repliesBeforeSend, reply);
        reconcileUnassigned(worker, repliesBeforeSend, reply);
        retryStops(worker);
    }
    pace(worker);
    if (worker.entry.isDraining || worker.cordons.contains(CordonReason::Maintenance))
        drainPerpetual(worker);
    requestPlacement();
}

void Scheduler::reconcileRunning(Worker &worker, const RunningTask &running)
{
    JobEntry *const entry = entryOf(running.task.job);
    Task *const task = entry != nullptr ? entry->job.task(running.task) : nullptr;
    if (task == nullptr) {
        stopUnassigned(worker, running);
        return;
    }
    if (task->worker == worker.entry.id && task->run == running.run) {
        task->checkpoint = running.checkpoint.empty() ? task->checkpoint : running.checkpoint;
        task->percent = running.percent;
        task->load = running.load;
        const bool isWithdrawn = isWithdrawnStart(*entry, running.task, *task);
        if (isWithdrawn)
            task->stopExpectedUntil = hooks_.clock().steady + kMaxOrderDelayMs;
        if (task->phase == TaskPhase::Starting || isWithdrawn) {
            task->phase = TaskPhase::Running;
            task->phaseSince = hooks_.clock().steady;
            task->lastReplyNumber = ++replyCount_;
        }
        updateTrial(worker, running.task, *task);
        return;
    }
    // The task was started by an earlier leader. It can be Blocked here if the ends of its
    // predecessors were not stored, and its run can be older than one whose start never arrived.
    const bool isFree = task->worker.empty() && task->phase != TaskPhase::Done
                        && !isTerminal(entry->job.state());
    task->highestRun = std::max(task->highestRun, running.run);
    if (!isFree && !shouldReturnTo(worker, running))
        return stopUnassigned(worker, running);
    if (!isFree)
        detachRun(running.task, *task, StopReason::Superseded);
    adopt(worker, running);
}

// A run that has begun is worth more than the next one, which has yet to be started.
bool Scheduler::isWithdrawnStart(const JobEntry &entry, const TaskId &id, const Task &task) const
{
    return task.phase == TaskPhase::Stopping && task.stopReason == StopReason::NotStarted
           && !task.isStopConfirmed && !isTerminal(entry.job.state())
           && !stepOf(entry.job, id).isGang;
}

// Assigns a task to the run that a worker lists.
void Scheduler::adopt(Worker &worker, const RunningTask &running)
{
    JobEntry &entry = *entryOf(running.task.job);
    Task &task = *entry.job.task(running.task);
    dequeue(entry, running.task);
    task.phase = TaskPhase::Running;
    task.phaseSince = hooks_.clock().steady;
    task.worker = worker.entry.id;
    task.run = running.run;
    task.checkpoint = running.checkpoint;
    task.percent = running.percent;
    const auto stray = worker.unassigned.find({running.task, running.run});
    const bool isStopSent = stray != worker.unassigned.end() && stray->second.isStopSent;
    task.stopExpectedUntil = isStopSent ? task.phaseSince + kMaxOrderDelayMs : 0;
    if (stray != worker.unassigned.end())
        worker.unassigned.erase(stray);
    worker.tasks.insert(running.task);
    // The run has survived its start, so it needs no trial.
    task.startedAt = task.phaseSince;
    task.hasBegun = true;
    task.isListed = true;
    task.isAdopted = true;
    task.isSettled = true;
    worker.addUse(stepOf(entry.job, running.task));
    task.accountUse = countRun(entry, stepOf(entry.job, running.task));
    entry.job.markStarted();
}

// A perpetual task was started again because its worker was silent or its start had no answer, and
// the former run turns out to be there. That run stays unless the new one is at work or a stop may
// still end it: ending it would leave nothing at work until the new one has started.
bool Scheduler::shouldReturnTo(const Worker &worker, const RunningTask &running) const
{
    const auto stray = worker.unassigned.find({running.task, running.run});
    const bool isStopSent = stray != worker.unassigned.end() && stray->second.isStopSent;
    return isUnderBudget(running.task) && !worker.entry.isDraining && !isStopSent
           && !isAtWork(running.task);
}

// Handles tasks that are assigned to the worker but not running there. A task is absent if a reply
// lists it neither as running nor as ended and the request was sent after the reply to the task's
// last order.
void Scheduler::reconcileAbsent(Worker &worker, std::uint64_t repliesBeforeSend,
                                const RenewReply &reply)
{
    if (reply.mayOmitEnds())
        return;
    std::vector<const TaskId *> present;
    for (const RunningTask &running : reply.running)
        present.push_back(&running.task);
    const auto isBefore = [](const TaskId *left, const TaskId *right) { return *left < *right; };
    std::sort(present.begin(), present.end(), isBefore);
    std::vector<TaskId> absent;
    for (const TaskId &id : worker.tasks)
        if (!std::binary_search(present.begin(), present.end(), &id, isBefore))
            absent.push_back(id);
    for (const TaskId &id : absent) {
        JobEntry *const entry = entryOf(id.job);
        Task *const task = taskOf(id);
        if (entry == nullptr || task == nullptr)
            continue;
        if (task->unansweredStarts > 0 || task->lastReplyNumber > repliesBeforeSend)
            continue;
        if (task->phase == TaskPhase::Starting) {
            // The start may still arrive; a stop makes the worker reject it permanently.
            task->wasMissing = true;
            withdrawStart(worker, id, *task);
            continue;
        }
        if (task->phase == TaskPhase::Stopping && !task->isStopConfirmed)
            continue;
        base::logEvent(base::Event::JobAttemptLost,
                       {{"task", id.text()},
                        {"run", std::to_string(task->run)},
                        {"worker", worker.entry.id},
                        {"how", "absent"}},
                       logPriority(stepOf(entry->job, id)));
        if (isTerminal(entry->job.state()))
            release(id, *task);
        else
            requeue(*entry, id, *task);
    }
}

} // namespace chicorywick::scheduler
