#include <chicorywick/jobs/attempt_decision.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// A task that exceeds its reservation is throttled at once. If that does not help, it is
// checkpointed and then stopped after these times.
constexpr base::Duration kCheckpointOveruseAfter = std::chrono::seconds(10);
constexpr base::Duration kStopOveruseAfter = std::chrono::seconds(30);

// A row's lease end is extended this long before it would block further renewals.
constexpr base::Duration kExtendMargin = std::chrono::seconds(30);

AttemptOutcome outcomeOf(const platform::TaskStatus &status, bool workerInterrupted)
{
    switch (status.state) {
    case platform::TaskState::Succeeded:
        return AttemptOutcome::Succeeded;
    case platform::TaskState::Stopped:
        return AttemptOutcome::Stopped;
    case platform::TaskState::LeaseExpired:
        return AttemptOutcome::LeaseExpired;
    case platform::TaskState::Checkpointed:
        return AttemptOutcome::Checkpointed;
    default:
        return workerInterrupted ? AttemptOutcome::Interrupted : AttemptOutcome::Failed;
    }
}

TaskCommand overuseCommand(const Job &job, base::Duration overuse)
{
    if (overuse >= kStopOveruseAfter)
        return TaskCommand::Stop;
    if (overuse >= kCheckpointOveruseAfter && job.isResumable())
        return TaskCommand::Checkpoint;
    return TaskCommand::Throttle;
}

TaskCommand commandFor(const Job &job, const AttemptObservation &observed, const LeaseTimes &times,
                       base::TimePoint now)
{
    if (job.isCancelRequested())
        return TaskCommand::Stop;
    if (observed.preempt && job.isResumable())
        return TaskCommand::Checkpoint;
    const bool mayRenew = maySendLease(times, job.leaseUntil(), now);
    // The lease cannot be extended without the table; a checkpoint keeps the work done so far.
    if (!mayRenew && observed.tableDown && job.isResumable())
        return TaskCommand::Checkpoint;
    const bool renewDue = now - observed.renewedAt >= times.workerLease / 3;
    if (mayRenew && renewDue)
        return TaskCommand::Renew;
    return observed.overuse > base::Duration::zero() ? overuseCommand(job, observed.overuse)
                                                     : TaskCommand::None;
}

} // namespace

bool maySendLease(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now)
{
    return now + times.workerLease + times.maxSendDelay <= leaseUntil;
}

// A renewal that is delayed by more than maxSendDelay can reach a running task only before
// leaseUntil and grants one more worker lease. The added worker lease covers one such renewal.
bool isLeaseExpired(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now)
{
    return now > leaseUntil + times.workerLease + times.maxClockSkew;
}

base::TimePoint plannedLeaseEnd(const LeaseTimes &times, base::Duration expectedRunTime,
                                base::TimePoint now)
{
    const base::Duration leaseTime =
            expectedRunTime + expectedRunTime / 2 + times.workerLease + times.maxSendDelay;
    const base::TimePoint end = now + std::clamp(leaseTime, times.minRowLease, times.maxRowLease);
    return base::fromMillis(base::toMillis(end));
}

AttemptDecision decideAttempt(const Job &job, const AttemptObservation &observed,
                              const LeaseTimes &times, base::TimePoint now)
{
    AttemptDecision attemptDecision;
    const auto ended = [&](AttemptOutcome outcome) {
        attemptDecision.end = AttemptEnd{.attempt = job.attempt(),
                                         .outcome = outcome,
                                         .checkpoint = observed.status.checkpoint,
                                         .message = observed.status.message,
                                         .cannotRun = observed.cannotRun};
        return attemptDecision;
    };
    if (observed.neverStarted)
        return ended(AttemptOutcome::NeverStarted);
    if (observed.pollResult == PollResult::Ended)
        return ended(outcomeOf(observed.status, observed.workerInterrupted));
    if (observed.pollResult != PollResult::Running) {
        if (isLeaseExpired(times, job.leaseUntil(), now))
            return ended(AttemptOutcome::Lost);
        return attemptDecision;
    }
    attemptDecision.confirmRunning = job.state() == JobState::Starting;
    const base::Duration ahead = times.workerLease + times.maxSendDelay + kExtendMargin;
    if (now + ahead > job.leaseUntil() && !job.isCancelRequested())
        attemptDecision.extendTo = plannedLeaseEnd(times, times.maxRowLease, now);
    attemptDecision.command = commandFor(job, observed, times, now);
    return attemptDecision;
}

} // namespace chicorywick::jobs
