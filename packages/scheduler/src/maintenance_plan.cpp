#include <chicorywick/scheduler/maintenance_plan.h>

#include <algorithm>
#include <map>

namespace chicorywick::scheduler {

namespace {

// Machines drained beyond the free slots, so that a slot is refilled immediately.
constexpr int kDrainedAhead = 2;
// Machines of one service that drain at a time.
constexpr int kDrainedPerService = 2;

} // namespace

MaintenancePlan planMaintenance(std::span<const MaintenanceCandidate> candidates,
                                const MaintenanceBudget &budget)
{
    std::vector<const MaintenanceCandidate *> order;
    for (const MaintenanceCandidate &candidate : candidates)
        if (candidate.isUp)
            order.push_back(&candidate);
    std::stable_sort(order.begin(), order.end(),
                     [](const MaintenanceCandidate *left, const MaintenanceCandidate *right) {
                         return left->tasks < right->tasks;
                     });
    MaintenancePlan plan;
    int freeSlots = budget.maxAtOnce - budget.downNow;
    int drainsLeft = std::max(freeSlots, 0) + kDrainedAhead;
    std::map<std::string, int> drainsByService;
    for (const MaintenanceCandidate *candidate : order) {
        const bool isEmpty = candidate->tasks == 0;
        if (isEmpty && freeSlots > 0) {
            --freeSlots;
            plan.begin.push_back(candidate->machine);
        }
        if (candidate->workerId.empty() || drainsLeft <= 0)
            continue;
        if (++drainsByService[candidate->service] > kDrainedPerService)
            continue;
        --drainsLeft;
        plan.cordoned.push_back(candidate->workerId);
    }
    return plan;
}

} // namespace chicorywick::scheduler
