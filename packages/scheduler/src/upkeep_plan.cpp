#include <chicorywick/scheduler/upkeep_plan.h>

#include <algorithm>
#include <map>

namespace chicorywick::scheduler {

namespace {

// Machines that are emptied ahead of the free places, so that a place is filled at once.
constexpr int kEmptiedAhead = 2;
// Machines of one service that are emptied at a time.
constexpr int kEmptiedPerService = 2;

} // namespace

UpkeepPlan planUpkeep(std::span<const UpkeepCandidate> candidates, const UpkeepBudget &budget)
{
    std::vector<const UpkeepCandidate *> order;
    for (const UpkeepCandidate &candidate : candidates)
        if (candidate.isUp)
            order.push_back(&candidate);
    std::stable_sort(order.begin(), order.end(),
                     [](const UpkeepCandidate *left, const UpkeepCandidate *right) {
                         return left->tasks < right->tasks;
                     });
    UpkeepPlan plan;
    int places = budget.maxAtOnce - budget.downNow;
    int emptied = std::max(places, 0) + kEmptiedAhead;
    std::map<std::string, int> emptiedOf;
    for (const UpkeepCandidate *candidate : order) {
        const bool isEmpty = candidate->tasks == 0;
        if (isEmpty && places > 0) {
            --places;
            plan.begin.push_back(candidate->machine);
        }
        if (candidate->workerId.empty() || emptied <= 0)
            continue;
        if (++emptiedOf[candidate->service] > kEmptiedPerService)
            continue;
        --emptied;
        plan.cordoned.push_back(candidate->workerId);
    }
    return plan;
}

} // namespace chicorywick::scheduler
