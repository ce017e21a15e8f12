#include <chicorywick/scheduler/pool_plan.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// Fraction of a machine that tasks of different sizes can fill.
constexpr double kPackingShare = 0.85;

} // namespace

int machinesFor(double cpuMillis, std::int64_t machineCpuMillis)
{
    if (machineCpuMillis <= 0)
        return 0;
    return static_cast<int>(
            std::ceil(cpuMillis / (kPackingShare * static_cast<double>(machineCpuMillis))));
}

std::vector<PoolMove> planPoolMoves(std::span<const PoolDemand> pools,
                                    std::span<const MovableMachine> movable,
                                    const std::string &sparePool, const PoolPolicy &policy)
{
    std::map<std::string, int> surplus;
    for (const PoolDemand &pool : pools)
        surplus[pool.service] = pool.machines - std::max(pool.desired, pool.minimum);
    std::vector<const MovableMachine *> offers;
    for (const MovableMachine &machine : movable)
        offers.push_back(&machine);
    std::stable_sort(offers.begin(), offers.end(),
                     [](const MovableMachine *left, const MovableMachine *right) {
                         return std::pair(!left->isInSparePool, -left->idleMs)
                                < std::pair(!right->isInSparePool, -right->idleMs);
                     });
    std::vector<const PoolDemand *> shortPools;
    for (const PoolDemand &pool : pools)
        if (pool.desired > pool.machines)
            shortPools.push_back(&pool);
    std::stable_sort(shortPools.begin(), shortPools.end(),
                     [](const PoolDemand *left, const PoolDemand *right) {
                         return left->desired - left->machines > right->desired - right->machines;
                     });
    std::vector<PoolMove> moves;
    std::map<std::string, int> given;
    const auto isFull = [&] { return static_cast<int>(moves.size()) >= policy.maxMoves; };
    const auto fill = [&](const PoolDemand &pool, int missing) {
        for (const MovableMachine *&offer : offers) {
            if (missing <= 0 || isFull())
                break;
            if (offer == nullptr || offer->pool == pool.service)
                continue;
            const bool isLendable =
                    offer->isInSparePool
                    || (surplus[offer->pool] > 0 && offer->idleMs >= policy.lendAfterMs);
            if (!isLendable)
                continue;
            if (!offer->isInSparePool)
                --surplus[offer->pool];
            moves.push_back({.machine = offer->machine, .pool = pool.service});
            offer = nullptr;
            --missing;
            ++given[pool.service];
        }
    };
    for (const PoolDemand *pool : shortPools)
        fill(*pool, std::min(pool->urgent, pool->desired - pool->machines));
    for (const PoolDemand *pool : shortPools)
        fill(*pool, pool->desired - pool->machines - given[pool->service]);
    for (const MovableMachine *offer : offers) {
        const bool isReturnable = offer != nullptr && !offer->isInSparePool && !sparePool.empty()
                                  && surplus[offer->pool] > 0
                                  && offer->idleMs >= policy.returnAfterMs && !isFull();
        if (!isReturnable)
            continue;
        --surplus[offer->pool];
        moves.push_back({.machine = offer->machine, .pool = sparePool});
    }
    return moves;
}

std::vector<PoolMove> planEmptying(std::span<const PoolDemand> pools,
                                   std::span<const PoolMove> planned,
                                   std::span<const PoolMove> emptying,
                                   std::span<const BusyMachine> busy)
{
    std::map<std::string, int> coming;
    for (const auto moves : {planned, emptying})
        for (const PoolMove &move : moves)
            ++coming[move.pool];
    std::vector<std::pair<const PoolDemand *, int>> lacking;
    std::map<std::string, int> available; // machines that a pool can give, by pool
    std::map<std::string, int> shortage;
    for (const PoolDemand &pool : pools) {
        const int missing = pool.blocked - coming[pool.service];
        if (missing > 0)
            lacking.emplace_back(&pool, missing);
        if (pool.urgent == 0) {
            available[pool.service] = pool.machines - pool.minimum;
            shortage[pool.service] = pool.desired - pool.machines;
        }
    }
    std::vector<const BusyMachine *> candidates;
    for (const BusyMachine &machine : busy)
        if (available.contains(machine.pool))
            candidates.push_back(&machine);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&shortage](const BusyMachine *left, const BusyMachine *right) {
                         return std::pair(left->tasks, shortage[left->pool])
                                < std::pair(right->tasks, shortage[right->pool]);
                     });
    std::vector<PoolMove> chosen;
    for (auto [pool, missing] : lacking)
        for (const BusyMachine *&candidate : candidates) {
            if (missing <= 0)
                break;
            const bool isUsable = candidate != nullptr && candidate->pool != pool->service
                                  && available[candidate->pool] > 0;
            if (!isUsable)
                continue;
            --available[candidate->pool];
            --missing;
            chosen.push_back({.machine = candidate->machine, .pool = pool->service});
            candidate = nullptr;
        }
    return chosen;
}

} // namespace chicorywick::scheduler
