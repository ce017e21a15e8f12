#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/scheduler/placement.h>

#include <algorithm>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// One pass gives up after so many kinds of waiting tasks that fit nowhere, and after so many tasks;
// both bound the work per event when a queue is far longer than its pool can hold.
constexpr int kMaxMisses = 24;
constexpr int kMaxExamined = 400;
// After a refusal for want of room, the worker's count and ours differ until its next reply.
constexpr Millis kFullPauseMs = 200;
// A perpetual task whose worker reports less is paced down.
constexpr int kAtWorkPercent = 100;
// Start-ups vary, and estimates are rough; a slow worker needs longer still.
constexpr Millis kStartUpFactor = 2;
constexpr Millis kShortestStartUpMs = 1'500;
// What a silent worker last said of its tasks is no evidence that they are at work.
constexpr Millis kFreshMs = 1'500;

// True if no worker can take a task of the step when none could take one of the other.
bool asksNoLessThan(const StepSpec &step, const StepSpec &other)
{
    const bool isOtherPlain = other.maxPerWorker == 0;
    return isOtherPlain && reservedFor(step).covers(reservedFor(other))
           && (other.requiredLabel.empty() || other.requiredLabel == step.requiredLabel);
}

} // namespace

void Scheduler::place()
{
    if (isPlacing_ || !hooks_.mayOrder())
        return;
    isPlacing_ = true;
    // Services that change during the pass wait for the next event.
    for (const std::string &service : std::exchange(unplaced_, {}))
        placeService(service);
    isPlacing_ = false;
}

void Scheduler::placeService(const std::string &service)
{
    const auto queue = ready_.find(service);
    if (queue == ready_.end() || queue->second.keys.empty())
        return;
    std::set<ReadyKey> &keys = queue->second.keys;
    reserved_.clear();
    const bool isAnySilent = hasSilentFormerWorker(service);
    const Millis now = hooks_.clock().steady;
    std::vector<const StepSpec *> misfits;
    int misses = 0;
    int examined = 0;
    for (auto item = keys.begin();
         item != keys.end() && misses < kMaxMisses && examined < kMaxExamined; ++examined) {
        const TaskId id = item->id;
        ++item; // placing removes the key, and for a gang also its members'
        JobEntry *const entry = entryOf(id.job);
        if (entry == nullptr || (isAnySilent && entry->uncertainUntil > now))
            continue;
        const StepSpec &step = stepOf(entry->job, id);
        if (step.isGang) {
            const bool isPlaced = tryPlaceGang(*entry, id);
            misses += isPlaced ? 0 : 1;
            if (isPlaced)
                item = keys.begin();
            continue;
        }
        const bool isHopeless =
                std::any_of(misfits.begin(), misfits.end(), [&step](const StepSpec *misfit) {
                    return asksNoLessThan(step, *misfit);
                });
        if (!isHopeless && tryPlace(*entry, id))
            continue;
        if (!isHopeless) {
            ++misses;
            misfits.push_back(&step);
        }
        if (step.isPerpetual)
            reserve(*entry, id);
    }
}

// Until every worker that an earlier driver may have used has answered or its lease is over, a task
// without a known worker may still run on a silent one.
bool Scheduler::hasSilentFormerWorker(const std::string &service) const
{
    const auto &workers = workersFor(service);
    return std::any_of(workers.begin(), workers.end(), [](const Worker *worker) {
        return worker->isExpected && !worker->isContacted && !worker->isReplaced;
    });
}

