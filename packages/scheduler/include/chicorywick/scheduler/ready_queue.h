#pragma once

#include <chicorywick/scheduler/index_set.h>
#include <chicorywick/scheduler/job.h>
#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/task_id.h>

#include <map>
#include <set>
#include <utility>

namespace chicorywick::scheduler {

/// @brief Place of a step's waiting tasks in the queue of their service; lower keys come first.
struct ReadyKey
{
    int band = 0;
    Millis order = 0; ///< within the band, before the latest start
    Millis latestStart = 0;
    std::uint64_t sequence = 0; ///< of the job
    std::int64_t occurrence = 0;
    int step = 0;

    auto operator<=>(const ReadyKey &) const = default;
};

/// @brief Waiting tasks of one step of an occurrence.
struct ReadyStep
{
    Job *job = nullptr;
    Resources demand; ///< that each task reserves on its worker
    IndexSet tasks;

    const StepSpec &spec(const ReadyKey &key) const
    {
        return job->spec().steps[static_cast<std::size_t>(key.step)];
    }
    TaskId id(const ReadyKey &key, int index) const;
};

/// @brief The waiting tasks of a service in the order of placement.
class ReadyQueue
{
public:
    using Trial = std::pair<ReadyKey, TaskId>;

    /// @brief Adds waiting tasks of the step of a task.
    void insert(const ReadyKey &key, Job &job, const TaskId &id, const IndexSet &tasks);

    /// @brief Removes a task; false if it does not wait there.
    bool erase(const ReadyKey &key, const TaskId &id);

    /// @brief Removes all tasks of a step; returns their number.
    int eraseStep(const ReadyKey &key);

    /// @brief Moves all waiting tasks of a step; those that wait at the new place already stay.
    void move(const ReadyKey &from, const ReadyKey &to);

    const std::map<ReadyKey, ReadyStep> &steps() const { return steps_; }
    bool empty() const { return steps_.empty(); }

    /// @brief Tasks of non-gang steps under which a worker has crashed.
    const std::set<Trial> &trials() const { return trials_; }
    std::int64_t waitingCpuMillis() const { return waitingCpuMillis_; }

    /// @brief Smallest demand for each resource; a worker that does not cover it can take no
    /// waiting task.
    Resources smallestDemand() const;

private:
    using Counts = std::map<std::int64_t, int>;

    void count(const Resources &demand, int difference);

    std::map<ReadyKey, ReadyStep> steps_;
    std::set<Trial> trials_;
    std::int64_t waitingCpuMillis_ = 0;
    Counts cpuMillis_; ///< number of steps by their demand
    Counts memoryMib_;
    Counts accelerators_;
};

} // namespace chicorywick::scheduler
