#include "chicorywick/v1/jobs.pb.h"

#include <chicorywick/jobs/job.h>

#include <algorithm>

namespace chicorywick::jobs {

// Conversion between jobs and their rows and messages.

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPayloadBytes = 1024UL * 1024;
constexpr std::uint32_t kMaxAttempts = 50;
constexpr std::int64_t kMaxRunTimeMs = 30LL * 24 * 3600 * 1000;

bool isValidName(const std::string &text)
{
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= kMaxNameLength
           && std::all_of(text.begin(), text.end(), isAllowed);
}

v1::Resources toMessage(const platform::Capacity &capacity)
{
    v1::Resources message;
    message.set_cpu_millis(capacity.cpuMillis);
    message.set_memory_mib(capacity.memoryMib);
    message.set_accelerators(capacity.accelerators);
    return message;
}

platform::Capacity fromMessage(const v1::Resources &message)
{
    return {.cpuMillis = message.cpu_millis(),
            .memoryMib = message.memory_mib(),
            .accelerators = message.accelerators()};
}

JobSpec fromMessage(const v1::JobSpec &message)
{
    return {.pool = message.pool(),
            .id = message.id(),
            .team = message.team(),
            .kind = message.kind(),
            .jobClass = static_cast<JobClass>(message.job_class()),
            .resources = fromMessage(message.resources()),
            .runTime = std::chrono::milliseconds(message.run_time_ms()),
            .idempotent = message.idempotent(),
            .checkpointable = message.checkpointable(),
            .payload = message.payload(),
            .payloadObject = message.payload_object(),
            .maxAttempts = message.max_attempts()};
}

base::Error invalid(const std::string &detail)
{
    return base::makeError(base::Code::InvalidArgument, detail);
}

} // namespace

v1::JobSpec toMessage(const JobSpec &spec)
{
    v1::JobSpec message;
    message.set_pool(spec.pool);
    message.set_id(spec.id);
    message.set_team(spec.team);
    message.set_kind(spec.kind);
    message.set_job_class(static_cast<v1::JobClass>(spec.jobClass));
    *message.mutable_resources() = toMessage(spec.resources);
    message.set_run_time_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(spec.runTime).count());
    message.set_idempotent(spec.idempotent);
    message.set_checkpointable(spec.checkpointable);
    message.set_payload(spec.payload);
    message.set_payload_object(spec.payloadObject);
    message.set_max_attempts(spec.maxAttempts);
    return message;
}

base::Result<JobSpec> validateSpec(const v1::JobSpec &message)
{
    if (!isValidName(message.pool()) || !isValidName(message.id()))
        return invalid("pool and id need 1 to 64 letters, digits, '-', '_' or '.'");
    if (!isValidName(message.team()) || (!message.kind().empty() && !isValidName(message.kind())))
        return invalid("team and kind need 1 to 64 letters, digits, '-', '_' or '.'");
    if (!v1::JobClass_IsValid(message.job_class()))
        return invalid("job_class is unknown");
    if (message.resources().cpu_millis() == 0 || message.resources().memory_mib() == 0)
        return invalid("resources need cpu_millis and memory_mib above 0");
    if (message.run_time_ms() < 0 || message.run_time_ms() > kMaxRunTimeMs)
        return invalid("run_time_ms must lie between 0 and 30 days");
    if (message.max_attempts() > kMaxAttempts)
        return invalid("max_attempts must be at most 50");
    if (!message.payload_object().empty())
        return invalid("payload_object is set by the server; send the payload itself");
    if (message.payload().size() > kMaxPayloadBytes)
        return base::makeError(base::Code::InputTooLarge, "payload exceeds 1 MiB");
    JobSpec spec = fromMessage(message);
    if (spec.kind.empty())
        spec.kind = spec.team;
    return spec;
}

base::Result<Job> Job::fromRow(const v1::JobRow &row)
{
    if (row.spec().pool().empty() || row.spec().id().empty())
        return base::makeError(base::Code::PlatformMalformedResponse, "job row without pool or id");
    if (!v1::JobState_IsValid(row.state()) || !v1::JobClass_IsValid(row.spec().job_class()))
        return base::makeError(base::Code::PlatformMalformedResponse,
                               jobKey(row.spec().pool(), row.spec().id()));
    Job job;
    job.spec_ = fromMessage(row.spec());
    job.state_ = static_cast<JobState>(row.state());
    job.attempt_ = row.attempt();
    job.worker_ = row.worker();
    job.reserved_ = fromMessage(row.reserved());
    job.leaseUntil_ = base::fromMillis(row.lease_until_ms());
    job.cancelRequested_ = row.cancel_requested();
    job.checkpoint_ = row.checkpoint();
    job.failedWorkers_.assign(row.failed_workers().begin(), row.failed_workers().end());
    job.lostAttempts_ = row.lost_attempts();
    job.reason_ = row.reason();
    job.acceptedAt_ = base::fromMillis(row.accepted_at_ms());
    job.queuedAt_ = base::fromMillis(row.queued_at_ms());
    job.startedAt_ = base::fromMillis(row.started_at_ms());
    job.finishedAt_ = base::fromMillis(row.finished_at_ms());
    return job;
}

v1::JobRow Job::toRow() const
{
    v1::JobRow row;
    *row.mutable_spec() = toMessage(spec_);
    row.set_state(static_cast<v1::JobState>(state_));
    row.set_attempt(attempt_);
    row.set_worker(worker_);
    *row.mutable_reserved() = toMessage(reserved_);
    row.set_lease_until_ms(base::toMillis(leaseUntil_));
    row.set_cancel_requested(cancelRequested_);
    row.set_checkpoint(checkpoint_);
    for (const std::string &worker : failedWorkers_)
        row.add_failed_workers(worker);
    row.set_lost_attempts(lostAttempts_);
    row.set_reason(reason_);
    row.set_accepted_at_ms(base::toMillis(acceptedAt_));
    row.set_queued_at_ms(base::toMillis(queuedAt_));
    row.set_started_at_ms(base::toMillis(startedAt_));
    row.set_finished_at_ms(base::toMillis(finishedAt_));
    return row;
}

} // namespace chicorywick::jobs
