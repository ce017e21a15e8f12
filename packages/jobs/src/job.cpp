#include <chicorywick/jobs/job.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// Default limit of failed attempts; bounds the time that a failing job uses on healthy workers.
constexpr std::uint32_t kDefaultMaxAttempts = 8;

std::string lostAttemptsSuffix(std::uint32_t lostAttempts)
{
    if (lostAttempts == 0)
        return {};
    return "; the outcome of " + std::to_string(lostAttempts) + " earlier attempt(s) is not known";
}

} // namespace

std::string jobKey(const std::string &pool, const std::string &id)
{
    return "job/" + pool + "/" + id;
}

base::Result<Job> Job::accept(JobSpec spec, base::TimePoint now)
{
    Job job;
    job.spec_ = std::move(spec);
    if (job.spec_.maxAttempts == 0)
        job.spec_.maxAttempts = kDefaultMaxAttempts;
    job.acceptedAt_ = now;
    job.queuedAt_ = now;
    return job;
}

base::Result<void> Job::checkAttempt(std::uint64_t attempt) const
{
    const std::string name = spec_.pool + "/" + spec_.id;
    if (isTerminal(state_))
        return base::makeError(base::Code::JobAlreadyFinished, name);
    if (!isActive(state_) || attempt != attempt_)
        return base::makeError(base::Code::StaleAttempt,
                               name + " attempt " + std::to_string(attempt));
    return base::ok();
}

base::Result<Job> Job::start(const AttemptPlan &plan, base::TimePoint now) const
{
    if (isTerminal(state_))
        return base::makeError(base::Code::JobAlreadyFinished, spec_.id);
    if (state_ != JobState::Queued)
        return base::makeError(base::Code::InvalidTransition,
                               spec_.id + " has an attempt that may still run");
    if (plan.worker.empty() || plan.leaseUntil <= now)
        return base::makeError(base::Code::InvalidArgument,
                               "an attempt needs a worker and a lease");
    Job next = *this;
    next.state_ = JobState::Starting;
    next.attempt_ = attempt_ + 1;
    next.worker_ = plan.worker;
    next.reserved_ = plan.reserved;
    next.leaseUntil_ = plan.leaseUntil;
    next.startedAt_ = now;
    next.reason_.clear();
    return next;
}

base::Result<Job> Job::confirmRunning(std::uint64_t attempt) const
{
    BOOST_OUTCOME_TRYV(checkAttempt(attempt));
    Job next = *this;
    next.state_ = JobState::Running;
    return next;
}

base::Result<Job> Job::extendLease(std::uint64_t attempt, base::TimePoint until) const
{
    BOOST_OUTCOME_TRYV(checkAttempt(attempt));
    Job next = *this;
    next.leaseUntil_ = std::max(leaseUntil_, until);
    return next;
}

base::Result<Job> Job::requestCancel(base::TimePoint now) const
{
    if (isTerminal(state_))
        return base::makeError(base::Code::JobAlreadyFinished, spec_.id);
    if (state_ == JobState::Queued)
        return finished(JobState::Cancelled,
                        "cancelled before it ran" + lostAttemptsSuffix(lostAttempts_), now);
    Job next = *this;
    next.cancelRequested_ = true;
    return next;
}

base::Result<Job> Job::rejectUnplaceable(base::TimePoint now) const
{
    if (isTerminal(state_))
        return base::makeError(base::Code::JobAlreadyFinished, spec_.id);
    if (state_ != JobState::Queued)
        return base::makeError(base::Code::InvalidTransition, spec_.id + " has an attempt");
    return finished(JobState::Failed,
                    "no worker of the pool has the requested resources"
                            + lostAttemptsSuffix(lostAttempts_),
                    now);
}

Job Job::finished(JobState state, std::string reason, base::TimePoint now) const
{
    Job next = *this;
    next.state_ = state;
    next.reason_ = std::move(reason);
    next.finishedAt_ = now;
    return next;
}

Job Job::requeued(std::string reason, base::TimePoint now) const
{
    Job next = *this;
    next.state_ = JobState::Queued;
    next.reason_ = std::move(reason);
    next.queuedAt_ = now;
    next.reserved_ = {};
    return next;
}

Job Job::afterFailure(const AttemptEnd &end, base::TimePoint now) const
{
    Job next = *this;
    next.failedWorkers_.push_back(worker_);
    const std::string cause = "attempt " + std::to_string(attempt_) + " failed on " + worker_
                              + (end.message.empty() ? "" : ": " + end.message)
                              + lostAttemptsSuffix(lostAttempts_);
    if (cancelRequested_)
        return next.finished(JobState::Cancelled, "cancelled; " + cause, now);
    if (!spec_.idempotent)
        return next.finished(JobState::Failed, cause, now);
    if (end.cannotRun)
        return next.finished(JobState::Failed, "failed on several healthy workers; " + cause, now);
    if (next.failedWorkers_.size() >= spec_.maxAttempts)
        return next.finished(JobState::Failed, "all attempts are used up; " + cause, now);
    // The next attempt starts without the checkpoint, because the checkpoint may cause the failure.
    next.checkpoint_.clear();
    return next.requeued(cause, now);
}

Job Job::afterLoss(base::TimePoint now) const
{
    Job next = *this;
    ++next.lostAttempts_;
    const std::string cause = "the outcome of attempt " + std::to_string(attempt_) + " on "
                              + worker_ + " is not known";
    // A job with an unknown outcome may have completed, so it is not reported as cancelled.
    if (!spec_.idempotent || cancelRequested_)
        return next.finished(JobState::FateUnknown, cause, now);
    return next.requeued(cause, now);
}

base::Result<Job> Job::endAttempt(const AttemptEnd &end, base::TimePoint now) const
{
    BOOST_OUTCOME_TRYV(checkAttempt(end.attempt));
    switch (end.outcome) {
    case AttemptOutcome::Succeeded:
        return finished(JobState::Succeeded, end.message, now);
    case AttemptOutcome::Failed:
        return afterFailure(end, now);
    case AttemptOutcome::Lost:
        return afterLoss(now);
    default:
        break;
    }
    if (cancelRequested_)
        return finished(JobState::Cancelled, "cancelled" + lostAttemptsSuffix(lostAttempts_), now);
    const std::string cause = end.message + " on " + worker_;
    if (end.outcome == AttemptOutcome::NeverStarted)
        return requeued("not started: " + cause, now);
    if (end.outcome == AttemptOutcome::Checkpointed && isResumable()) {
        Job next = requeued("checkpointed: " + cause, now);
        next.checkpoint_ = end.checkpoint;
        return next;
    }
    if (spec_.idempotent)
        return requeued("interrupted: " + cause, now);
    // An expired lease does not show how much of the task was done.
    if (end.outcome == AttemptOutcome::LeaseExpired)
        return finished(JobState::FateUnknown, "the lease expired while it ran: " + cause, now);
    return finished(JobState::Failed, "ended before it was done: " + cause, now);
}

Job Job::withoutPayload() const
{
    Job next = *this;
    next.spec_.payload.clear();
    return next;
}

} // namespace chicorywick::jobs