Scheduler::Worker *Scheduler::chooseWorker(JobEntry &entry, const TaskId &id,
                                           const std::map<std::string, Resources> &planned)
{
    const QueuePolicy *const policy = policyOf(entry.job);
    const StepSpec &step = stepOf(entry.job, id);
    const Task &task = *entry.job.task(id);
    std::vector<Worker *> usable;
    std::vector<PlacementCandidate> candidates;
    std::map<std::string, int> ofStepByWorker;
    const auto &siblings =
            entry.job.occurrence(id.occurrence)->steps[static_cast<std::size_t>(id.step)];
    for (const Task &sibling : siblings)
        if (!sibling.worker.empty())
            ++ofStepByWorker[sibling.worker];
    const Resources demand = reservedFor(step);
    const Millis now = hooks_.clock().steady;
    for (Worker *const worker : workersFor(policy->service)) {
        ++examinedWorkers_;
        const std::string &workerId = worker->entry.id;
        const bool isCandidate = worker->free().covers(demand) && isUsable(*worker, now)
                                 && !reserved_.contains(workerId);
        if (!isCandidate)
            continue;
        PlacementCandidate candidate{.index = usable.size(),
                                     .free = worker->free(),
                                     .labels = &worker->entry.labels,
                                     .isAvoided = task.avoid == workerId};
        if (const auto count = ofStepByWorker.find(workerId); count != ofStepByWorker.end())
            candidate.tasksOfStep = count->second;
        const auto plan = planned.find(workerId);
        if (plan != planned.end())
            candidate.free -= plan->second;
        if (step.needsOneRack)
            for (const auto &[other, count] : ofStepByWorker) {
                const Worker *const holder = workerOf(other);
                const bool isSameRack =
                        holder != nullptr && holder->entry.labels == worker->entry.labels;
                candidate.tasksOfStepInRack += isSameRack ? count : 0;
            }
        if (step.isPerpetual)
            for (const TaskId &neighbour : worker->tasks) {
                const JobEntry *const owner = entryOf(neighbour.job);
                if (owner == nullptr)
                    continue;
                const StepSpec &other =
                        owner->job.spec().steps[static_cast<std::size_t>(neighbour.step)];
                candidate.servingTasks += other.latencyTargetMs > 0 ? 1 : 0;
                candidate.fillingTasks += other.usesLeftoverCpu ? 1 : 0;
            }
        usable.push_back(worker);
        candidates.push_back(candidate);
    }
    const auto chosen = choosePlacement(step, candidates);
    return chosen ? usable[*chosen] : nullptr;
}

// Keeps the worker with the most room free for a perpetual task, which has to run however full the
// service is; tasks that end there leave their room to it.
void Scheduler::reserve(const JobEntry &entry, const TaskId &id)
{
    const QueuePolicy *const policy = policyOf(entry.job);
    const Job &job = entry.job;
    const StepSpec &step = job.spec().steps[static_cast<std::size_t>(id.step)];
    Worker *widest = nullptr;
    const Millis now = hooks_.clock().steady;
    for (Worker *const worker : workersFor(policy->service)) {
        const bool isCandidate = isUsable(*worker, now)
                                 && worker->entry.capacity.covers(reservedFor(step))
                                 && !reserved_.contains(worker->entry.id);
        if (!isCandidate)
            continue;
        const bool hasSibling = step.maxPerWorker > 0
                                && std::count_if(worker->tasks.begin(), worker->tasks.end(),
                                                 [&id](const TaskId &other) {
                                                     return other.job == id.job
                                                            && other.occurrence == id.occurrence
                                                            && other.step == id.step;
                                                 })
                                           >= step.maxPerWorker;
        if (hasSibling)
            continue;
        if (widest == nullptr || worker->free().cpuMillis > widest->free().cpuMillis)
            widest = worker;
    }
    if (widest != nullptr)
        reserved_.insert(widest->entry.id);
}

bool Scheduler::tryPlace(JobEntry &entry, const TaskId &id)
{
    Worker *const worker = chooseWorker(entry, id, {});
    if (worker == nullptr)
        return false;
    Task &task = *entry.job.task(id);
    task.run = ++task.highestRun;
    assign(entry, id, *worker);
    sendStart(entry, id, *worker);
    return true;
}

