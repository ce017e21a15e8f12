#include "scheduler_worker.h"

#include <chicorywick/scheduler/ready_queue.h>

#include <utility>

namespace chicorywick::scheduler {

TaskId ReadyStep::id(const ReadyKey &key, int index) const
{
    return {.job = job->spec().id, .occurrence = key.occurrence, .step = key.step, .index = index};
}

void ReadyQueue::insert(const ReadyKey &key, Job &job, const TaskId &id, const IndexSet &tasks)
{
    if (tasks.empty())
        return;
    const StepSpec &spec = stepOf(job, id);
    const auto [item, isNew] =
            steps_.try_emplace(key, ReadyStep{.job = &job, .demand = reservedFor(spec)});
    ReadyStep &step = item->second;
    if (isNew)
        count(step.demand, 1);
    const auto before = static_cast<std::int64_t>(step.tasks.size());
    step.tasks.merge(tasks);
    const auto added = static_cast<std::int64_t>(step.tasks.size()) - before;
    waitingCpuMillis_ += added * step.demand.cpuMillis;
    const Occurrence *const occurrence = std::as_const(job).occurrence(id.occurrence);
    if (spec.isGang || occurrence == nullptr)
        return;
    // Only tasks that have run have a crash history.
    for (const auto &[index, task] : occurrence->steps[static_cast<std::size_t>(id.step)].edited())
        if (task.crashes.isSuspected() && tasks.contains(index)) {
            TaskId suspected = id;
            suspected.index = index;
            trials_.emplace(key, std::move(suspected));
        }
}

bool ReadyQueue::erase(const ReadyKey &key, const TaskId &id)
{
    const auto item = steps_.find(key);
    if (item == steps_.end() || !item->second.tasks.erase(id.index))
        return false;
    trials_.erase({key, id});
    waitingCpuMillis_ -= item->second.demand.cpuMillis;
    if (!item->second.tasks.empty())
        return true;
    count(item->second.demand, -1);
    steps_.erase(item);
    return true;
}

int ReadyQueue::eraseStep(const ReadyKey &key)
{
    const auto item = steps_.find(key);
    if (item == steps_.end())
        return 0;
    const auto tasks = static_cast<int>(item->second.tasks.size());
    for (auto trial = trials_.lower_bound({key, {}});
         trial != trials_.end() && trial->first == key;)
        trial = trials_.erase(trial);
    waitingCpuMillis_ -= tasks * item->second.demand.cpuMillis;
    count(item->second.demand, -1);
    steps_.erase(item);
    return tasks;
}

void ReadyQueue::move(const ReadyKey &from, const ReadyKey &to)
{
    if (from == to)
        return;
    auto step = steps_.extract(from);
    if (step.empty())
        return;
    for (auto trial = trials_.lower_bound({from, {}});
         trial != trials_.end() && trial->first == from;) {
        trials_.emplace(to, trial->second);
        trial = trials_.erase(trial);
    }
    step.key() = to;
    const auto placed = steps_.insert(std::move(step));
    if (placed.inserted)
        return;
    placed.position->second.tasks.merge(placed.node.mapped().tasks);
    count(placed.position->second.demand, -1);
}

Resources ReadyQueue::smallestDemand() const
{
    if (steps_.empty())
        return {};
    return {.cpuMillis = cpuMillis_.begin()->first,
            .memoryMib = memoryMib_.begin()->first,
            .accelerators = accelerators_.begin()->first};
}

void ReadyQueue::count(const Resources &demand, int difference)
{
    const auto change = [difference](Counts &counts, std::int64_t amount) {
        const auto item = counts.try_emplace(amount, 0).first;
        item->second += difference;
        if (item->second == 0)
            counts.erase(item);
    };
    change(cpuMillis_, demand.cpuMillis);
    change(memoryMib_, demand.memoryMib);
    change(accelerators_, demand.accelerators);
}

} // namespace chicorywick::scheduler
