#include "driver_core.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// Bounds one step; what is left over is observed and decided again by the next one.
constexpr std::size_t kMaxChangesPerStep = 400;

bool isOptional(const AttemptChange &change)
{
    return !change.end && !change.extendTo && !change.isUnplaceable;
}

} // namespace

std::optional<JobChange> JobDriver::Core::freshChange(const AttemptChange &change)
{
    const auto stored = repository_.get(change.key);
    noteTable(stored.has_value());
    if (!stored || !stored.value())
        return std::nullopt;
    const StoredJob &fresh = *stored.value();
    // An unsent start is one only for the row that this driver itself wrote.
    const bool claimsUnsent = change.end && change.end->outcome == AttemptOutcome::NeverStarted;
    if (claimsUnsent && !isUnsent(fresh, change.key)) {
        cache_.put(change.key, fresh);
        return std::nullopt;
    }
    base::Result<Job> job = fresh.job;
    if (change.isUnplaceable) {
        job = fresh.job.rejectUnplaceable(now());
    } else if (change.end) {
        job = fresh.job.endAttempt(*change.end, now());
    } else {
        if (change.confirmRunning)
            job = fresh.job.confirmRunning(change.attempt);
        if (job && change.extendTo)
            job = job.value().extendLease(change.attempt, *change.extendTo);
    }
    if (!job) {
        cache_.put(change.key, fresh);
        return std::nullopt;
    }
    return JobChange{job.value(), fresh.version};
}

void JobDriver::Core::applyChanges(std::vector<AttemptChange> changes)
{
    if (changes.empty() || !isTableUsable())
        return;
    std::stable_partition(changes.begin(), changes.end(),
                          [](const AttemptChange &change) { return !isOptional(change); });
    std::vector<JobChange> writes;
    const double available = options_.writeBudget->available(now());
    for (const AttemptChange &change : changes) {
        const auto count = static_cast<double>(writes.size());
        // Confirmations of running attempts are for operators to read and use only spare writes.
        const double needed = isOptional(change) ? count * 2 : count;
        if (writes.size() >= kMaxChangesPerStep || needed >= available)
            break;
        if (auto write = freshChange(change))
            writes.push_back(std::move(*write));
        if (tableDown_)
            return;
    }
    takeResults(writes, repository_.write(writes, options_.clock, *options_.writeBudget));
}

void JobDriver::Core::takeResults(const std::vector<JobChange> &changes,
                                  const std::vector<WriteResult> &results)
{
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const Job &job = changes[i].job;
        const std::string key = jobKey(job.spec().pool, job.spec().id);
        if (results[i].outcome != WriteOutcome::Written) {
            // The row is read again before anything is decided about it.
            nextScan_[job.spec().pool] = {};
            continue;
        }
        cache_.put(key, {job, results[i].version, results[i].writer});
        if (!isActive(job.state()))
            unsent_.erase(key);
        if (job.state() == JobState::FateUnknown)
            base::logEvent(base::Event::JobFateUnknown, {{"job", key}, {"reason", job.reason()}});
        if (job.state() == JobState::Queued)
            base::logEvent(base::Event::JobAttemptLost, {{"job", key}, {"reason", job.reason()}});
        if (!isTerminal(job.state()))
            continue;
        ++report_.finished;
        base::logEvent(base::Event::JobFinished,
                       {{"job", key}, {"state", std::to_string(static_cast<int>(job.state()))}});
    }
}

} // namespace chicorywick::jobs
