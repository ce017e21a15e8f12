#pragma once

#include <chicorywick/jobs/job.h>
#include <chicorywick/platform/workers.h>

#include <optional>

namespace chicorywick::jobs {

/// @brief Durations that keep an attempt from running after its row says that it cannot.
struct LeaseTimes
{
    /// Length of the lease that a start or a renewal gives to a worker.
    base::Duration workerLease = std::chrono::seconds(60);
    /// Longest pause of a driver between its check of the clock and the arrival of its call.
    base::Duration sendSlack = std::chrono::seconds(30);
    /// Largest difference between the clocks of two daemons, or of a daemon and a worker.
    base::Duration clockError = std::chrono::seconds(2);
    /// Limits of the time for which a row promises that its attempt can run.
    base::Duration shortestHorizon = std::chrono::seconds(180);
    base::Duration longestHorizon = std::chrono::minutes(10);

    bool operator==(const LeaseTimes &) const = default;
};

/// @brief Whether a call that extends the worker's lease may be sent now for a row's lease end.
bool maySendLease(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now);

/// @brief Whether an attempt with this lease end can no longer run on any worker.
bool isLeaseLapsed(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now);

/// @brief The lease end to record for an attempt that is expected to run for a time.
base::TimePoint plannedLeaseEnd(const LeaseTimes &times, base::Duration expectedRunTime,
                                base::TimePoint now);

/// @brief What the worker reports about an attempt.
enum class Sighting { Unreachable, NotListed, Running, Ended };

/// @brief What a driver knows about an attempt at one moment.
struct AttemptObservation
{
    Sighting sighting = Sighting::Unreachable;
    /// Set if Running or Ended.
    platform::TaskStatus status;
    /// The driver that planned the start knows that it was not carried out.
    bool neverStarted = false;
    /// The worker was out of service around the time of this observation.
    bool workerInterrupted = false;
    bool cannotRun = false;
    /// How long the task has used more than it reserved; zero if it does not.
    base::Duration overuse{};
    bool preempt = false;
    /// The last renewal that this driver knows to have reached the worker.
    base::TimePoint renewedAt{};
    /// Row writes do not succeed at present.
    bool tableDown = false;
};

enum class TaskCommand { None, Renew, Throttle, Checkpoint, Stop };

/// @brief What to do about an attempt.
struct AttemptStep
{
    std::optional<AttemptEnd> end;
    bool confirmRunning = false;
    std::optional<base::TimePoint> extendTo;
    TaskCommand command = TaskCommand::None;

    bool operator==(const AttemptStep &) const = default;
};

/// @brief Decides what to do about an active attempt.
AttemptStep decideAttempt(const Job &job, const AttemptObservation &seen, const LeaseTimes &times,
                          base::TimePoint now);

} // namespace chicorywick::jobs
