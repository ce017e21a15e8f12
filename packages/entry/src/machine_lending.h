#pragma once

#include <chicorywick/entry/records.h>
#include <chicorywick/scheduler/pool_plan.h>

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief Machines by cell and pool.
using MachinesByCell = std::map<std::pair<int, std::string>, int>;

/// @brief The part of the other cells' shortages that a cell should cover. The cells divide each
/// shortage in proportion to the machines that they can lend.
/// @param ownLendable machines that this cell can lend
/// @param recentlyLent machines that this cell has lent and that the shortages may not count yet
std::vector<scheduler::PoolDemand> lendingDemands(int ownLendable,
                                                  std::span<const CellNeeds> others,
                                                  const MachinesByCell &recentlyLent);

} // namespace chicorywick::entry
