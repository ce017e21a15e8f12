#include <chicorywick/base/hash.h>
#include <chicorywick/entry/cell_layout.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace chicorywick::entry {

namespace {

// Each cell has a jobs table, and the platform limits the number of tables to 100.
constexpr int kMaxCells = 80;

int hashToCell(const std::string &text, int count)
{
    return static_cast<int>(base::hash64(text) % static_cast<std::uint64_t>(count));
}

} // namespace

CellLayout::CellLayout(int count, std::map<std::string, int> cellByRack)
    : count_(std::clamp(count, 1, kMaxCells))
    , cellByRack_(std::move(cellByRack))
{}

int CellLayout::cellOfRack(const std::string &rack) const
{
    const auto found = cellByRack_.find(rack);
    if (found != cellByRack_.end() && found->second >= 0 && found->second < count_)
        return found->second;
    return hashToCell(rack, count_);
}

int CellLayout::cellOfJob(const std::string &id) const
{
    return hashToCell(id, count_);
}

int CellLayout::cellOfWorker(const scheduler::WorkerEntry &worker) const
{
    return cellOfRack(rackOf(worker.labels, worker.machine));
}

// The first label is the kind, the second one the rack.
const std::string &rackOf(const std::vector<std::string> &labels, const std::string &machine)
{
    constexpr std::size_t kRackLabel = 1;
    return labels.size() > kRackLabel ? labels[kRackLabel] : machine;
}

// Deals the racks out in the order of pool and zone, each to the cell with the fewest machines of
// that pool, so that a cell can serve every pool and a lost zone costs all cells alike.
CellLayout planCells(std::span<const CellMachine> machines, int maxMachinesPerCell)
{
    std::map<CellMachine, int> sizes;
    for (const CellMachine &machine : machines)
        ++sizes[machine];
    // A rack with machines of several pools counts for the first of them.
    std::map<std::string, std::pair<CellMachine, int>> racks;
    for (const auto &[machine, size] : sizes)
        racks.try_emplace(machine.rack, machine, 0).first->second.second += size;
    std::vector<std::pair<CellMachine, int>> order;
    order.reserve(racks.size());
    for (const auto &[name, rack] : racks)
        order.push_back(rack);
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first.pool, left.first.zone)
               < std::tie(right.first.pool, right.first.zone);
    });
    const int total = static_cast<int>(machines.size());
    const int perCell = std::max(maxMachinesPerCell, 1);
    const int count = std::clamp((total + perCell - 1) / perCell, 1, kMaxCells);
    std::vector<int> machinesOfCell(static_cast<std::size_t>(count));
    std::map<std::string, std::vector<int>> machinesOfPool;
    std::map<std::string, int> cellByRack;
    for (const auto &[rack, size] : order) {
        std::vector<int> &ofPool = machinesOfPool[rack.pool];
        ofPool.resize(static_cast<std::size_t>(count));
        std::size_t chosen = 0;
        for (std::size_t cell = 1; cell < ofPool.size(); ++cell)
            if (std::pair(ofPool[cell], machinesOfCell[cell])
                < std::pair(ofPool[chosen], machinesOfCell[chosen]))
                chosen = cell;
        ofPool[chosen] += size;
        machinesOfCell[chosen] += size;
        cellByRack[rack.rack] = static_cast<int>(chosen);
    }
    return {count, std::move(cellByRack)};
}

// Place p belongs to the cells p, p + maxAtOnce, p + 2 * maxAtOnce, ... one after the other, or to
// cell p % cellCount alone if there are at least as many places as cells.
WavePlaces wavePlaces(int maxAtOnce, int cell, int cellCount)
{
    if (maxAtOnce >= cellCount) {
        const int share = maxAtOnce / cellCount;
        return {.count = share + (cell < maxAtOnce % cellCount ? 1 : 0)};
    }
    if (maxAtOnce <= 0)
        return {};
    WavePlaces places{.count = 1};
    for (int other = cell % maxAtOnce; other < cell; other += maxAtOnce)
        places.predecessors.push_back(other);
    return places;
}

} // namespace chicorywick::entry