// All members start together with one run number, or none does.
bool Scheduler::tryPlaceGang(JobEntry &entry, const TaskId &id)
{
    auto &members = entry.job.occurrence(id.occurrence)->steps[static_cast<std::size_t>(id.step)];
    std::int64_t run = 0;
    std::string checkpoint;
    for (const Task &member : members) {
        if (member.phase != TaskPhase::Ready)
            return false; // members of the last run are still being stopped
        run = std::max(run, member.highestRun);
        if (!member.checkpoint.empty())
            checkpoint = member.checkpoint;
    }
    const StepSpec &step = stepOf(entry.job, id);
    std::map<std::string, Resources> planned;
    std::vector<Worker *> chosen;
    for (std::size_t index = 0; index < members.size(); ++index) {
        TaskId member = id;
        member.index = static_cast<int>(index);
        Worker *const worker = chooseWorker(entry, member, planned);
        if (worker == nullptr)
            return false;
        planned[worker->entry.id] += reservedFor(step);
        chosen.push_back(worker);
    }
    for (std::size_t index = 0; index < members.size(); ++index) {
        TaskId member = id;
        member.index = static_cast<int>(index);
        members[index].run = run + 1;
        members[index].highestRun = run + 1;
        members[index].checkpoint = checkpoint;
        assign(entry, member, *chosen[index]);
        sendStart(entry, member, *chosen[index]);
    }
    return true;
}

void Scheduler::assign(JobEntry &entry, const TaskId &id, Worker &worker)
{
    dequeue(entry, id);
    Task &task = *entry.job.task(id);
    task.phase = TaskPhase::Starting;
    task.readySince = std::max(task.phaseSince, entry.job.acceptedSteady());
    task.phaseSince = hooks_.clock().steady;
    task.worker = worker.entry.id;
    task.answerNumber = 0;
    worker.tasks.insert(id);
    worker.used += reservedFor(stepOf(entry.job, id));
}

void Scheduler::sendStart(JobEntry &entry, const TaskId &id, Worker &worker)
{
    Task &task = *entry.job.task(id);
    StartOrder order{.task = id,
                     .run = task.run,
                     .payload = entry.job.spec().payload,
                     .checkpoint = task.checkpoint,
                     .leaseUntil = leaseUntil(worker),
                     .fence = settings_.fence};
    worker.leaseSent = std::max(worker.leaseSent, order.leaseUntil);
    ++task.orderedStarts;
    const Millis now = hooks_.clock().steady;
    base::logEvent(base::Event::JobStarted,
                   {{"task", id.text()},
                    {"run", std::to_string(task.run)},
                    {"worker", worker.entry.id},
                    {"waited_ms", std::to_string(now - task.readySince)},
                    {"free_cpu", std::to_string(worker.free().cpuMillis)},
                    {"worker_age_ms", std::to_string(now - worker.replyAt)}});
    orders_.start(worker.address(), order,
                  [this, alive = alive_, id, run = task.run,
                   workerId = worker.entry.id](const OrderReply &reply) {
                      if (*alive)
                          handleStart(id, run, workerId, reply);
                  });
}

void Scheduler::handleStart(const TaskId &id, std::int64_t run, const std::string &workerId,
                            const OrderReply &reply)
{
    JobEntry *const entry = entryOf(id.job);
    Task *const task = taskOf(id);
    if (entry == nullptr || task == nullptr)
        return;
    const Millis now = hooks_.clock().steady;
    task->orderedStarts = std::max(task->orderedStarts - 1, 0);
    task->answerNumber = ++answers_;
    Worker *const worker = workerOf(workerId);
    const bool isCurrent = task->worker == workerId && task->run == run
                           && task->phase != TaskPhase::Done && worker != nullptr;
    if (reply.status == OrderStatus::Accepted)
        entry->job.noteStart();
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
                        {"status", std::to_string(static_cast<int>(reply.status))}});
    Millis fullUntil = 0;
    switch (reply.status) {
    case OrderStatus::Accepted:
        observeClock(*worker, reply.workerClock);
        if (task->phase == TaskPhase::Starting) {
            task->phase = TaskPhase::Running;
            task->phaseSince = now;
        }
        // An idle worker's renewal waits without a lease; the next one must carry it.
        if (now - worker->renewedAt > settings_.renewWaitMs)
            renew(*worker);
        return;
    case OrderStatus::Unknown:
        // The worker's list shows whether the start has arrived.
        worker->isSuspect = true;
        task->answerNumber = 0;
        probe(*worker);
        return;
    case OrderStatus::NoRoom:
    case OrderStatus::TooLate:
        fullUntil = now + kFullPauseMs;
        break;
    case OrderStatus::OldRun:
    case OrderStatus::NoTicket:
        break;
    case OrderStatus::OtherLife:
        replaceWorker(*worker);
        place();
        return;
    case OrderStatus::NotSent:
    case OrderStatus::Unhealthy:
    case OrderStatus::Invalid:
    case OrderStatus::Fenced:
        // Nothing more is sent there until a renewal is answered again.
        worker->isSuspect = true;
        task->avoid = workerId;
        break;
    }
    if (isTerminal(entry->job.state()))
        release(id, *task);
    else
        requeue(*entry, id, *task);
    worker->fullUntil = fullUntil;
}

