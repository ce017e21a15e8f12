#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>
#include <chicorywick/platform/instance_list.h>

#include <cstdint>
#include <string>
#include <vector>

namespace chicorywick::v1 {
class JobRow;
class JobSpec;
} // namespace chicorywick::v1

namespace chicorywick::jobs {

enum class JobClass { Normal, Urgent, Archive };

enum class JobState { Queued, Starting, Running, Succeeded, Failed, Cancelled, FateUnknown };

constexpr bool isTerminal(JobState state)
{
    return state >= JobState::Succeeded;
}

/// @brief Whether an attempt of the job may be running on a worker.
constexpr bool isActive(JobState state)
{
    return state == JobState::Starting || state == JobState::Running;
}

/// @brief Specification of a job as submitted.
struct JobSpec
{
    std::string pool;
    std::string id;
    std::string team;
    std::string kind;
    JobClass jobClass = JobClass::Normal;
    platform::Capacity resources;
    base::Duration runTime{};
    bool idempotent = false;
    bool checkpointable = false;
    std::string payload;
    std::string payloadObject;
    std::uint32_t maxAttempts = 0;

    bool operator==(const JobSpec &) const = default;
};

/// @brief Recorded outcome of an attempt.
enum class AttemptOutcome {
    Succeeded,
    Failed,
    /// The attempt failed while its worker went out of service.
    Interrupted,
    Stopped,
    LeaseExpired,
    Checkpointed,
    /// The start was definitely not carried out.
    NeverStarted,
    /// The attempt can no longer run and its outcome cannot be determined.
    Lost,
};

struct AttemptEnd
{
    std::uint64_t attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Lost;
    std::string checkpoint;
    std::string message;
    /// Set if failures on several healthy workers indicate that the job fails on any worker.
    bool cannotRun = false;

    bool operator==(const AttemptEnd &) const = default;
};

/// @brief Worker, reservation and lease end of a new attempt.
struct AttemptPlan
{
    std::string worker;
    platform::Capacity reserved;
    /// Latest time at which the attempt can still run.
    base::TimePoint leaseUntil;

    bool operator==(const AttemptPlan &) const = default;
};

/// @brief An immutable job; each transition returns a new value or an Error.
class Job
{
public:
    static base::Result<Job> accept(JobSpec spec, base::TimePoint now);
    static base::Result<Job> fromRow(const v1::JobRow &row);
    v1::JobRow toRow() const;

    const JobSpec &spec() const { return spec_; }
    JobState state() const { return state_; }
    std::uint64_t attempt() const { return attempt_; }
    const std::string &worker() const { return worker_; }
    const platform::Capacity &reserved() const { return reserved_; }
    base::TimePoint leaseUntil() const { return leaseUntil_; }
    bool isCancelRequested() const { return cancelRequested_; }
    const std::string &checkpoint() const { return checkpoint_; }
    const std::vector<std::string> &failedWorkers() const { return failedWorkers_; }
    std::uint32_t lostAttempts() const { return lostAttempts_; }
    const std::string &reason() const { return reason_; }
    base::TimePoint acceptedAt() const { return acceptedAt_; }
    base::TimePoint queuedAt() const { return queuedAt_; }
    base::TimePoint startedAt() const { return startedAt_; }
    base::TimePoint finishedAt() const { return finishedAt_; }

    /// @brief Whether a checkpointed attempt may be continued by another one.
    bool isResumable() const { return spec_.idempotent || spec_.checkpointable; }

    base::Result<Job> start(const AttemptPlan &plan, base::TimePoint now) const;
    base::Result<Job> confirmRunning(std::uint64_t attempt) const;
    base::Result<Job> extendLease(std::uint64_t attempt, base::TimePoint until) const;
    base::Result<Job> endAttempt(const AttemptEnd &end, base::TimePoint now) const;
    /// @brief Fails a queued job that is too large for every worker of its pool.
    base::Result<Job> rejectUnplaceable(base::TimePoint now) const;
    /// @brief Cancels a queued job at once; the final state of an active job depends on the outcome
    /// of its attempt.
    base::Result<Job> requestCancel(base::TimePoint now) const;

    /// @brief A copy without the payload, for caches.
    Job withoutPayload() const;

    bool operator==(const Job &) const = default;

private:
    Job() = default;

    base::Result<void> checkAttempt(std::uint64_t attempt) const;
    Job finished(JobState state, std::string reason, base::TimePoint now) const;
    Job requeued(std::string reason, base::TimePoint now) const;
    Job afterFailure(const AttemptEnd &end, base::TimePoint now) const;
    Job afterLoss(base::TimePoint now) const;

    JobSpec spec_;
    JobState state_ = JobState::Queued;
    std::uint64_t attempt_ = 0;
    std::string worker_;
    platform::Capacity reserved_;
    base::TimePoint leaseUntil_{};
    bool cancelRequested_ = false;
    std::string checkpoint_;
    std::vector<std::string> failedWorkers_;
    std::uint32_t lostAttempts_ = 0;
    std::string reason_;
    base::TimePoint acceptedAt_{};
    base::TimePoint queuedAt_{};
    base::TimePoint startedAt_{};
    base::TimePoint finishedAt_{};
};

/// @brief Validates and converts a specification received from a caller.
base::Result<JobSpec> validateSpec(const v1::JobSpec &message);

/// @brief Converts a specification to its message.
v1::JobSpec toMessage(const JobSpec &spec);

/// @brief The row key of a job, which is also the name of its task.
std::string jobKey(const std::string &pool, const std::string &id);

} // namespace chicorywick::jobs
