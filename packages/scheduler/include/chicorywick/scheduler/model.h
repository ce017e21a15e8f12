#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief A duration in milliseconds, or a point in time on the clock given by the variable's name.
using Millis = std::int64_t;

/// @brief Local steady clock, which includes time in system suspend, and wall clock.
struct Now
{
    Millis steady = 0;
    Millis wall = 0;

    bool operator==(const Now &) const = default;
};

/// @brief Resources that a task requests or a worker provides.
struct Resources
{
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    /// @brief More than any demand; sums of a few such values do not overflow.
    static constexpr std::int64_t kUnlimited = std::int64_t{1} << 60;

    bool covers(const Resources &demand) const
    {
        return cpuMillis >= demand.cpuMillis && memoryMib >= demand.memoryMib
               && accelerators >= demand.accelerators;
    }

    /// @brief Raises each resource to at least that of the other.
    void raiseTo(const Resources &other)
    {
        cpuMillis = std::max(cpuMillis, other.cpuMillis);
        memoryMib = std::max(memoryMib, other.memoryMib);
        accelerators = std::max(accelerators, other.accelerators);
    }

    Resources &operator+=(const Resources &other)
    {
        cpuMillis += other.cpuMillis;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }

    Resources operator*(std::int64_t count) const
    {
        return {.cpuMillis = cpuMillis * count,
                .memoryMib = memoryMib * count,
                .accelerators = accelerators * count};
    }

    Resources &operator-=(const Resources &other)
    {
        cpuMillis -= other.cpuMillis;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
};

/// @brief A step of a job: identical tasks with the same constraints.
struct StepSpec
{
    int taskCount = 0;
    Resources demand;
    Millis estimatedMs = 0;
    std::vector<int> after; ///< indices of the steps that must be done first
    bool isCheckpointing = false;
    bool isGang = false;
    bool needsOneRack = false;
    bool allowsCopies = false;
    bool isPerpetual = false;     ///< runs until the job is cancelled
    bool usesLeftoverCpu = false; ///< CPU demand is not reserved on the worker
    std::string requiredLabel;
    std::string preferredRack;
    std::string image;
    int maxPerWorker = 0;       ///< 0: no limit
    Millis latencyTargetMs = 0; ///< 0: not a serving step
    int maxUnavailable = 0;     ///< tasks that voluntary disruptions may stop at the same time

    bool operator==(const StepSpec &) const = default;
};

/// @brief Largest number of tasks of a job. A waiting task takes up to 1 KB of the 260 MB of an
/// entry instance, and the numbers of the tasks that are done must fit into one row of 64 KB.
inline constexpr int kMaxTasksPerJob = 10'000;

/// @brief Largest number of begun and unfinished occurrences of a job. Each takes up to 45 bytes of
/// the job's progress row of 64 KB, besides its tasks.
inline constexpr int kMaxOpenOccurrences = 500;

/// @brief Scheduling policy of a queue.
struct QueuePolicy
{
    std::string name;
    std::string service;
    int priority = 0; ///< 0 is the highest
    int maxAttempts = 1;
    double stretch = 1.0; ///< completion objective: stretch * critical path + targetCompletionMs
    Millis targetCompletionMs = 0;
    bool needsAdvice = false; ///< steps run only on workers named by the advice service

    bool operator==(const QueuePolicy &) const = default;
};

/// @brief What the scheduler needs to know of a client account.
struct AccountPolicy
{
    std::string name;
    /// Share of a full service relative to the other accounts; also the number of jobs a second,
    /// over the whole fleet, up to which the account's jobs count as within its share.
    double weight = 1.0;
    Resources limit; ///< that its tasks may use at once, over the whole fleet; 0: no limit

    bool operator==(const AccountPolicy &) const = default;
};

/// @brief An accepted job.
struct JobSpec
{
    std::string id;
    std::string queue;
    std::string account; ///< client account that has submitted the job; empty: none
    std::string payload;
    std::vector<StepSpec> steps;
    std::int64_t repeatCount = 0; ///< 0: runs once, immediately
    Millis firstStartWall = 0;
    Millis intervalMs = 0;
    Millis submittedWall = 0;
    /// Policy of the queue when the job was accepted, which is in force while the queue is removed;
    /// empty for rows of former versions.
    std::optional<QueuePolicy> acceptedPolicy = {};

    bool operator==(const JobSpec &) const = default;
};

/// @brief A discovered worker: one incarnation of an instance.
struct WorkerEntry
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string machine;
    std::vector<std::string> labels; ///< kind and rack
    Resources capacity;
    bool isDraining = false;
    Millis incarnation = 0; ///< start time, Unix time; distinguishes incarnations with the same id
    /// A leader knew an earlier incarnation with this id and address; only rosters tell.
    bool hasRestarted = false;

    bool operator==(const WorkerEntry &) const = default;
};

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

/// @brief True for a final state.
inline bool isTerminal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed
           || state == JobState::Cancelled;
}

} // namespace chicorywick::scheduler
