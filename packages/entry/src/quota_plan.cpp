#include "quota_plan.h"

#include <algorithm>
#include <vector>

namespace chicorywick::entry {

namespace {

// Smaller corrections between cells that are all short would cost more writes than they bring.
constexpr std::int64_t kMinCorrection = 20;

using Lacks = std::vector<std::pair<int, std::int64_t>>; ///< cell, and what it lacks

std::map<int, int> divide(std::int64_t amount, const Lacks &lacks)
{
    std::int64_t total = 0;
    for (const auto &[cell, lack] : lacks)
        total += lack;
    std::map<int, int> transfers;
    if (amount <= 0 || total <= 0)
        return transfers;
    for (const auto &[cell, lack] : lacks) {
        const std::int64_t part = std::min(lack, amount * lack / total);
        if (part > 0)
            transfers[cell] = static_cast<int>(part);
    }
    return transfers;
}

// The cell that gets its turn when the limit does not suffice for one task in each cell.
int cellInTurn(const QuotaPosition &own, const std::vector<QuotaPosition> &shortCells,
               std::int64_t turn)
{
    std::vector<int> cells{own.cell};
    for (const QuotaPosition &other : shortCells)
        cells.push_back(other.cell);
    std::sort(cells.begin(), cells.end());
    return cells[static_cast<std::size_t>(turn) % cells.size()];
}

} // namespace

std::map<int, int> planShareTransfers(const QuotaPosition &own,
                                      std::span<const QuotaPosition> others, std::int64_t turn)
{
    std::vector<QuotaPosition> shortCells;
    std::int64_t total = own.share;
    std::int64_t demand = own.need.demand;
    std::int64_t smallest = own.need.smallest;
    for (const QuotaPosition &other : others) {
        if (!other.isShort())
            continue;
        shortCells.push_back(other);
        total += other.share;
        demand += other.need.demand;
        smallest += other.need.smallest;
    }
    const std::int64_t unused = own.share - std::max(own.running, 0);
    if (shortCells.empty() || unused <= 0)
        return {};
    Lacks lacks;
    if (!own.isShort()) {
        for (const QuotaPosition &other : shortCells)
            lacks.emplace_back(other.cell, other.need.demand - other.share);
        return divide(std::min<std::int64_t>(unused, own.share - own.need.demand), lacks);
    }
    if (total < smallest) {
        const int served = cellInTurn(own, shortCells, turn);
        for (const QuotaPosition &other : shortCells)
            if (other.cell == served)
                lacks.emplace_back(other.cell, other.need.demand - other.share);
        return divide(unused, lacks);
    }
    const auto target = [&](const QuotaPosition &position) {
        return std::max<std::int64_t>(total * position.need.demand / demand,
                                      position.need.smallest);
    };
    const std::int64_t excess =
            std::min(unused, own.share - std::max<std::int64_t>(target(own), own.need.smallest));
    if (excess < kMinCorrection)
        return {};
    for (const QuotaPosition &other : shortCells)
        if (target(other) > other.share)
            lacks.emplace_back(other.cell, target(other) - other.share);
    return divide(excess, lacks);
}

} // namespace chicorywick::entry
