#pragma once

#include <chicorywick/scheduler/model.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief A pool of machines and what its queue asks of it.
struct PoolDemand
{
    std::string service;
    int machines = 0; ///< up, or on their way to the pool
    int desired = 0;  ///< that the work in hand and on its way needs
    int minimum = 0;  ///< never given away

    bool operator==(const PoolDemand &) const = default;
};

/// @brief A machine that could leave its pool now.
struct MovableMachine
{
    std::string machine;
    std::string pool;
    bool isInSparePool = false; ///< off, in the spare pool
    Millis idleMs = 0;

    bool operator==(const MovableMachine &) const = default;
};

struct PoolMove
{
    std::string machine;
    std::string pool;

    bool operator==(const PoolMove &) const = default;
};

/// @brief What a move is worth against keeping a machine where it is.
struct PoolPolicy
{
    Millis returnAfterMs = 1'500; ///< idle time after which a machine that is not wanted is parked
    Millis lendAfterMs = 300;     ///< idle time after which a pool lends to one in need
    int maxMoves = 48;            ///< at a time; a pool of 80 doubles within two passes

    bool operator==(const PoolPolicy &) const = default;
};

/// @brief Moves machines to the pools that need them: parked ones first, then idle ones of pools
/// with more than they want. Idle machines that no pool wants are parked, where they cost nothing.
std::vector<PoolMove> planPoolMoves(std::span<const PoolDemand> pools,
                                    std::span<const MovableMachine> movable,
                                    const std::string &sparePool, const PoolPolicy &policy);

/// @brief Machines that a load needs, given the usable processors of one.
int machinesFor(double cpuMillis, std::int64_t machineCpuMillis);

} // namespace chicorywick::scheduler
