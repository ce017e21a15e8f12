#include "scheduler_worker.h"

#include <chicorywick/scheduler/placement.h>

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// Limits of a scan of the queue: steps that fit on no worker although one has the resources, and
// steps examined. They bound the work per event when a queue is much longer than its pool can run.
// The further scans of ticks are rarer and can be longer.
constexpr std::size_t kMaxUnplaceable = 24;
constexpr std::size_t kMaxUnplaceableFurther = 96;
constexpr int kMaxExaminedSteps = 400;
// A step that the limit of its account holds back costs little, and must not hide those behind it.
constexpr int kMaxWithheldSteps = 4'000;

// True if a worker that cannot run a task of the other step cannot run one of this step either.
bool requiresAtLeast(const StepSpec &step, const StepSpec &other)
{
    const bool isOtherUnlimited = other.maxPerWorker == 0;
    return isOtherUnlimited && reservedFor(step).covers(reservedFor(other))
           && (other.requiredLabel.empty() || other.requiredLabel == step.requiredLabel);
}

} // namespace

void Scheduler::markAllServicesForPlacement()
{
    for (const auto &[service, queue] : ready_)
        servicesToPlace_.insert(service);
}

void Scheduler::place(PlacementDepth depth)
{
    if (isPlacing_ || !mayStartTasks())
        return;
    isPlacing_ = true;
    hasSilentWorker_.clear();
    updateHiddenUse();
    // Services that change during the pass are handled at the next event.
    for (const std::string &service : std::exchange(servicesToPlace_, {}))
        placeService(service, depth);
    isPlacing_ = false;
}

// Each pass scans the queue from its head. The steps behind the limit of that scan can fit although
// the ones before them do not, so the passes of ticks also scan a further part, each where the
// former one has ended.
void Scheduler::placeService(const std::string &service, PlacementDepth depth)
{
    const auto found = ready_.find(service);
    if (found == ready_.end() || found->second.empty())
        return;
    const ReadyQueue &queue = found->second;
    reserved_.clear();
    WorkerList open = openWorkers(service, queue.smallestDemand());
    placeTrials(service, open);
    closeFullWorkers(open, queue.smallestDemand());
    const auto end = scanQueue(queue, {}, kMaxUnplaceable, open);
    if (depth == PlacementDepth::Head)
        return;
    const auto cursor = scanCursors_.extract(service);
    if (!end)
        return;
    const ReadyKey from = cursor ? std::max(*end, cursor.mapped()) : *end;
    if (const auto next = scanQueue(queue, from, kMaxUnplaceableFurther, open))
        scanCursors_.emplace(service, *next);
}

// Places the tasks of waiting steps from a key on, or from the head of the queue, until the limits
// of a scan are reached. Returns the next key, or none at the end of the queue.
std::optional<ReadyKey> Scheduler::scanQueue(const ReadyQueue &queue,
                                             const std::optional<ReadyKey> &from,
                                             std::size_t maxUnplaceable, WorkerList &open)
{
    std::vector<const StepSpec *> unplaceableSteps;
    std::size_t unplaceableCount = 0;
    int examined = 0;
    int withheld = 0;
    for (auto item = from ? queue.steps().lower_bound(*from) : queue.steps().begin();
         item != queue.steps().end();) {
        if (unplaceableCount >= maxUnplaceable || examined >= kMaxExaminedSteps
            || withheld >= kMaxWithheldSteps)
            return item->first;
        const auto &[key, ready] = *item;
        const StepSpec &step = ready.spec(key);
        if (!accountLimits_.empty()
            && !isWithinLimit(*entryOf(ready.job->spec().id), step.demand)) {
            ++withheld;
            ++item;
            continue;
        }
        ++examined;
        // Perpetual tasks come first; they reserve workers also in a full service.
        if (open.empty() && !step.isPerpetual)
            return std::nullopt;
        ++examinedSteps_;
        const bool hasRoom = std::any_of(open.begin(), open.end(),
                                         [&demand = ready.demand](const Worker *worker) {
                                             return worker->free().covers(demand);
                                         });
        const bool isKnownUnplaceable =
                !hasRoom
                || std::any_of(unplaceableSteps.begin(), unplaceableSteps.end(),
                               [&step](const StepSpec *unplaceable) {
                                   return requiresAtLeast(step, *unplaceable);
                               });
        if ((isKnownUnplaceable && !step.isPerpetual) || mustWait(*entryOf(ready.job->spec().id))) {
            ++item;
            continue;
        }
        const ReadyKey current = key;
        const StepOutcome outcome = placeStep(queue, current, isKnownUnplaceable, open);
        item = queue.steps().upper_bound(current); // placement may have removed the step
        if (outcome == StepOutcome::Placed || outcome == StepOutcome::OverLimit)
            continue;
        // A label that no worker has costs one look, however many tasks require it.
        unplaceableCount += outcome == StepOutcome::LabelUnmet ? 0 : 1;
        if (!isKnownUnplaceable && !step.isGang)
            unplaceableSteps.push_back(&step);
    }
    return std::nullopt;
}

