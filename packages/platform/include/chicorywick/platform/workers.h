#pragma once

#include <chicorywick/platform/instance_list.h>

namespace chicorywick::platform {

enum class TaskState { Running, Succeeded, Failed, Stopped, LeaseExpired, Checkpointed };

/// @brief True for terminal states.
constexpr bool isEnded(TaskState state)
{
    return state != TaskState::Running;
}

/// @brief A task to start on a worker.
struct TaskStart
{
    std::string worker;
    std::string task;
    /// A worker refuses a start or command with a lower fencing token than it has seen for the
    /// task.
    std::uint64_t fence = 0;
    base::Duration lease{};
    Capacity resources;
    std::string payload;
    /// Object to resume from; empty for a fresh start.
    std::string checkpoint;

    bool operator==(const TaskStart &) const = default;
};

/// @brief Identifies the task that a command applies to.
struct TaskRef
{
    std::string worker;
    std::string task;
    std::uint64_t fence = 0;

    bool operator==(const TaskRef &) const = default;
};

/// @brief State and resource usage of a task; the usage lags.
struct TaskStatus
{
    std::string task;
    std::uint64_t fence = 0;
    TaskState state = TaskState::Running;
    std::uint32_t cpuMillis = 0;
    std::uint32_t memoryMib = 0;
    base::TimePoint startedAt;
    base::TimePoint endedAt;
    std::string checkpoint;
    std::string message;

    bool operator==(const TaskStatus &) const = default;
};

/// @brief The platform's workers. A worker ends a task without a command when its lease expires.
///
/// Errors: StaleFence if a higher token was seen, NotFound for an unknown worker or task,
/// NoWorkerFits if the worker has no free capacity, PlatformUnavailable if certainly not executed,
/// PlatformUnknownOutcome otherwise.
class Workers
{
public:
    explicit Workers(twirp::Client client)
        : backend_(std::move(client))
    {}
    explicit Workers(MemoryAccess memory)
        : backend_(std::move(memory))
    {}

    base::Result<void> start(const TaskStart &start) const;
    base::Result<void> renew(const TaskRef &ref, base::Duration lease) const;
    base::Result<void> checkpoint(const TaskRef &ref) const;
    /// @brief Limits the CPU usage of the task, in thousandths of a core.
    base::Result<void> throttle(const TaskRef &ref, std::uint32_t cpuMillis) const;
    base::Result<void> stop(const TaskRef &ref) const;

    /// @brief Returns the running tasks and those that ended in the last ten minutes.
    base::Result<std::vector<TaskStatus>> tasks(const std::string &worker) const;

private:
    base::Result<void> command(const char *method, const TaskRef &ref, std::int64_t argument) const;

    std::variant<twirp::Client, MemoryAccess> backend_;
};

} // namespace chicorywick::platform
