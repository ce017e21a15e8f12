#pragma once

#include <chicorywick/scheduler/model.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief Size and demand of a machine pool.
struct PoolDemand
{
    std::string service;
    int machines = 0; ///< up, or moving to the pool
    int desired = 0;  ///< machines needed for running, waiting and arriving work
    int minimum = 0;  ///< machines that never leave the pool
    int urgent = 0;   ///< part of the shortage that perpetual tasks wait for
    /// Part of the urgent machines that no worker of the pool can replace once its finite tasks
    /// have ended.
    int blocked = 0;
    std::optional<int> cell = {}; ///< another cell that asks for machines; none: the own cell

    bool operator==(const PoolDemand &) const = default;
};

/// @brief Machines that a pool of a cell lacks and that the cell cannot provide itself.
struct PoolShortage
{
    int total = 0;
    int urgent = 0;  ///< part that perpetual tasks wait for
    int blocked = 0; ///< part of those that no worker of the pool can replace

    bool operator==(const PoolShortage &) const = default;
};

/// @brief A machine that can leave its pool now.
struct MovableMachine
{
    std::string machine;
    std::string pool;
    bool isInSparePool = false; ///< powered off in the spare pool
    Millis idleMs = 0;
    bool isLendable = true; ///< it may move to another cell

    bool operator==(const MovableMachine &) const = default;
};

/// @brief A machine whose worker runs finite tasks only.
struct BusyMachine
{
    std::string machine;
    std::string pool;
    int tasks = 0;
    bool isLendable = true; ///< it may move to another cell

    bool operator==(const BusyMachine &) const = default;
};

struct PoolMove
{
    std::string machine;
    std::string pool;
    std::optional<int> cell = {}; ///< the cell that gets the machine; none: the own cell
    bool staysInPool = false;     ///< the machine changes only its cell, with its worker

    bool operator==(const PoolMove &) const = default;
};

/// @brief Limits on moving machines between pools.
struct PoolPolicy
{
    Millis returnAfterMs = 1'500; ///< idle time before a surplus machine moves to the spare pool
    Millis lendAfterMs = 300;     ///< idle time before a machine is lent to another pool
    int maxMoves = 48;            ///< moves per pass; lets a pool of 80 double within two passes

    bool operator==(const PoolPolicy &) const = default;
};

/// @brief Plans moves to pools that need machines, urgent ones first: spare machines, then idle
/// machines of pools with a surplus. Idle machines that no pool needs move to the spare pool, where
/// they cost nothing. Urgent needs of other cells come after those of the own one; the rest goes to
/// the largest shortages, whatever their cell.
std::vector<PoolMove> planPoolMoves(std::span<const PoolDemand> pools,
                                    std::span<const MovableMachine> movable,
                                    const std::string &sparePool, const PoolPolicy &policy);

/// @brief Chooses machines with finite tasks to be emptied for perpetual tasks that still lack
/// machines after the planned moves. A pool that lacks such machines itself gives none.
/// @param emptying machines that are being emptied, with the pools that they are meant for
std::vector<PoolMove> planEmptying(std::span<const PoolDemand> pools,
                                   std::span<const PoolMove> planned,
                                   std::span<const PoolMove> emptying,
                                   std::span<const BusyMachine> busy);

/// @brief The shortages of the own cell's pools that remain after the planned moves.
std::map<std::string, PoolShortage> remainingShortages(std::span<const PoolDemand> pools,
                                                       std::span<const PoolMove> planned);

/// @brief Number of machines that remain for other cells after the planned moves.
int lendableMachines(std::span<const PoolDemand> pools, std::span<const MovableMachine> movable,
                     std::span<const PoolMove> planned);

/// @brief Number of machines needed for a CPU load, given the usable CPU of one machine.
int machinesFor(double cpuMillis, std::int64_t machineCpuMillis);

} // namespace chicorywick::scheduler