// Places the waiting tasks of a step until one fits nowhere; the others do not fit either, and
// those of a perpetual step reserve workers.
Scheduler::StepOutcome Scheduler::placeStep(const ReadyQueue &queue, const ReadyKey &key,
                                            bool isKnownUnplaceable, WorkerList &open)
{
    const ReadyStep &ready = queue.steps().at(key);
    const StepSpec &step = ready.spec(key);
    JobEntry &entry = *entryOf(ready.job->spec().id);
    TaskId id = ready.id(key, *ready.tasks.next(-1));
    if (step.isGang) {
        if (!isGangWithinLimit(entry, id))
            return StepOutcome::OverLimit;
        const bool isPlaced = tryPlaceGang(entry, id, open);
        if (isPlaced)
            closeFullWorkers(open, queue.smallestDemand());
        return isPlaced ? StepOutcome::Placed : StepOutcome::Unplaceable;
    }
    // Placement removes the task, and with the last one the step.
    const auto hasNext = [&queue, &key, &id](int after) {
        const auto item = queue.steps().find(key);
        if (item == queue.steps().end())
            return false;
        const std::optional<int> next = item->second.tasks.next(after);
        if (!next)
            return false;
        id.index = *next;
        return true;
    };
    bool isPlaced = true;
    for (int last = -1; isPlaced && hasNext(last); last = id.index) {
        if (!queue.trials().empty() && queue.trials().contains({key, id}))
            continue; // placeTrials() has tried
        isPlaced = !isKnownUnplaceable && tryPlace(entry, id, open);
        if (isPlaced)
            closeFullWorkers(open, queue.smallestDemand());
    }
    if (isPlaced)
        return StepOutcome::Placed;
    if (!isWithinLimit(entry, step.demand))
        return StepOutcome::OverLimit;
    if (step.isPerpetual) {
        while (reserve(entry, id) && hasNext(id.index)) {
        }
        closeFullWorkers(open, queue.smallestDemand());
    }
    return isLabelUnmet(step, policyOf(entry.job)->service) ? StepOutcome::LabelUnmet
                                                            : StepOutcome::Unplaceable;
}

// Returns the usable workers of a service that have room for a demand.
Scheduler::WorkerList Scheduler::openWorkers(const std::string &service, const Resources &demand)
{
    const Millis now = hooks_.clock().steady;
    WorkerList open;
    for (Worker *const worker : workersFor(service)) {
        ++examinedWorkers_;
        if (worker->taskRoom() > 0 && worker->free().covers(demand) && isUsable(*worker, now))
            open.push_back(worker);
    }
    return open;
}

void Scheduler::closeFullWorkers(WorkerList &open, const Resources &demand) const
{
    std::erase_if(open, [&](const Worker *worker) {
        return worker->taskRoom() == 0 || !worker->free().covers(demand)
               || reserved_.contains(worker->entry.id);
    });
}

bool Scheduler::isLabelUnmet(const StepSpec &step, const std::string &service) const
{
    const std::vector<Worker *> &workers = workersFor(service);
    return std::none_of(workers.begin(), workers.end(), [&step](const Worker *worker) {
        return hasRequiredLabel(step, worker->entry.labels);
    });
}

// Until when an inherited worker that has not replied may run tasks of an earlier leader.
Millis Scheduler::silentUntil(const std::string &service) const
{
    Millis until = 0;
    for (const Worker *const worker : workersFor(service))
        if (worker->isInherited && !worker->hasResponded && !worker->isReplaced)
            until = std::max(until, worker->uncertainUntil);
    return until;
}

// Until each inherited worker has replied or its lease has expired, a task without a known worker
// may still run on an unresponsive one.
bool Scheduler::hasSilentInheritedWorker(const std::string &service)
{
    const auto [known, isNew] = hasSilentWorker_.try_emplace(service, false);
    if (isNew)
        known->second = hooks_.clock().steady < silentUntil(service);
    return known->second;
}

