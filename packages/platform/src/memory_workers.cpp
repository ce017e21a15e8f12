#include <chicorywick/platform/memory_platform.h>

#include <algorithm>

namespace chicorywick::platform {

// Worker service of the in-memory platform. Task states are updated when their worker is accessed.

namespace {

constexpr base::Duration kEndedTaskRetention = std::chrono::minutes(10);

} // namespace

void MemoryPlatform::setWorkerPartitioned(const std::string &id, bool partitioned)
{
    const Lock lock(mutex_);
    machines_.at(id).partitioned = partitioned;
}

std::vector<TaskRun> MemoryPlatform::taskRuns() const
{
    const Lock lock(mutex_);
    return runs_;
}

void MemoryPlatform::endTask(Task &task, TaskState state, base::TimePoint at)
{
    task.state = state;
    task.endedAt = at;
    runs_[task.run].state = state;
    runs_[task.run].endedAt = at;
}

// Leases also expire on a partitioned worker, which enforces them by its own clock.
void MemoryPlatform::advanceTask(Task &task)
{
    if (isEnded(task.state))
        return;
    const base::TimePoint now = options_.clock.now();
    const base::TimePoint finish = task.startedAt + task.behaviour.runTime;
    if (task.leaseUntil <= now && task.leaseUntil < finish)
        endTask(task, TaskState::LeaseExpired, task.leaseUntil);
    else if (finish <= now)
        endTask(task, task.behaviour.succeeds ? TaskState::Succeeded : TaskState::Failed, finish);
}

bool MemoryPlatform::hasRoom(const Machine &machine, const Capacity &wanted) const
{
    Capacity used = wanted;
    for (const auto &[name, task] : machine.tasks) {
        if (isEnded(task.state))
            continue;
        used.cpuMillis += task.start.resources.cpuMillis;
        used.memoryMib += task.start.resources.memoryMib;
        used.accelerators += task.start.resources.accelerators;
    }
    const Capacity &capacity = machine.listed.capacity;
    return used.cpuMillis <= capacity.cpuMillis && used.memoryMib <= capacity.memoryMib
           && used.accelerators <= capacity.accelerators;
}

base::Result<void> MemoryPlatform::startTask(const std::string &zone, const TaskStart &start)
{
    const auto lock = admitCall(&FaultPlan::workers, zone);
    if (!lock)
        return lock.error();
    ++counters_.workerCalls;
    if (shouldInject(faults_.workers.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, start.task);
    const auto found = machines_.find(start.worker);
    if (found == machines_.end())
        return base::makeError(base::Code::NotFound, "worker '" + start.worker + "'");
    if (found->second.partitioned)
        return base::makeError(base::Code::PlatformUnavailable, "worker '" + start.worker + "'");
    advance(found->second);
    const auto result = beginTask(found->second, start);
    if (shouldInject(faults_.workers.loseAnswer))
        return base::makeError(base::Code::PlatformUnknownOutcome, start.task);
    return result;
}

base::Result<void> MemoryPlatform::beginTask(Machine &machine, const TaskStart &start)
{
    std::erase_if(machine.tasks, [&](const auto &entry) {
        return isEnded(entry.second.state)
               && options_.clock.now() - entry.second.endedAt > kEndedTaskRetention;
    });
    const auto previous = machine.tasks.find(start.task);
    if (previous != machine.tasks.end()) {
        const Task &task = previous->second;
        if (start.fence < task.start.fence)
            return base::makeError(base::Code::StaleFence, "task '" + start.task + "'");
        // A start with the same token is a repeat of an earlier one and succeeds in any task state.
        if (start.fence == task.start.fence)
            return base::ok();
        if (!isEnded(task.state))
            endTask(previous->second, TaskState::Stopped, options_.clock.now());
    }
    if (machine.phase != InstancePhase::Up)
        return base::makeError(base::Code::NoWorkerFits, start.worker + " is not in service");
    if (!hasRoom(machine, start.resources))
        return base::makeError(base::Code::NoWorkerFits,
                               start.worker + " has insufficient free resources");

    Task task;
    task.start = start;
    task.behaviour = behaviour_(start);
    task.startedAt = options_.clock.now();
    task.leaseUntil = task.startedAt + start.lease;
    task.checkpoint = start.checkpoint;
    task.run = runs_.size();
    runs_.push_back({.worker = start.worker,
                     .task = start.task,
                     .fence = start.fence,
                     .state = TaskState::Running,
                     .startedAt = task.startedAt,
                     .endedAt = {}});
    machine.tasks.insert_or_assign(start.task, std::move(task));
    return base::ok();
}

base::Result<void> MemoryPlatform::commandTask(const std::string &zone, const std::string &method,
                                               const TaskRef &ref, std::int64_t argument)
{
    const auto lock = admitCall(&FaultPlan::workers, zone);
    if (!lock)
        return lock.error();
    ++counters_.workerCalls;
    if (shouldInject(faults_.workers.loseRequest))
        return base::makeError(base::Code::PlatformUnknownOutcome, ref.task);
    const auto machine = machines_.find(ref.worker);
    if (machine == machines_.end())
        return base::makeError(base::Code::NotFound, "worker '" + ref.worker + "'");
    if (machine->second.partitioned)
        return base::makeError(base::Code::PlatformUnavailable, "worker '" + ref.worker + "'");
    advance(machine->second);
    const auto found = machine->second.tasks.find(ref.task);
    if (found == machine->second.tasks.end())
        return base::makeError(base::Code::NotFound, "task '" + ref.task + "'");
    if (ref.fence < found->second.start.fence)
        return base::makeError(base::Code::StaleFence, "task '" + ref.task + "'");
    const auto result = applyTaskCommand(found->second, method, argument);
    if (shouldInject(faults_.workers.loseAnswer))
        return base::makeError(base::Code::PlatformUnknownOutcome, ref.task);
    return result;
}

base::Result<void> MemoryPlatform::applyTaskCommand(Task &task, const std::string &method,
                                                    std::int64_t argument)
{
    if (isEnded(task.state))
        return base::makeError(base::Code::InvalidTransition, "the task has ended");
    const base::TimePoint now = options_.clock.now();
    if (method == "RenewTask") {
        task.leaseUntil = std::max(task.leaseUntil, now + std::chrono::milliseconds(argument));
    } else if (method == "CheckpointTask") {
        task.checkpoint = "checkpoint/" + task.start.task + "/" + std::to_string(task.start.fence);
        endTask(task, TaskState::Checkpointed, now);
    } else if (method == "ThrottleTask") {
        task.cpuLimit = static_cast<std::uint32_t>(argument);
    } else if (method == "StopTask") {
        endTask(task, TaskState::Stopped, now);
    } else {
        return base::makeError(base::Code::UnknownMethod, method);
    }
    return base::ok();
}

base::Result<std::vector<TaskStatus>> MemoryPlatform::listTasks(const std::string &zone,
                                                                const std::string &worker)
{
    const auto lock = admitCall(&FaultPlan::workers, zone);
    if (!lock)
        return lock.error();
    ++counters_.workerCalls;
    const auto found = machines_.find(worker);
    if (found == machines_.end())
        return base::makeError(base::Code::NotFound, "worker '" + worker + "'");
    if (found->second.partitioned)
        return base::makeError(base::Code::PlatformUnavailable, "worker '" + worker + "'");
    advance(found->second);
    std::vector<TaskStatus> statuses;
    for (const auto &[name, task] : found->second.tasks) {
        const bool isThrottled = task.cpuLimit > 0 && task.cpuLimit < task.behaviour.cpuMillis;
        statuses.push_back({.task = name,
                            .fence = task.start.fence,
                            .state = task.state,
                            .cpuMillis = isThrottled ? task.cpuLimit : task.behaviour.cpuMillis,
                            .memoryMib = task.behaviour.memoryMib,
                            .startedAt = task.startedAt,
                            .endedAt = task.endedAt,
                            .checkpoint = task.checkpoint,
                            .message = task.behaviour.message});
    }
    return statuses;
}

} // namespace chicorywick::platform
