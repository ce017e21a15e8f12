#pragma once

#include <chicorywick/scheduler/scheduler.h>

namespace chicorywick::scheduler {

/// @brief What the driver knows about one life of a worker.
struct Scheduler::Worker
{
    WorkerEntry entry;
    std::uint64_t generation = 0; ///< changes when another incarnation takes the id
    bool isListed = false;
    bool hasResponded = false; ///< it has answered this driver's fence
    bool isReplaced = false;   ///< another incarnation answers at its address
    std::set<CordonReason> cordons;
    bool isInherited = false; ///< an earlier driver may have used it
    bool isInStoredRoster = false;

    Resources used;
    std::set<TaskId> tasks;
    Millis idleSince = 0;
    Millis fullUntil = 0;

    Millis clockAtReply = 0; ///< the worker's clock, 0: unknown
    Millis replyAt = 0;
    Millis addedAt = 0;
    Millis listClock = 0; ///< the worker's clock at the latest list of its tasks
    Millis leaseSent = 0; ///< latest end of a lease that was ordered, on the worker's clock
    bool isRenewing = false;
    bool isProbing = false;
    bool hasRenewalFailed = false; ///< the last renewal got no answer
    bool isSuspect = false;        ///< an order failed since the last answered renewal
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

    WorkerAddress address() const { return {.id = entry.id, .address = entry.address}; }

    /// @brief True if a reply came from another life than this one.
    bool isOtherIncarnation(const RenewReply &reply) const
    {
        return reply.status == OrderStatus::WrongIncarnation
               || (reply.incarnation != 0 && entry.incarnation != 0
                   && reply.incarnation != entry.incarnation);
    }

    Resources free() const
    {
        Resources left = entry.capacity;
        left -= used;
        return left;
    }
};

/// @brief The step that a task is of.
inline const StepSpec &stepOf(const Job &job, const TaskId &id)
{
    return job.spec().steps[static_cast<std::size_t>(id.step)];
}

/// @brief What a running task takes from its worker's capacity.
inline Resources reservedFor(const StepSpec &step)
{
    Resources demand = step.demand;
    if (step.usesLeftoverCpu)
        demand.cpuMillis = 0;
    return demand;
}

} // namespace chicorywick::scheduler
