#include "machine_lending.h"

#include <algorithm>

namespace chicorywick::entry {

namespace {

// The own part of a number of machines, rounded up so that all parts together cover it.
int partOf(int machines, int ownWeight, int allWeights)
{
    return (machines * ownWeight + allWeights - 1) / allWeights;
}

} // namespace

std::vector<scheduler::PoolDemand> lendingDemands(int ownLendable,
                                                  std::span<const CellNeeds> others,
                                                  const MachinesByCell &recentlyLent)
{
    int allLendable = ownLendable;
    for (const CellNeeds &other : others)
        allLendable += other.machines.lendable;
    std::vector<scheduler::PoolDemand> demands;
    for (const CellNeeds &borrower : others) {
        const int lendable = allLendable - borrower.machines.lendable;
        // Without lendable machines in any cell, each of the others empties its part.
        const int ownWeight = lendable > 0 ? ownLendable : 1;
        const int allWeights = lendable > 0 ? lendable : static_cast<int>(others.size());
        for (const auto &[pool, shortage] : borrower.machines.shortages) {
            const auto lent = recentlyLent.find({borrower.cell, pool});
            const int alreadyLent = lent != recentlyLent.end() ? lent->second : 0;
            const auto ownPart = [&](int machines) {
                return std::max(partOf(machines, ownWeight, allWeights) - alreadyLent, 0);
            };
            const scheduler::PoolDemand demand{.service = pool,
                                               .desired = ownPart(shortage.total),
                                               .urgent = ownPart(shortage.urgent),
                                               .blocked = ownPart(shortage.blocked),
                                               .cell = borrower.cell};
            if (demand.desired > 0)
                demands.push_back(demand);
        }
    }
    return demands;
}

} // namespace chicorywick::entry