void Scheduler::stop(const TaskId &id, Task &task)
{
    task.phase = TaskPhase::Stopping;
    task.isStopPending = true;
    task.isStopConfirmed = false;
    sendStop(id, task.run, task.worker);
}

void Scheduler::sendStop(const TaskId &id, std::int64_t run, const std::string &workerId)
{
    Worker *const worker = workerOf(workerId);
    if (worker == nullptr || !hooks_.mayOrder())
        return;
    orders_.stop(worker->address(), {.task = id, .run = run, .fence = settings_.fence},
                 [this, alive = alive_, id, run, workerId](const OrderReply &reply) {
                     if (!*alive)
                         return;
                     if (reply.status == OrderStatus::Fenced)
                         return hooks_.onFenced();
                     Task *const task = taskOf(id);
                     if (task == nullptr || task->worker != workerId || task->run != run)
                         return;
                     task->isStopPending = false;
                     task->answerNumber = ++answers_;
                     task->isStopConfirmed = reply.status == OrderStatus::Accepted
                                             || reply.status == OrderStatus::OldRun;
                     // A task that never ran there leaves no end that would return a renewal.
                     Worker *const stopped = workerOf(workerId);
                     if (task->isStopConfirmed && task->wasMissing && stopped != nullptr)
                         probe(*stopped);
                 });
}

// Other tasks of the step that are at work now.
int Scheduler::availableOthers(const JobEntry &entry, const TaskId &id) const
{
    const auto &occurrences = entry.job.occurrences();
    const auto found = occurrences.find(id.occurrence);
    if (found == occurrences.end())
        return 0;
    int available = 0;
    const Millis now = hooks_.clock().steady;
    // A worker shows a task at full pace from its start on, also while it starts up.
    const StepSpec &step = stepOf(entry.job, id);
    const Millis startUp = std::max(kShortestStartUpMs, kStartUpFactor * step.estimatedMs);
    const auto &siblings = found->second.steps[static_cast<std::size_t>(id.step)];
    for (std::size_t index = 0; index < siblings.size(); ++index) {
        const Worker *const worker = workerOf(siblings[index].worker);
        const bool isAtWork = worker != nullptr && siblings[index].phase == TaskPhase::Running
                              && siblings[index].percent >= kAtWorkPercent
                              && now - siblings[index].phaseSince >= startUp
                              && now - worker->replyAt < kFreshMs;
        available += isAtWork && static_cast<int>(index) != id.index ? 1 : 0;
    }
    return available;
}

bool Scheduler::mayTakeAway(const JobEntry &entry, const TaskId &id) const
{
    const StepSpec &step = stepOf(entry.job, id);
    const int away = step.taskCount - 1 - availableOthers(entry, id);
    // Without a stated budget, one task at a time keeps the step working.
    return away < std::max(step.maxUnavailable, 1);
}

bool Scheduler::mayDisrupt(const std::string &workerId) const
{
    const Worker *const worker = workerOf(workerId);
    if (worker == nullptr)
        return true;
    return std::all_of(worker->tasks.begin(), worker->tasks.end(), [this](const TaskId &id) {
        const JobEntry *const entry = entryOf(id.job);
        if (entry == nullptr)
            return true;
        const StepSpec &step = stepOf(entry->job, id);
        return !step.isPerpetual || mayTakeAway(*entry, id);
    });
}

} // namespace chicorywick::scheduler
