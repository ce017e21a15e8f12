#include "cancellation_index.h"

namespace chicorywick::entry {

void CancellationIndex::add(const std::string &id, scheduler::Millis now)
{
    addedAt_.insert_or_assign(id, now);
    byTime_.emplace_back(now, id);
}

std::vector<std::string>
CancellationIndex::takeExpired(scheduler::Millis addedUntil,
                               const std::function<bool(const std::string &id)> &hasJob)
{
    std::vector<std::string> expired;
    for (; !byTime_.empty() && byTime_.front().first <= addedUntil; byTime_.pop_front()) {
        const auto &[time, id] = byTime_.front();
        const auto known = addedAt_.find(id);
        const bool isOutdated = known == addedAt_.end() || known->second != time;
        // The cancellation of an existing job is erased with the job.
        if (isOutdated || hasJob(id))
            continue;
        addedAt_.erase(known);
        expired.push_back(id);
    }
    return expired;
}

} // namespace chicorywick::entry
