#pragma once

#include <chicorywick/jobs/job.h>
#include <chicorywick/platform/workers.h>

#include <optional>

namespace chicorywick::jobs {

/// @brief Durations that ensure that no attempt runs once isLeaseExpired() is true for its row.
struct LeaseTimes
{
    /// Length of the lease that a start or a renewal grants to a worker.
    base::Duration workerLease = std::chrono::seconds(60);
    /// Longest time between a driver's check of the clock and the arrival of its call.
    base::Duration maxSendDelay = std::chrono::seconds(30);
    /// Largest clock difference between two daemons, or between a daemon and a worker.
    base::Duration maxClockSkew = std::chrono::seconds(2);
    /// Bounds of the time from a row write to the lease end that it records.
    base::Duration minRowLease = std::chrono::seconds(180);
    base::Duration maxRowLease = std::chrono::minutes(10);

    bool operator==(const LeaseTimes &) const = default;
};

/// @brief Whether a call that grants a worker lease may be sent now, given the row's lease end.
bool maySendLease(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now);

/// @brief Whether an attempt with this lease end can no longer run on any worker.
bool isLeaseExpired(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now);

/// @brief The lease end to record for an attempt with the given expected run time.
base::TimePoint plannedLeaseEnd(const LeaseTimes &times, base::Duration expectedRunTime,
                                base::TimePoint now);

/// @brief Result of polling a worker for an attempt.
enum class PollResult { Unreachable, NotListed, Running, Ended };

/// @brief Input of a decision about an attempt.
struct AttemptObservation
{
    PollResult pollResult = PollResult::Unreachable;
    /// Set if the poll result is Running or Ended.
    platform::TaskStatus status;
    /// The driver that planned the start has evidence that it was not carried out.
    bool neverStarted = false;
    /// The worker was out of service around the time of this observation.
    bool workerInterrupted = false;
    /// The job fails on any worker, according to WorkerHealth.
    bool cannotRun = false;
    /// How long the task has exceeded its reservation; zero if it does not.
    base::Duration overuse{};
    bool preempt = false;
    /// Latest start or renewal that the worker confirmed.
    base::TimePoint renewedAt{};
    /// The table does not answer.
    bool tableDown = false;
};

enum class TaskCommand { None, Renew, Throttle, Checkpoint, Stop };

/// @brief Row change and task command for an attempt.
struct AttemptDecision
{
    std::optional<AttemptEnd> end;
    bool confirmRunning = false;
    std::optional<base::TimePoint> extendTo;
    TaskCommand command = TaskCommand::None;

    bool operator==(const AttemptDecision &) const = default;
};

/// @brief Decides the row change and the task command for an active attempt.
AttemptDecision decideAttempt(const Job &job, const AttemptObservation &observed,
                              const LeaseTimes &times, base::TimePoint now);

} // namespace chicorywick::jobs
