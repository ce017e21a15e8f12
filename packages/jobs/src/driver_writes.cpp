#include "driver_core.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// Bounds the work of one step; the next step observes the remaining attempts again.
constexpr std::size_t kMaxChangesPerStep = 400;

bool isOptional(const AttemptChange &change)
{
    return !change.end && !change.extendTo && !change.isUnplaceable;
}

} // namespace

std::optional<JobChange> JobDriver::Core::prepareWrite(const AttemptChange &change)
{
    const auto stored = repository_.get(change.key);
    updateTableStatus(stored.has_value());
    if (!stored || !stored.value())
        return std::nullopt;
    const StoredJob &currentRow = *stored.value();
    // NeverStarted holds only for the row that this driver wrote, not for one of another driver.
    const bool reportsNotStarted =
            change.end && change.end->outcome == AttemptOutcome::NeverStarted;
    if (reportsNotStarted && !isUnsent(currentRow, change.key)) {
        cache_.put(change.key, currentRow);
        return std::nullopt;
    }
    base::Result<Job> job = currentRow.job;
    if (change.isUnplaceable) {
        job = currentRow.job.rejectUnplaceable(now());
    } else if (change.end) {
        job = currentRow.job.endAttempt(*change.end, now());
    } else {
        if (change.confirmRunning)
            job = currentRow.job.confirmRunning(change.attempt);
        if (job && change.extendTo)
            job = job.value().extendLease(change.attempt, *change.extendTo);
    }
    if (!job) {
        cache_.put(change.key, currentRow);
        return std::nullopt;
    }
    return JobChange{job.value(), currentRow.version};
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
        // Confirmations of running attempts only inform operators, so they use only spare writes.
        const double needed = isOptional(change) ? count * 2 : count;
        if (writes.size() >= kMaxChangesPerStep || needed >= available)
            break;
        if (auto write = prepareWrite(change))
            writes.push_back(std::move(*write));
        if (tableDown_)
            return;
    }
    handleWriteResults(writes, repository_.write(writes, options_.clock, *options_.writeBudget));
}

void JobDriver::Core::handleWriteResults(const std::vector<JobChange> &changes,
                                         const std::vector<WriteResult> &results)
{
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const Job &job = changes[i].job;
        const std::string key = jobKey(job.spec().pool, job.spec().id);
        if (results[i].outcome != WriteOutcome::Written) {
            // An early scan reads the row again before the next decision about it.
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
