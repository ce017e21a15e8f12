#pragma once

#include <chicorywick/base/log_event.h>
#include <chicorywick/scheduler/scheduler.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chicorywick::scheduler {

/// @brief The platform may execute an order without an answer up to this much later.
inline constexpr Millis kMaxOrderDelayMs = 12'000;

/// @brief A call is given up within this time. Its connection is then reset, so it cannot arrive
/// later.
inline constexpr Millis kMaxCallMs = 1'500;

/// @brief Largest number of runs on a worker. Tasks may request no resources, and each run takes
/// memory of the leader.
inline constexpr std::size_t kMaxTasksPerWorker = 500;

/// @brief Largest number of starts of a worker that wait for its answer; each holds a copy of the
/// payload. Members of a gang are not counted, as they have to start together.
inline constexpr int kMaxUnansweredStarts = 64;

/// @brief Longest local duration of a lease on a worker with a slow clock: 3 % and a margin are
/// added.
inline Millis longestLocalLease(Millis leaseMs)
{
    constexpr Millis kSlackMs = 200;
    return leaseMs + leaseMs * 3 / 100 + kSlackMs;
}

/// @brief Resources that a task reserves on its worker.
inline Resources reservedFor(const StepSpec &step)
{
    Resources demand = step.demand;
    if (step.usesLeftoverCpu)
        demand.cpuMillis = 0;
    return demand;
}

/// @brief A run that may be on a worker and is not assigned to it; it is being stopped and reserves
/// its capacity until then.
struct Scheduler::UnassignedRun
{
    std::optional<Resources> demand; ///< empty: the job is unknown
    std::shared_ptr<const void> accountUse;
    Millis listedAt = 0; ///< the worker's clock at the newest list with the run; 0: not listed
    StopReason stopReason = StopReason::Unassigned;
    bool isStopSent = false; ///< a stop was sent, and may still be executed
    bool isStopPending = false;
    bool isStopConfirmed = false;
    std::uint64_t lastReplyNumber = 0; ///< of the latest reply to a stop order
};

/// @brief State of one incarnation of a worker.
struct Scheduler::Worker
{
    WorkerEntry entry;
    std::uint64_t generation = 0; ///< local number, unique per Worker object
    bool isListed = false;        ///< discovery lists it
    bool hasResponded = false;    ///< it has replied to this leader
    bool isReplaced = false;      ///< ended, usually replaced by another incarnation
    std::set<CordonReason> cordons;
    bool isInherited = false;  ///< an earlier leader may have started tasks on it
    Millis uncertainUntil = 0; ///< until then, it may run tasks of an earlier leader
    bool hasRestarted = false; ///< an earlier incarnation had its id and address
    /// Until then, it may execute orders that were meant for the former incarnation.
    Millis formerOrdersUntil = 0;
    Millis formerLeaseEnd = 0; ///< latest lease end that it may have taken from them, on its clock
    bool isInStoredRoster = false;

    Resources fullCapacity; ///< largest capacity that this incarnation has shown, by resource
    Resources used;
    Resources usedByPerpetual; ///< part of `used` that does not become free by itself
    std::set<TaskId> tasks;
    std::set<TaskId> startingTasks; ///< runs that no report has shown at work for a while
    std::set<TaskId> trialTasks;    ///< tasks under which a worker has crashed; all of one job
    std::map<std::pair<TaskId, std::int64_t>, UnassignedRun> unassigned; ///< by task and run
    /// Tasks assigned to the former incarnation with this id whose start this one may have taken;
    /// its task list decides.
    std::set<TaskId> inheritedTasks;
    std::vector<LostRun> formerRuns; ///< runs that can have crashed the former incarnation
    Millis idleSince = 0;
    Millis fullUntil = 0;
    int unansweredStarts = 0;

