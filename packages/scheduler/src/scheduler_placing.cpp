#include "scheduler_worker.h"

#include <chicorywick/scheduler/placement.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// Limits of one pass: distinct demands that fit on no worker, and tasks examined. Both bound the
// work per event when a queue is much longer than its pool can run.
constexpr int kMaxUnplaceable = 24;
constexpr int kMaxExaminedTasks = 400;

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

void Scheduler::place()
{
    if (isPlacing_ || !mayStartTasks())
        return;
    isPlacing_ = true;
    // Services that change during the pass are handled at the next event.
    for (const std::string &service : std::exchange(servicesToPlace_, {}))
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
    placeTrials(service);
    const bool hasSilentWorker = hasSilentInheritedWorker(service);
    const Millis now = hooks_.clock().steady;
    std::vector<const StepSpec *> unplaceableSteps;
    int unplaceableCount = 0;
    int examinedTasks = 0;
    for (auto item = keys.begin(); item != keys.end() && unplaceableCount < kMaxUnplaceable
                                   && examinedTasks < kMaxExaminedTasks;
         ++examinedTasks) {
        const ReadyKey key = *item;
        const TaskId &id = key.id;
        ++item; // placement removes the key, and for a gang those of all members
        JobEntry *const entry = entryOf(id.job);
        if (entry == nullptr || (hasSilentWorker && entry->uncertainUntil > now))
            continue;
        if (queue->second.trials.contains(entry->ready.at(id)))
            continue; // placeTrials() has tried
        const StepSpec &step = stepOf(entry->job, id);
        if (step.isGang) {
            const bool isPlaced = tryPlaceGang(*entry, id);
            unplaceableCount += isPlaced ? 0 : 1;
            if (isPlaced)
                item = keys.begin();
            continue;
        }
        const bool isKnownUnplaceable =
                std::any_of(unplaceableSteps.begin(), unplaceableSteps.end(),
                            [&step](const StepSpec *unplaceable) {
                                return requiresAtLeast(step, *unplaceable);
                            });
        if (!isKnownUnplaceable && tryPlace(*entry, id))
            continue;
        if (!isKnownUnplaceable) {
            // A label that no worker has costs one look, however many tasks require it.
            unplaceableCount += isLabelUnmet(step, service) ? 0 : 1;
            unplaceableSteps.push_back(&step);
        }
        // The other waiting tasks of the step fit nowhere either.
        ReadyKey last = key;
        last.id.index = std::numeric_limits<int>::max();
        const auto next = keys.upper_bound(last);
        if (step.isPerpetual && reserve(*entry, id))
            while (item != next && reserve(*entry, item->id))
                ++item;
        item = next;
    }
}

bool Scheduler::isLabelUnmet(const StepSpec &step, const std::string &service) const
{
    const std::vector<Worker *> &workers = workersFor(service);
    return std::none_of(workers.begin(), workers.end(), [&step](const Worker *worker) {
        return hasRequiredLabel(step, worker->entry.labels);
    });
}

// Until each inherited worker has replied or its lease has expired, a task without a known worker
// may still run on an unresponsive one.
bool Scheduler::hasSilentInheritedWorker(const std::string &service) const
{
    const auto &workers = workersFor(service);
    return std::any_of(workers.begin(), workers.end(), [](const Worker *worker) {
        return worker->isInherited && !worker->hasResponded && !worker->isReplaced;
    });
}

bool Scheduler::isStartUncertain(const JobEntry &entry, const std::string &service) const
{
    return entry.uncertainUntil > hooks_.clock().steady && hasSilentInheritedWorker(service);
}

// Members of the same gang that are about to start count like those that have started.
Scheduler::Worker *Scheduler::chooseWorker(JobEntry &entry, const TaskId &id,
                                           const std::map<std::string, int> &plannedMembers)
{
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
    for (const auto &[workerId, count] : plannedMembers)
        ofStepByWorker[workerId] += count;
    const Resources demand = reservedFor(step);
    const Millis now = hooks_.clock().steady;
    for (Worker *const worker : workersFor(entry.job)) {
        ++examinedWorkers_;
        const std::string &workerId = worker->entry.id;
        const bool isCandidate = worker->free().covers(demand) && isUsable(*worker, now)
                                 && !reserved_.contains(workerId)
                                 && mayStartBeside(*worker, id, task);
        if (!isCandidate)
            continue;
        PlacementCandidate candidate{.index = usable.size(),
                                     .free = worker->free(),
                                     .labels = &worker->entry.labels,
                                     .isAvoided = task.avoidedWorker == workerId};
        if (const auto count = ofStepByWorker.find(workerId); count != ofStepByWorker.end())
            candidate.tasksOfStep = count->second;
        candidate.tasksOfStep += static_cast<int>(std::count_if(
                worker->unassigned.begin(), worker->unassigned.end(), [&id](const auto &stray) {
                    const TaskId &other = stray.first.first;
                    return other.job == id.job && other.occurrence == id.occurrence
                           && other.step == id.step;
                }));
        if (task.crashes.isSuspected())
            candidate.neighbours = static_cast<int>(worker->tasks.size());
        const auto planned = plannedMembers.find(workerId);
        for (int i = 0; planned != plannedMembers.end() && i < planned->second; ++i)
            candidate.free -= demand;
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

// Starts all members together with the same run number, or none.
bool Scheduler::tryPlaceGang(JobEntry &entry, const TaskId &id)
{
    auto &members = entry.job.occurrence(id.occurrence)->steps[static_cast<std::size_t>(id.step)];
    std::int64_t run = 0;
    std::string checkpoint;
    for (const Task &member : members) {
        if (member.phase != TaskPhase::Ready)
            return false; // members of the previous run are still stopping
        run = std::max(run, member.highestRun);
        if (!member.checkpoint.empty())
            checkpoint = member.checkpoint;
    }
    std::map<std::string, int> plannedMembers;
    std::vector<Worker *> chosen;
    for (std::size_t index = 0; index < members.size(); ++index) {
        TaskId member = id;
        member.index = static_cast<int>(index);
        Worker *const worker = chooseWorker(entry, member, plannedMembers);
        if (worker == nullptr)
            return false;
        ++plannedMembers[worker->entry.id];
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

} // namespace chicorywick::scheduler
