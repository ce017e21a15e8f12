#include "scheduler_worker.h"

#include <chicorywick/scheduler/ready_queue.h>

namespace chicorywick::scheduler {

TaskId ReadyStep::id(const ReadyKey &key, int index) const
{
    return {.job = job->spec().id, .occurrence = key.occurrence, .step = key.step, .index = index};
}

void ReadyQueue::insert(const ReadyKey &key, Job &job, const TaskId &id)
{
    const StepSpec &spec = stepOf(job, id);
    const auto [item, isNew] =
            steps_.try_emplace(key, ReadyStep{.job = &job, .demand = reservedFor(spec)});
    if (isNew)
        count(item->second.demand, 1);
    item->second.tasks.insert(id.index);
    if (!spec.isGang && job.task(id)->crashes.isSuspected())
        trials_.emplace(key, id);
    waitingCpuMillis_ += item->second.demand.cpuMillis;
}

void ReadyQueue::erase(const ReadyKey &key, const TaskId &id)
{
    const auto item = steps_.find(key);
    if (item == steps_.end() || item->second.tasks.erase(id.index) == 0)
        return;
    trials_.erase({key, id});
    waitingCpuMillis_ -= item->second.demand.cpuMillis;
    if (!item->second.tasks.empty())
        return;
    count(item->second.demand, -1);
    steps_.erase(item);
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