    Millis clockAtReply = 0; ///< the worker's clock at the latest reply; 0: unknown
    Millis replyAt = 0;
    Millis reportAt = 0;    ///< when the worker wrote its latest reply, as far as its clock shows
    Millis clockOffset = 0; ///< smallest recent difference of local time and its clock at a reply
    Millis addedAt = 0;
    Millis listClock = 0;     ///< the worker's clock at the newest task list received
    Millis listWrittenAt = 0; ///< when the worker wrote that list, as far as its clock shows
    Millis leaseSent = 0;     ///< latest lease end sent, on the worker's clock
    Millis leaseGranted = 0;  ///< latest lease end that a reply has confirmed; 0: none
    bool isRenewing = false;
    bool isProbing = false;
    bool hasRenewalFailed = false; ///< the last renewal was not accepted
    bool isSuspect = false;        ///< an order failed after the last accepted renewal
    /// The worker may have restarted since this reply number; 0: it has not. Until a task list that
    /// was requested later shows its incarnation, no end is acknowledged.
    std::uint64_t restartSuspectedAt = 0;
    Millis retryAt = 0;
    Millis renewedAt = 0;

    std::int64_t lastSeenEnd = 0;
    std::int64_t lastAckedEnd = 0;
    std::deque<std::pair<std::uint64_t, std::int64_t>> unstoredEnds; ///< batch, end number

    int failuresInRow = 0;
    std::string lastFailedJob;
    Millis quarantinedUntil = 0;
    Millis quarantineMs = 0;
    Millis pacedAt = 0;

    /// @brief Number of further runs that the leader keeps track of.
    std::size_t taskRoom() const
    {
        return kMaxTasksPerWorker - std::min(kMaxTasksPerWorker, tasks.size() + unassigned.size());
    }

    WorkerAddress address() const { return {.id = entry.id, .address = entry.address}; }

    /// @brief True if the worker is shutting down, or an order to its machine may end it.
    bool isEndPlanned() const { return entry.isDraining || !cordons.empty(); }

    /// @brief True if the reply comes from another incarnation with the same id.
    bool isOtherIncarnation(const RenewReply &reply) const
    {
        return reply.incarnation != 0 && entry.incarnation != 0
               && reply.incarnation != entry.incarnation;
    }

    void addUse(const StepSpec &step)
    {
        used += reservedFor(step);
        if (step.isPerpetual)
            usedByPerpetual += reservedFor(step);
    }
    void removeUse(const StepSpec &step)
    {
        used -= reservedFor(step);
        if (step.isPerpetual)
            usedByPerpetual -= reservedFor(step);
    }

    /// @brief Capacity for further tasks; negative after the worker has shrunk below its load.
    /// None while the size of a run is unknown.
    Resources free() const
    {
        constexpr Resources kNone{.cpuMillis = -1, .memoryMib = -1, .accelerators = -1};
        Resources left = entry.capacity;
        left -= used;
        for (const auto &[key, run] : unassigned) {
            if (!run.demand)
                return kNone;
            left -= *run.demand;
        }
        return left;
    }
};

/// @brief Priority of log lines on tasks of a step. Perpetual tasks are few and are traced for as
/// long as they run, while finite ones start and end by the hundred each second.
inline base::LogPriority logPriority(const StepSpec &step)
{
    return step.isPerpetual ? base::LogPriority::High : base::LogPriority::Normal;
}

/// @brief Returns the step of a task.
inline const StepSpec &stepOf(const Job &job, const TaskId &id)
{
    return job.spec().steps[static_cast<std::size_t>(id.step)];
}

/// @brief Time after which a started perpetual task counts as at work. Workers report full pace
/// from the start order on, estimates are rough, and a slow worker takes longer.
inline Millis startUpTime(const StepSpec &step)
{
    constexpr Millis kStartUpFactor = 2;
    constexpr Millis kMinStartUpMs = 1'500;
    return std::max(kMinStartUpMs, kStartUpFactor * step.estimatedMs);
}

} // namespace chicorywick::scheduler
