#pragma once

#include <chicorywick/base/rng.h>
#include <chicorywick/base/token_bucket.h>
#include <chicorywick/platform/fault_plan.h>
#include <chicorywick/platform/instance_control.h>
#include <chicorywick/platform/object_store.h>
#include <chicorywick/platform/workers.h>

#include <functional>
#include <map>
#include <mutex>

namespace chicorywick::platform {

/// @brief Simulated behaviour of a task; may differ from what its job declares.
struct TaskBehaviour
{
    base::Duration runTime = std::chrono::milliseconds(200);
    bool succeeds = true;
    std::uint32_t cpuMillis = 0;
    std::uint32_t memoryMib = 0;
    std::string message;

    bool operator==(const TaskBehaviour &) const = default;
};

/// @brief An execution of a task as recorded by its worker.
struct TaskRun
{
    std::string worker;
    std::string task;
    std::uint64_t fence = 0;
    TaskState state = TaskState::Running;
    base::TimePoint startedAt;
    base::TimePoint endedAt;

    bool operator==(const TaskRun &) const = default;
};

/// @brief Numbers of calls that reached the platform's services.
struct PlatformCounters
{
    std::uint64_t tableReads = 0;
    std::uint64_t tableWrites = 0;
    std::uint64_t tableConflicts = 0;
    std::uint64_t tableOverloads = 0;
    std::uint64_t objectCalls = 0;
    std::uint64_t listCalls = 0;
    std::uint64_t workerCalls = 0;
    std::uint64_t controlCalls = 0;

    bool operator==(const PlatformCounters &) const = default;
};

/// @brief Current state of an instance, unaffected by lag and faults.
struct ActualInstanceState
{
    InstanceStatus status;
    bool leaving = false;
    /// Reboot commands that were executed; repeats with the same fencing token are not counted.
    std::uint64_t rebootOrders = 0;

    bool operator==(const ActualInstanceState &) const = default;
};

/// @brief Receives the service that is about to be called, as its member of FaultPlan.
using CallHook = std::function<void(ServiceFaults FaultPlan::*service)>;

/// @brief Settings of the in-memory platform.
struct MemoryPlatformOptions
{
    base::Clock clock;
    std::uint64_t seed = 1;
    /// Row writes per second; the platform's documentation states several hundred.
    double tableWritesPerSecond = 400;
    /// Reads per second; a scan costs one read plus one per full 100 rows returned.
    double tableReadsPerSecond = 2000;
    base::Duration drainTime = std::chrono::milliseconds(200);
    base::Duration rebootTime = std::chrono::seconds(1);
};

/// @brief In-memory platform for embedded daemons, the stand-in server and tests.
class MemoryPlatform
{
public:
    explicit MemoryPlatform(MemoryPlatformOptions options = {});

    // Fault injection, fleet setup and inspection.
    void setFaults(const FaultPlan &faults);
    FaultPlan faults() const;
    void addInstance(const ListedInstance &instance);
    void removeInstance(const std::string &id);
    void setLeaving(const std::string &id, bool leaving);
    /// @brief Takes the instance down until restoreInstance(); its running tasks fail.
    void failInstance(const std::string &id);
    void restoreInstance(const std::string &id);
    /// @brief Makes reboots of the instance end in phase Down.
    void setRebootFails(const std::string &id, bool fails);
    /// @brief Makes the worker unreachable; its tasks run until they finish or their leases expire.
    void setWorkerPartitioned(const std::string &id, bool partitioned);
    void setTaskBehaviour(std::function<TaskBehaviour(const TaskStart &)> behaviour);
    std::vector<TaskRun> taskRuns() const;
    PlatformCounters counters() const;
    /// @brief Instances in phase Up, without lag.
    std::set<std::string> instancesInService() const;
    /// @brief Sets a hook that runs before each service call, without a lock held; it may block or
    /// throw. Must be set before the first call.
    void setCallHook(CallHook hook);
    /// @brief Current rows and instances; bypasses faults, rate limits and the call hook.
    std::vector<Row> rowsWithPrefix(const std::string &prefix) const;
    std::map<std::string, ActualInstanceState> actualInstanceStates();

    // Service calls from an availability zone.
    base::Result<std::optional<Row>> getRow(const std::string &zone, const std::string &key);
    base::Result<ScanPage> scanRows(const std::string &zone, const std::string &prefix,
                                    const std::string &after, std::uint32_t limit);
    base::Result<std::uint64_t> commit(const std::string &zone, const Transaction &transaction);
    base::Result<void> putObject(const std::string &zone, const std::string &name,
                                 const std::string &content);
    base::Result<std::string> getObject(const std::string &zone, const std::string &name);
    base::Result<void> removeObject(const std::string &zone, const std::string &name);
    base::Result<InstanceListing> listInstances(const std::string &zone);
    base::Result<void> startTask(const std::string &zone, const TaskStart &start);
    base::Result<void> commandTask(const std::string &zone, const std::string &method,
                                   const TaskRef &ref, std::int64_t argument);
    base::Result<std::vector<TaskStatus>> listTasks(const std::string &zone,
                                                    const std::string &worker);
    base::Result<void> commandInstance(const std::string &zone, const std::string &method,
                                       const std::string &instance, std::uint64_t fence);
    base::Result<InstanceStatus> instanceStatus(const std::string &zone,
                                                const std::string &instance);

private:
    struct Task
    {
        TaskStart start;
        TaskBehaviour behaviour;
        TaskState state = TaskState::Running;
        base::TimePoint startedAt;
        base::TimePoint leaseUntil;
        base::TimePoint endedAt;
        std::uint32_t cpuLimit = 0;
        std::string checkpoint;
        std::size_t run = 0;
    };

    struct Machine
    {
        ListedInstance listed;
        InstancePhase phase = InstancePhase::Up;
        std::uint64_t fence = 0;
        std::uint64_t rebootFence = 0;
        std::uint64_t boots = 0;
        std::uint64_t rebootOrders = 0;
        base::TimePoint phaseUntil;
        bool rebootFails = false;
        bool partitioned = false;
        std::map<std::string, Task> tasks;
    };

    using Lock = std::unique_lock<std::mutex>;

    /// Runs the call hook, waits for the service's delay and takes the lock. Fails if the service
    /// is down or the zone is partitioned.
    base::Result<Lock> admitCall(ServiceFaults FaultPlan::*service, const std::string &zone);
    bool shouldInject(double probability);
    base::Result<std::uint64_t> apply(const Transaction &transaction);
    void applyLateCommit();
    void advance(Machine &machine);
    void advanceTask(Task &task);
    void endTask(Task &task, TaskState state, base::TimePoint at);
    bool hasRoom(const Machine &machine, const Capacity &wanted) const;
    base::Result<void> beginTask(Machine &machine, const TaskStart &start);
    base::Result<void> applyTaskCommand(Task &task, const std::string &method,
                                        std::int64_t argument);
    base::Result<void> applyInstanceCommand(Machine &machine, const std::string &method,
                                            std::uint64_t fence);
    InstanceListing observe();

    MemoryPlatformOptions options_;
    CallHook callHook_;
    mutable std::mutex mutex_;
    base::Rng rng_;
    FaultPlan faults_;
    base::TokenBucket writes_;
    base::TokenBucket reads_;
    std::map<std::string, Row> rows_;
    std::uint64_t version_ = 0;
    std::vector<Transaction> lateCommits_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, Machine> machines_;
    std::optional<InstanceListing> listing_;
    std::function<TaskBehaviour(const TaskStart &)> behaviour_;
    std::vector<TaskRun> runs_;
    PlatformCounters counters_;
};

} // namespace chicorywick::platform
