#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/scheduler/pacing.h>

#include <algorithm>
#include <vector>

namespace chicorywick::scheduler {

Scheduler::Worker *Scheduler::workerOf(const std::string &id)
{
    const auto found = workers_.find(id);
    return found != workers_.end() ? found->second.get() : nullptr;
}

const Scheduler::Worker *Scheduler::workerOf(const std::string &id) const
{
    const auto found = workers_.find(id);
    return found != workers_.end() ? found->second.get() : nullptr;
}

Scheduler::Worker &Scheduler::addWorker(const WorkerEntry &entry)
{
    auto owned = std::make_unique<Worker>();
    Worker &worker = *owned;
    worker.entry = entry;
    worker.generation = nextGeneration_++;
    worker.addedAt = hooks_.clock().steady;
    workers_.insert_or_assign(entry.id, std::move(owned));
    workersByService_[entry.service].push_back(&worker);
    workersByMachine_[entry.machine].push_back(&worker);
    ++rosterRevision_;
    return worker;
}

// Keeps the indices in step with an entry that is about to replace that of the worker.
void Scheduler::reindex(Worker &worker, const WorkerEntry &entry)
{
    if (worker.entry.service != entry.service) {
        std::erase(workersByService_[worker.entry.service], &worker);
        workersByService_[entry.service].push_back(&worker);
        ++rosterRevision_;
    }
    if (worker.entry.machine != entry.machine) {
        std::erase(workersByMachine_[worker.entry.machine], &worker);
        workersByMachine_[entry.machine].push_back(&worker);
        ++rosterRevision_;
    }
}

void Scheduler::dropWorker(const std::string &id)
{
    Worker *const worker = workerOf(id);
    std::erase(workersByService_[worker->entry.service], worker);
    const auto ofMachine = workersByMachine_.find(worker->entry.machine);
    std::erase(ofMachine->second, worker);
    if (ofMachine->second.empty())
        workersByMachine_.erase(ofMachine);
    orders_.closeConnections(worker->address());
    workers_.erase(id);
    ++rosterRevision_;
}

const std::vector<Scheduler::Worker *> &Scheduler::workersFor(const std::string &service) const
{
    static const std::vector<Worker *> kNone;
    const auto found = workersByService_.find(service);
    return found != workersByService_.end() ? found->second : kNone;
}

// The workers of the service that the job's queue uses; none while the queue has no known policy.
const std::vector<Scheduler::Worker *> &Scheduler::workersFor(const Job &job) const
{
    static const std::vector<Worker *> kNone;
    const QueuePolicy *const policy = policyOf(job);
    return policy != nullptr ? workersFor(policy->service) : kNone;
}

void Scheduler::logJoined(const WorkerEntry &entry)
{
    base::logEvent(base::Event::WorkerJoined, {{"worker", entry.id},
                                               {"service", entry.service},
                                               {"machine", entry.machine},
                                               {"address", entry.address}});
}

void Scheduler::addInheritedWorkers(const std::vector<WorkerEntry> &workers)
{
    for (const WorkerEntry &entry : workers) {
        if (workers_.contains(entry.id))
            continue;
        Worker &worker = addWorker(entry);
        worker.isInherited = true;
        worker.isInStoredRoster = true;
        // Orders for the former incarnation arrive up to 12 s late and bring a lease of 6 s. The
        // clocks of machines can differ by seconds.
        constexpr Millis kRestartMemoryMs = 30'000;
        worker.hasRestarted =
                entry.hasRestarted && hooks_.clock().wall - entry.incarnation < kRestartMemoryMs;
        worker.formerOrdersUntil = worker.hasRestarted ? createdAt_ + kMaxOrderDelayMs : 0;
        worker.uncertainUntil =
                createdAt_
                + longestLocalLease(worker.hasRestarted ? settings_.maxLeaseMs
                                                        : settings_.previousLeaseMs);
        renew(worker);
    }
}

void Scheduler::upsertWorker(const WorkerEntry &entry)
{
    Worker *known = workerOf(entry.id);
    const bool isOtherIncarnation =
            known != nullptr
            && (known->entry.incarnation != entry.incarnation
                || known->entry.address != entry.address || known->entry.service != entry.service);
    if (isOtherIncarnation && known->entry.incarnation > entry.incarnation)
        return; // outdated entry that discovery has not replaced yet
    // Start orders that were on their way can have reached a restarted worker only at its address.
    const bool hasRestarted = isOtherIncarnation && known->entry.address == entry.address
                              && known->entry.incarnation != entry.incarnation;
    if (hasRestarted) {
        beginIncarnation(*known, entry);
    } else if (isOtherIncarnation) {
        handleLostTasks(*known, LossReason::Replaced);
        dropWorker(entry.id);
        known = nullptr;
    }
    if (known == nullptr) {
        known = &addWorker(entry);
        known->idleSince = hooks_.clock().steady;
        logJoined(entry);
    } else if (!known->entry.isDraining && entry.isDraining) {
        base::logEvent(base::Event::WorkerLeaving,
                       {{"worker", entry.id},
                        {"service", entry.service},
                        {"tasks", std::to_string(known->tasks.size())}});
    }
    reindex(*known, entry); // only discovery reports the machine
    const bool hasGrown = known->hasResponded && !known->entry.capacity.covers(entry.capacity);
    known->entry = entry;
    known->fullCapacity.raiseTo(entry.capacity);
    known->isListed = true;
    recordIncarnation(entry);
    replaceFormerIncarnations(entry);
    if (known->isReplaced)
        return;
    if (entry.isDraining)
        drainPerpetual(*known);
    renew(*known);
    if (hasGrown) {
        known->fullUntil = 0;
        servicesToPlace_.insert(entry.service);
        place();
    }
}

void Scheduler::endWorker(const std::string &id)
{
    if (Worker *const worker = workerOf(id)) {
        replaceWorker(*worker);
        place();
    }
}

void Scheduler::removeWorker(const std::string &id)
{
    if (Worker *const worker = workerOf(id))
        worker->isListed = false;
}

std::vector<WorkerEntry> Scheduler::roster() const
{
    std::vector<WorkerEntry> entries;
    for (const auto &[id, worker] : workers_) {
        if (worker->isReplaced)
            continue;
        entries.push_back(worker->entry);
        entries.back().hasRestarted = worker->hasRestarted;
    }
    return entries;
}

void Scheduler::rosterStored(const std::vector<WorkerEntry> &workers)
{
    for (const WorkerEntry &entry : workers) {
        Worker *const worker = workerOf(entry.id);
        if (worker != nullptr && worker->entry.address == entry.address
            && worker->entry.incarnation == entry.incarnation)
            worker->isInStoredRoster = true;
    }
    markAllServicesForPlacement();
    place();
}

void Scheduler::logLostWorker(const Worker &worker, const char *reason) const
{
    if (worker.tasks.empty())
        return;
    const Millis now = hooks_.clock().steady;
    Millis newestStart = 0;
    for (const TaskId &id : worker.tasks)
        if (const Task *const task = taskOf(id))
            newestStart = std::max(newestStart, task->startedAt);
    base::logEvent(base::Event::WorkerLost,
                   {{"worker", worker.entry.id},
                    {"service", worker.entry.service},
                    {"machine", worker.entry.machine},
                    {"how", reason},
                    {"planned", worker.isEndPlanned() ? "1" : "0"},
                    {"tasks", std::to_string(worker.tasks.size())},
                    {"silent_ms", std::to_string(now - worker.replyAt)},
                    {"newest_start_ms", std::to_string(now - newestStart)}});
}

void Scheduler::handleLostTasks(Worker &worker, LossReason reason)
{
    const char *const how = reason == LossReason::Replaced ? "replaced" : "lease-over";
    logLostWorker(worker, how);
    std::vector<LostRun> runs;
    if (!worker.isEndPlanned())
        runs = unprovenRuns(worker);
    for (const TaskId &id : std::set(worker.tasks))
        loseTask(id, worker.entry.id, how);
    worker.tasks.clear();
    worker.startingTasks.clear();
    worker.trialTasks.clear();
    worker.inheritedTasks.clear();
    worker.formerRuns.clear();
    worker.used = {};
    worker.usedByPerpetual = {};
    for (auto &[key, run] : worker.unassigned)
        run.accountUse.reset(); // it has ended with the lease or the worker
    if (reason == LossReason::LeaseExpired) {
        recordSilence(worker, runs);
        return;
    }
    if (worker.isEndPlanned())
        endSilence(worker.entry.machine);
    recordCrash(runs);
}

// Frees a task whose run is lost; it starts again unless it is done or its job has ended.
void Scheduler::loseTask(const TaskId &id, const std::string &workerId, const char *reason)
{
    JobEntry *const entry = entryOf(id.job);
    Task *const task = taskOf(id);
    if (entry == nullptr || task == nullptr)
        return;
    base::logEvent(base::Event::JobAttemptLost,
                   {{"task", id.text()},
                    {"run", std::to_string(task->run)},
                    {"worker", workerId},
                    {"how", reason},
                    {"age_ms", std::to_string(hooks_.clock().steady - task->startedAt)}},
                   logPriority(stepOf(entry->job, id)));
    if (isTerminal(entry->job.state()) || task->phase == TaskPhase::Done)
        release(id, *task);
    else
        requeue(*entry, id, *task);
}

void Scheduler::retryWorkers()
{
    const Millis now = hooks_.clock().steady;
    for (auto &[id, worker] : workers_) {
        if (!worker->tasks.empty() && now - worker->replyAt > settings_.unresponsiveAfterMs
            && isLeaseExpired(*worker))
            handleLostTasks(*worker, LossReason::LeaseExpired);
        retryStops(*worker);
        checkTrials(*worker);
        retryUnassignedStops(*worker);
        renew(*worker);
    }
}

// Repeats stops without an answer. Those that must not be repeated on old information ask for a
// task list first.
void Scheduler::retryStops(Worker &worker)
{
    bool needsList = false;
    std::vector<TaskId> due;
    for (const TaskId &id : worker.tasks) {
        const Task *const task = taskOf(id);
        const bool isUnanswered = task != nullptr && task->phase == TaskPhase::Stopping
                                  && !task->isStopConfirmed && !task->isStopPending;
        if (!isUnanswered)
            continue;
        if (maySendStop(worker, id, *task))
            due.push_back(id);
        else
            needsList = needsList || !task->isListed;
    }
    for (const TaskId &id : due)
        stop(id, *taskOf(id), taskOf(id)->stopReason);
    if (needsList)
        probe(worker);
}

void Scheduler::pruneWorkers()
{
    for (auto item = workers_.begin(); item != workers_.end();) {
        Worker &worker = *item->second;
        const bool isSilent = worker.isReplaced
                              || (hooks_.clock().steady - std::max(worker.replyAt, worker.addedAt)
                                          > settings_.unresponsiveAfterMs
                                  && isLeaseExpired(worker));
        if (worker.isListed || !worker.tasks.empty() || !isSilent) {
            ++item;
            continue;
        }
        base::logEvent(base::Event::WorkerGone,
                       {{"worker", item->first}, {"service", worker.entry.service}});
        const std::string id = (item++)->first;
        dropWorker(id);
    }
}

// Stops perpetual tasks within their disruption budgets, so that they move elsewhere. On a worker
// that is shutting down they are lost anyway, so all of them are stopped immediately.
void Scheduler::drainPerpetual(Worker &worker)
{
    for (const TaskId &id : std::set(worker.tasks)) {
        JobEntry *const entry = entryOf(id.job);
        Task *const task = taskOf(id);
        if (entry == nullptr || task == nullptr || task->phase != TaskPhase::Running)
            continue;
        const StepSpec &step = stepOf(entry->job, id);
        // If no other worker can run the task, it keeps serving users on this one.
        const bool mayStop =
                worker.entry.isDraining
                || (mayEvict(*entry, id)
                    && chooseWorker(*entry, id, workersFor(entry->job), {}) != nullptr);
        if (!step.isPerpetual || !mayStop)
            continue;
        stop(id, *task, worker.entry.isDraining ? StopReason::Draining : StopReason::Maintenance);
    }
}

void Scheduler::pace(Worker &worker)
{
    const Millis now = hooks_.clock().steady;
    if (now - worker.pacedAt < kPaceIntervalMs || !hooks_.maySendOrders())
        return;
    std::vector<ServingLoad> serving;
    std::vector<std::pair<TaskId, Task *>> throttleable;
    for (const TaskId &id : worker.tasks) {
        Task *const task = taskOf(id);
        const JobEntry *const entry = entryOf(id.job);
        if (task == nullptr || entry == nullptr || task->phase != TaskPhase::Running)
            continue;
        const StepSpec &step = stepOf(entry->job, id);
        if (step.latencyTargetMs > 0)
            serving.push_back({.tailMs = task->load, .targetMs = step.latencyTargetMs});
        else if (step.usesLeftoverCpu)
            throttleable.emplace_back(id, task);
    }
    if (throttleable.empty())
        return;
    worker.pacedAt = now;
    for (auto &[id, task] : throttleable) {
        const int percent = nextPace(task->pacePercent, serving);
        if (percent == task->pacePercent)
            continue;
        base::logEvent(base::Event::JobThrottled, {{"task", id.text()},
                                                   {"worker", worker.entry.id},
                                                   {"from", std::to_string(task->pacePercent)},
                                                   {"to", std::to_string(percent)}});
        task->pacePercent = percent;
        orders_.pace(worker.address(),
                     {.task = id,
                      .run = task->run,
                      .percent = percent,
                      .fence = fenceFor(worker),
                      .validity = validity()},
                     [this, alive = alive_](const OrderReply &reply) {
                         if (*alive && reply.status == OrderStatus::Fenced)
                             hooks_.onFenced();
                     });
    }
}

void Scheduler::setCordoned(const std::string &workerId, CordonReason reason, bool isCordoned)
{
    Worker *const worker = workerOf(workerId);
    if (worker == nullptr || worker->cordons.contains(reason) == isCordoned)
        return;
    if (!isCordoned) {
        worker->cordons.erase(reason);
        servicesToPlace_.insert(worker->entry.service);
        return place();
    }
    worker->cordons.insert(reason);
    if (reason == CordonReason::Maintenance)
        drainPerpetual(*worker);
}

std::vector<WorkerView> Scheduler::workers() const
{
    std::vector<WorkerView> views;
    const Millis now = hooks_.clock().steady;
    for (const auto &[id, worker] : workers_) {
        WorkerView view{.entry = worker->entry,
                        .tasks = static_cast<int>(worker->tasks.size() + worker->unassigned.size()),
                        .isUsable = worker->isListed && worker->hasResponded && !worker->isReplaced,
                        .isCordoned = !worker->cordons.empty(),
                        .mayRunUnknownTasks = !worker->hasResponded && !worker->isReplaced
                                              && !isLeaseExpired(*worker),
                        .idleSince = worker->idleSince,
                        .joinedAt = worker->addedAt};
        view.isTransferable = view.isUsable && view.tasks == 0 && worker->unstoredEnds.empty()
                              && !worker->isSuspect && worker->restartSuspectedAt == 0
                              && worker->formerOrdersUntil <= now
                              && worker->quarantinedUntil <= now;
        for (const TaskId &task : worker->tasks) {
            const JobEntry *const entry = entryOf(task.job);
            if (entry != nullptr && stepOf(entry->job, task).isPerpetual)
                ++view.perpetualTasks;
        }
        views.push_back(std::move(view));
    }
    return views;
}

} // namespace chicorywick::scheduler
