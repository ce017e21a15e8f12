#include "driver_core.h"

#include <chicorywick/base/log_event.h>

namespace chicorywick::jobs {

namespace {

constexpr base::Duration kRefusalAvoidTime = std::chrono::seconds(2);
// A commit with an unknown outcome may still be applied. If its row appears after this time, it is
// treated like a row of another driver.
constexpr base::Duration kUnsentRetention = std::chrono::hours(1);
constexpr std::size_t kMaxUnsent = 10'000;

bool isCertainlyNotStarted(base::Code code)
{
    return code == base::Code::NoWorkerFits || code == base::Code::NotFound
           || code == base::Code::PlatformUnavailable || code == base::Code::StaleFence;
}

} // namespace

void JobDriver::Core::startPlanned(const std::vector<PlannedStart> &starts)
{
    std::vector<JobChange> writes;
    std::vector<std::string> payloads;
    for (const PlannedStart &start : starts) {
        const auto stored = repository_.get(start.key);
        updateTableStatus(stored.has_value());
        if (!stored)
            break;
        if (!stored.value())
            continue;
        // A payload that cannot be read must not use up an attempt.
        auto payload = repository_.loadPayload(stored.value()->job.spec());
        if (!payload)
            continue;
        const base::TimePoint time = now();
        const auto job = stored.value()->job.start(
                {.worker = start.worker,
                 .reserved = start.reserved,
                 .leaseUntil = plannedLeaseEnd(options_.lease, start.expectedRunTime, time)},
                time);
        if (!job) {
            cache_.put(start.key, *stored.value());
            continue;
        }
        writes.push_back({job.value(), stored.value()->version});
        payloads.push_back(std::move(payload).value());
    }
    const auto results = repository_.write(writes, options_.clock, *options_.writeBudget);
    handleWriteResults(writes, results);
    std::vector<AttemptChange> refused;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const JobSpec &spec = writes[i].job.spec();
        const std::string key = jobKey(spec.pool, spec.id);
        if (results[i].outcome == WriteOutcome::Written)
            sendStart(writes[i].job, key, payloads[i], results[i].writer, refused);
        else if (results[i].outcome == WriteOutcome::Unknown && unsent_.size() < kMaxUnsent)
            unsent_[key] = {results[i].writer, now() + kUnsentRetention};
    }
    applyChanges(std::move(refused));
}

void JobDriver::Core::sendStart(const Job &job, const std::string &key, const std::string &payload,
                                const std::string &writer, std::vector<AttemptChange> &refused)
{
    AttemptLocalState &localState = localStateOf(key, job.attempt());
    // The process may have been paused since the row was written, so the lease is checked again.
    notifyBeforeCall("Clock.now");
    const base::TimePoint sentAt = now();
    base::Result<void> started = base::makeError(base::Code::PlatformUnavailable, "sent too late");
    if (maySendLease(options_.lease, job.leaseUntil(), sentAt)) {
        notifyBeforeCall("Workers.start");
        started = platform_.workers.start({.worker = job.worker(),
                                           .task = key,
                                           .fence = job.attempt(),
                                           .lease = options_.lease.workerLease,
                                           .resources = job.reserved(),
                                           .payload = payload,
                                           .checkpoint = job.checkpoint()});
    }
    if (started) {
        localState.renewedAt = sentAt;
        ++report_.started;
        base::logEvent(base::Event::JobStarted, {{"job", key},
                                                 {"attempt", std::to_string(job.attempt())},
                                                 {"worker", job.worker()}});
        return;
    }
    // After a lost answer the task may be running; polls of the worker show whether it is.
    if (!isCertainlyNotStarted(started.error().code))
        return;
    fleet_.avoidUntil(job.worker(), now() + kRefusalAvoidTime);
    unsent_[key] = {writer, now() + kUnsentRetention};
    refused.push_back({.key = key,
                       .attempt = job.attempt(),
                       .end = AttemptEnd{.attempt = job.attempt(),
                                         .outcome = AttemptOutcome::NeverStarted,
                                         .message = started.error().message}});
}

} // namespace chicorywick::jobs
