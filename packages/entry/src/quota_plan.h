#pragma once

#include <chicorywick/entry/records.h>

#include <cstdint>
#include <map>
#include <span>

namespace chicorywick::entry {

/// @brief The tasks of an account in one cell, and the cell's share of the account's limit; all in
/// thousandths of the limit.
struct QuotaPosition
{
    int cell = 0;
    int share = 0;
    int running = 0; ///< known for the own cell only
    AccountNeed need;

    bool operator==(const QuotaPosition &) const = default;

    bool isShort() const { return need.demand > share; }
};

/// @brief Answers unequal demand of an account in the cells: returns the thousandths of the limit
/// that the own cell gives to others, by cell. It gives what its tasks do not need; if all cells
/// are short, the shares approach the proportion of the demands. Runs that exist keep their share.
/// @param turn selects the cell that is served if the limit is too small for a task in each cell.
std::map<int, int> planShareTransfers(const QuotaPosition &own,
                                      std::span<const QuotaPosition> others, std::int64_t turn);

} // namespace chicorywick::entry
