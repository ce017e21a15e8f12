#pragma once

#include <chicorywick/scheduler/model.h>

#include <compare>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief A machine as the cell planner sees it.
struct CellMachine
{
    std::string rack;
    std::string pool;
    std::string zone;

    auto operator<=>(const CellMachine &) const = default;
};

/// @brief Divides the fleet into cells. Each cell has its own leader, which places the cell's jobs
/// on the cell's machines.
class CellLayout
{
public:
    CellLayout() = default;
    CellLayout(int count, std::map<std::string, int> cellByRack);

    int count() const { return count_; }
    const std::map<std::string, int> &cellByRack() const { return cellByRack_; }

    /// @brief The cell of a rack. A machine keeps its cell when it changes pools, because its rack
    /// stays the same. Racks that joined after the layout was made are distributed by hash.
    int cellOfRack(const std::string &rack) const;

    /// @brief The cell that owns a job; it depends on the ID only, so every daemon finds it.
    int cellOfJob(const std::string &id) const;

    int cellOfWorker(const scheduler::WorkerEntry &worker) const;

    bool operator==(const CellLayout &) const = default;

private:
    int count_ = 1;
    std::map<std::string, int> cellByRack_;
};

/// @brief Name of the rack in the labels of a machine or worker; the machine itself if there is
/// none.
const std::string &rackOf(const std::vector<std::string> &labels, const std::string &machine);

/// @brief Plans the fewest cells of at most about this many machines. Racks stay whole, and each
/// cell gets a similar number of machines of every pool and zone.
CellLayout planCells(std::span<const CellMachine> machines, int maxMachinesPerCell);

/// @brief The places of a wave that a cell may use: at most this many of the cell's machines may be
/// down at once.
struct WavePlaces
{
    int count = 0;
    /// Cells that must have finished the wave before this cell may use its place; a wave with fewer
    /// places than cells hands each place from one cell to the next.
    std::vector<int> predecessors;

    bool operator==(const WavePlaces &) const = default;
};

/// @brief Divides the places of a wave among the cells. The places of all cells together never
/// exceed the limit of the wave, whatever each cell knows of the others.
WavePlaces wavePlaces(int maxAtOnce, int cell, int cellCount);

} // namespace chicorywick::entry