// The tasks can run on each service that the queue has used, not only on the present one.
bool Scheduler::isStartUncertain(const JobEntry &entry)
{
    const Millis longest = std::max(settings_.maxLeaseMs, settings_.previousLeaseMs);
    if (!entry.mayHaveRuns || hooks_.clock().steady >= createdAt_ + longestLocalLease(longest))
        return false;
    const QueuePolicy *const policy = policyOf(entry.job);
    if (policy != nullptr && hasSilentInheritedWorker(policy->service))
        return true;
    const std::set<std::string> services = entry.job.services();
    return std::any_of(services.begin(), services.end(), [this](const std::string &service) {
        return hasSilentInheritedWorker(service);
    });
}

// The next leader has to learn of the service of a task before the task can run there.
bool Scheduler::mustWait(const JobEntry &entry)
{
    return entry.serviceBatch > storedBatch_ || isStartUncertain(entry);
}

// Members of the same gang that are about to start count like those that have started.
Scheduler::Worker *Scheduler::chooseWorker(JobEntry &entry, const TaskId &id,
                                           const WorkerList &workers,
                                           const std::map<std::string, int> &plannedMembers)
{
    const StepSpec &step = stepOf(entry.job, id);
    const Task &task = *std::as_const(entry.job).task(id);
    std::vector<Worker *> usable;
    std::vector<PlacementCandidate> candidates;
    std::map<std::string, int> ofStepByWorker;
    const bool dependsOnSiblings = step.maxPerWorker > 0 || step.needsOneRack;
    if (dependsOnSiblings) {
        const auto &siblings =
                entry.job.occurrence(id.occurrence)->steps[static_cast<std::size_t>(id.step)];
        for (const auto &[index, sibling] : siblings.edited())
            if (!sibling.worker.empty())
                ++ofStepByWorker[sibling.worker];
        for (const auto &[workerId, count] : plannedMembers)
            ofStepByWorker[workerId] += count;
    }
    const Resources demand = reservedFor(step);
    const Millis now = hooks_.clock().steady;
    for (Worker *const worker : workers) {
        ++examinedWorkers_;
        const std::string &workerId = worker->entry.id;
        const Resources free = worker->free();
        const auto planned = plannedMembers.find(workerId);
        const int plannedHere = planned != plannedMembers.end() ? planned->second : 0;
        const bool mayBeSent = step.isGang || worker->unansweredStarts < kMaxUnansweredStarts;
        const bool isCandidate = static_cast<int>(worker->taskRoom()) > plannedHere && mayBeSent
                                 && free.covers(demand) && isUsable(*worker, now)
                                 && !reserved_.contains(workerId)
                                 && mayStartBeside(*worker, id, task);
        if (!isCandidate)
            continue;
        PlacementCandidate candidate{.index = usable.size(),
                                     .free = free,
                                     .labels = &worker->entry.labels,
                                     .isAvoided = task.avoidedWorker == workerId};
        if (const auto count = ofStepByWorker.find(workerId); count != ofStepByWorker.end())
            candidate.tasksOfStep = count->second;
        if (step.maxPerWorker > 0)
            candidate.tasksOfStep += static_cast<int>(std::count_if(
                    worker->unassigned.begin(), worker->unassigned.end(), [&id](const auto &stray) {
                        const TaskId &other = stray.first.first;
                        return other.job == id.job && other.occurrence == id.occurrence
                               && other.step == id.step;
                    }));
        if (task.crashes.isSuspected())
            candidate.neighbours = static_cast<int>(worker->tasks.size());
        candidate.free -= demand * plannedHere;
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
                const StepSpec &other = stepOf(owner->job, neighbour);
                candidate.servingTasks += other.latencyTargetMs > 0 ? 1 : 0;
                candidate.leftoverCpuTasks += other.usesLeftoverCpu ? 1 : 0;
            }
        usable.push_back(worker);
        candidates.push_back(candidate);
    }
    const auto chosen = choosePlacement(step, candidates);
    return chosen ? usable[*chosen] : nullptr;
}

// Tasks of the step that the worker runs or is stopping count towards the limit of the step.
bool Scheduler::isAllowedOn(const Worker &worker, const StepSpec &step, const TaskId &id) const
{
    if (!hasRequiredLabel(step, worker.entry.labels))
        return false;
    if (step.maxPerWorker == 0)
        return true;
    const auto isOfStep = [&id](const TaskId &other) {
        return other.job == id.job && other.occurrence == id.occurrence && other.step == id.step;
    };
    const auto assigned = std::count_if(worker.tasks.begin(), worker.tasks.end(), isOfStep);
    const auto stopping =
            std::count_if(worker.unassigned.begin(), worker.unassigned.end(),
                          [&isOfStep](const auto &run) { return isOfStep(run.first.first); });
    return assigned + stopping < step.maxPerWorker;
}

