#include <chicorywick/jobs/attempt_decision.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// A task over its resources is throttled at once, checkpointed if that does not help, then stopped.
constexpr base::Duration kCheckpointOveruseAfter = std::chrono::seconds(10);
constexpr base::Duration kStopOveruseAfter = std::chrono::seconds(30);

// A row's lease is extended this long before renewals would no longer be allowed.
constexpr base::Duration kExtendAhead = std::chrono::seconds(30);

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

TaskCommand commandFor(const Job &job, const AttemptObservation &seen, const LeaseTimes &times,
                       base::TimePoint now)
{
    if (job.isCancelRequested())
        return TaskCommand::Stop;
    if (seen.preempt && job.isResumable())
        return TaskCommand::Checkpoint;
    const bool mayRenew = maySendLease(times, job.leaseUntil(), now);
    // The lease cannot be extended without the table; a checkpoint keeps the work done so far.
    if (!mayRenew && seen.tableDown && job.isResumable())
        return TaskCommand::Checkpoint;
    const bool renewDue = now - seen.renewedAt >= times.workerLease / 3;
    if (mayRenew && renewDue)
        return TaskCommand::Renew;
    return seen.overuse > base::Duration::zero() ? overuseCommand(job, seen.overuse)
                                                 : TaskCommand::None;
}

} // namespace

bool maySendLease(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now)
{
    return now + times.workerLease + times.sendSlack <= leaseUntil;
}

// A renewal that was delayed beyond the send slack reaches a running task only before leaseUntil,
// and gives it one more worker lease. Waiting for that too covers one such renewal.
bool isLeaseLapsed(const LeaseTimes &times, base::TimePoint leaseUntil, base::TimePoint now)
{
    return now > leaseUntil + times.workerLease + times.clockError;
}

base::TimePoint plannedLeaseEnd(const LeaseTimes &times, base::Duration expectedRunTime,
                                base::TimePoint now)
{
    const base::Duration wanted =
            expectedRunTime + expectedRunTime / 2 + times.workerLease + times.sendSlack;
    const base::TimePoint end =
            now + std::clamp(wanted, times.shortestHorizon, times.longestHorizon);
    return base::fromMillis(base::toMillis(end));
}

AttemptStep decideAttempt(const Job &job, const AttemptObservation &seen, const LeaseTimes &times,
                          base::TimePoint now)
{
    AttemptStep step;
    const auto ended = [&](AttemptOutcome outcome) {
        step.end = AttemptEnd{.attempt = job.attempt(),
                              .outcome = outcome,
                              .checkpoint = seen.status.checkpoint,
                              .message = seen.status.message,
                              .cannotRun = seen.cannotRun};
        return step;
    };
    if (seen.neverStarted)
        return ended(AttemptOutcome::NeverStarted);
    if (seen.sighting == Sighting::Ended)
        return ended(outcomeOf(seen.status, seen.workerInterrupted));
    if (seen.sighting != Sighting::Running) {
        if (isLeaseLapsed(times, job.leaseUntil(), now))
            return ended(AttemptOutcome::Lost);
        return step;
    }
    step.confirmRunning = job.state() == JobState::Starting;
    const base::Duration ahead = times.workerLease + times.sendSlack + kExtendAhead;
    if (now + ahead > job.leaseUntil() && !job.isCancelRequested())
        step.extendTo = plannedLeaseEnd(times, times.longestHorizon, now);
    step.command = commandFor(job, seen, times, now);
    return step;
}

} // namespace chicorywick::jobs
