#include <chicorywick/scheduler/pool_plan.h>

#include <algorithm>
#include <cmath>

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

} // namespace chicorywick::scheduler