// True if the worker can take a task of the step once the finite tasks there have ended.
bool Scheduler::canTakeLater(const Worker &worker, const StepSpec &step, const TaskId &id) const
{
    Resources later = worker.entry.capacity;
    later -= worker.usedByPerpetual;
    return later.covers(reservedFor(step)) && isAllowedOn(worker, step, id);
}

// Reserves the worker with the most free CPU of those that can take a perpetual task later; it has
// to run even when the service is full. No other task takes the capacity that ending tasks release
// there. Returns false if there is no such worker.
bool Scheduler::reserve(const JobEntry &entry, const TaskId &id)
{
    const StepSpec &step = stepOf(entry.job, id);
    Worker *mostFree = nullptr;
    const Millis now = hooks_.clock().steady;
    for (Worker *const worker : workersFor(entry.job)) {
        const bool isCandidate = isUsable(*worker, now) && !reserved_.contains(worker->entry.id)
                                 && canTakeLater(*worker, step, id);
        if (!isCandidate)
            continue;
        if (mostFree == nullptr || worker->free().cpuMillis > mostFree->free().cpuMillis)
            mostFree = worker;
    }
    if (mostFree == nullptr)
        return false;
    reserved_.insert(mostFree->entry.id);
    return true;
}

bool Scheduler::tryPlace(JobEntry &entry, const TaskId &id, const WorkerList &workers)
{
    if (!isWithinLimit(entry, stepOf(entry.job, id).demand))
        return false;
    Worker *const worker = chooseWorker(entry, id, workers, {});
    if (worker == nullptr)
        return false;
    Task &task = *entry.job.task(id);
    task.run = ++task.highestRun;
    assign(entry, id, *worker);
    sendStart(entry, id, *worker);
    return true;
}

// At most this many further tasks of the step fit on the worker.
int Scheduler::tasksThatFit(const Worker &worker, const StepSpec &step)
{
    const Resources free = worker.free();
    const Resources demand = reservedFor(step);
    std::int64_t fitting = static_cast<std::int64_t>(worker.taskRoom());
    const auto limitBy = [&fitting](std::int64_t room, std::int64_t each) {
        if (each > 0)
            fitting = std::min(fitting, std::max<std::int64_t>(room, 0) / each);
    };
    limitBy(free.cpuMillis, demand.cpuMillis);
    limitBy(free.memoryMib, demand.memoryMib);
    limitBy(free.accelerators, demand.accelerators);
    return static_cast<int>(fitting);
}

// Starts all members together with the same run number, or none.
bool Scheduler::tryPlaceGang(JobEntry &entry, const TaskId &id, const WorkerList &workers)
{
    TaskList &members =
            entry.job.occurrence(id.occurrence)->steps[static_cast<std::size_t>(id.step)];
    if (static_cast<int>(members.ready().size()) < members.size())
        return false; // members of the previous run are still stopping
    // A gang that has no room is tried in each pass; without this check, up to the last member that
    // fits.
    const int fitting = std::accumulate(
            workers.begin(), workers.end(), 0, [&entry, &id](int sum, const Worker *worker) {
                return sum + tasksThatFit(*worker, stepOf(entry.job, id));
            });
    if (fitting < members.size())
        return false;
    std::int64_t run = 0;
    std::string checkpoint;
    for (const auto &[index, member] : members.edited()) {
        run = std::max(run, member.highestRun);
        if (!member.checkpoint.empty())
            checkpoint = member.checkpoint;
    }
    std::map<std::string, int> plannedMembers;
    std::vector<Worker *> chosen;
    for (int index = 0; index < members.size(); ++index) {
        TaskId member = id;
        member.index = index;
        Worker *const worker = chooseWorker(entry, member, workers, plannedMembers);
        if (worker == nullptr)
            return false;
        ++plannedMembers[worker->entry.id];
        chosen.push_back(worker);
    }
    for (int index = 0; index < members.size(); ++index) {
        TaskId member = id;
        member.index = index;
        Task &task = members.edit(index);
        task.run = run + 1;
        task.highestRun = run + 1;
        task.checkpoint = checkpoint;
        Worker &worker = *chosen[static_cast<std::size_t>(index)];
        assign(entry, member, worker);
        sendStart(entry, member, worker);
    }
    return true;
}

} // namespace chicorywick::scheduler
