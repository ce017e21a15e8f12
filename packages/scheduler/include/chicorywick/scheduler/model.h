#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief Milliseconds, as a duration or as a point on a clock that the name states.
using Millis = std::int64_t;

/// @brief The local steady clock, which counts suspensions, and the time of day.
struct Now
{
    Millis steady = 0;
    Millis wall = 0;

    bool operator==(const Now &) const = default;
};

/// @brief What a task requests or a worker offers.
struct Resources
{
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    bool covers(const Resources &demand) const
    {
        return cpuMillis >= demand.cpuMillis && memoryMib >= demand.memoryMib
               && accelerators >= demand.accelerators;
    }

    Resources &operator+=(const Resources &other)
    {
        cpuMillis += other.cpuMillis;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        cpuMillis -= other.cpuMillis;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
};

/// @brief One step of a job: equal tasks with common constraints.
struct StepSpec
{
    int taskCount = 0;
    Resources demand;
    Millis estimatedMs = 0;
    std::vector<int> after; ///< numbers of the steps that must be done first
    bool isCheckpointing = false;
    bool isGang = false;
    bool needsOneRack = false;
    bool allowsCopies = false;
    bool isPerpetual = false;     ///< runs until the job is cancelled
    bool usesLeftoverCpu = false; ///< its processor demand is not counted against a worker
    std::string requiredLabel;
    std::string preferredRack;
    std::string image;
    int maxPerWorker = 0;       ///< 0: no limit
    Millis latencyTargetMs = 0; ///< 0: does not serve users
    int maxUnavailable = 0;     ///< tasks that the system's own actions may take away at a time

    bool operator==(const StepSpec &) const = default;
};

/// @brief An accepted job.
struct JobSpec
{
    std::string id;
    std::string queue;
    std::string payload;
    std::vector<StepSpec> steps;
    std::int64_t repeatCount = 0; ///< 0: runs once, at once
    Millis firstStartWall = 0;
    Millis intervalMs = 0;
    Millis submittedWall = 0;

    bool operator==(const JobSpec &) const = default;
};

/// @brief How a queue's jobs are run.
struct QueuePolicy
{
    std::string name;
    std::string service;
    int priority = 0; ///< 0 comes first
    int maxAttempts = 1;
    double stretch = 1.0; ///< objective: stretch times the chain of work, plus the target
    Millis targetCompletionMs = 0;
    bool needsAdvice = false; ///< only workers that the advice service names may run a step

    bool operator==(const QueuePolicy &) const = default;
};

/// @brief A worker as discovery lists it: one life of an instance.
struct WorkerEntry
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string machine;
    std::vector<std::string> labels; ///< its kind and its rack
    Resources capacity;
    bool isDraining = false;
    Millis incarnation = 0; ///< start of this life, Unix time; tells lives under one id apart

    bool operator==(const WorkerEntry &) const = default;
};

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

/// @brief True for a state that never changes again.
inline bool isTerminal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed
           || state == JobState::Cancelled;
}

} // namespace chicorywick::scheduler
