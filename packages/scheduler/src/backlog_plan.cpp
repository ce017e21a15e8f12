#include <chicorywick/scheduler/backlog_plan.h>

#include <algorithm>
#include <limits>
#include <queue>
#include <tuple>
#include <vector>

namespace chicorywick::scheduler {

namespace {

// Jobs with larger keys are delayed first: their delay costs callers less.
auto delayKey(const BacklogJob &job)
{
    return std::tuple(job.isOverShare, job.priority, job.workMillis);
}

} // namespace

double timeFor(double workMillis, const BacklogCapacity &capacity)
{
    const double work = workMillis + capacity.busyMillis;
    const double beforeJoin = capacity.cores * static_cast<double>(capacity.joinMs);
    if (capacity.joiningCores <= 0 || work <= beforeJoin)
        return capacity.cores > 0 ? work / capacity.cores : std::numeric_limits<double>::infinity();
    return static_cast<double>(capacity.joinMs)
           + (work - beforeJoin) / (capacity.cores + capacity.joiningCores);
}

// The algorithm of Moore and Hodgson, which delays the fewest jobs of equal weight: jobs are
// scheduled by due time, and whenever one would be late, the scheduled job that is cheapest to
// delay is taken out.
std::set<std::size_t> planBacklog(std::span<const BacklogJob> jobs, const BacklogCapacity &capacity,
                                  Millis now)
{
    std::vector<std::size_t> byDueTime(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); ++i)
        byDueTime[i] = i;
    std::stable_sort(byDueTime.begin(), byDueTime.end(),
                     [&jobs](std::size_t left, std::size_t right) {
                         return jobs[left].due < jobs[right].due;
                     });
    const auto isDelayedLater = [&jobs](std::size_t left, std::size_t right) {
        return delayKey(jobs[left]) < delayKey(jobs[right]);
    };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(isDelayedLater)> scheduled(
            isDelayedLater);
    std::set<std::size_t> deferred;
    double work = 0;
    for (const std::size_t index : byDueTime) {
        const BacklogJob &job = jobs[index];
        scheduled.push(index);
        work += job.workMillis;
        while (!scheduled.empty()
               && static_cast<double>(now) + timeFor(work, capacity)
                          > static_cast<double>(job.due)) {
            const std::size_t cheapest = scheduled.top();
            scheduled.pop();
            work -= jobs[cheapest].workMillis;
            deferred.insert(cheapest);
        }
    }
    return deferred;
}

} // namespace chicorywick::scheduler
