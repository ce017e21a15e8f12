#include <chicorywick/scheduler/pool_plan.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// Fraction of a machine that tasks of different sizes can fill.
constexpr double kPackingShare = 0.85;

// A pool of a cell; the own cell is "none".
using PoolOfCell = std::pair<std::string, std::optional<int>>;

std::map<PoolOfCell, int> countByPool(std::span<const PoolMove> moves)
{
    std::map<PoolOfCell, int> counts;
    for (const PoolMove &move : moves)
        ++counts[{move.pool, move.cell}];
    return counts;
}

int countOf(const std::map<PoolOfCell, int> &counts, const PoolDemand &pool)
{
    const auto found = counts.find({pool.service, pool.cell});
    return found != counts.end() ? found->second : 0;
}

std::map<std::string, int> surpluses(std::span<const PoolDemand> pools)
{
    std::map<std::string, int> surplus;
    for (const PoolDemand &pool : pools)
        if (!pool.cell)
            surplus[pool.service] = pool.machines - std::max(pool.desired, pool.minimum);
    return surplus;
}

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
    std::map<std::string, int> surplus = surpluses(pools);
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
    std::map<PoolOfCell, int> given;
    const auto isFull = [&] { return static_cast<int>(moves.size()) >= policy.maxMoves; };
    const auto take = [&](const PoolDemand &pool, int missing, bool isFromSamePool) {
        for (const MovableMachine *&offer : offers) {
            if (missing <= 0 || isFull())
                break;
            const bool isOffered = offer != nullptr
                                   && (offer->pool == pool.service) == isFromSamePool
                                   && (!pool.cell || offer->isLendable);
            if (!isOffered)
                continue;
            const bool isLendable =
                    offer->isInSparePool
                    || (surplus[offer->pool] > 0 && offer->idleMs >= policy.lendAfterMs);
            if (!isLendable)
                continue;
            if (!offer->isInSparePool)
                --surplus[offer->pool];
            moves.push_back({.machine = offer->machine,
                             .pool = pool.service,
                             .cell = pool.cell,
                             .staysInPool = isFromSamePool});
            offer = nullptr;
            --missing;
            ++given[{pool.service, pool.cell}];
        }
        return missing;
    };
    const auto fill = [&](const PoolDemand &pool, int missing) {
        if (pool.cell)
            missing = take(pool, missing, true);
        take(pool, missing, false);
    };
    for (const bool isOtherCell : {false, true})
        for (const PoolDemand *pool : shortPools)
            if (pool->cell.has_value() == isOtherCell)
                fill(*pool, std::min(pool->urgent, pool->desired - pool->machines));
    for (const PoolDemand *pool : shortPools)
        fill(*pool, pool->desired - pool->machines - countOf(given, *pool));
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
    const auto plannedCounts = countByPool(planned);
    const auto emptyingCounts = countByPool(emptying);
    std::vector<std::pair<const PoolDemand *, int>> lacking;
    std::map<std::string, int> available; // machines that a pool can give, by pool
    std::map<std::string, int> shortage;
    for (const PoolDemand &pool : pools) {
        const int missing =
                pool.blocked - countOf(plannedCounts, pool) - countOf(emptyingCounts, pool);
        if (missing > 0)
            lacking.emplace_back(&pool, missing);
        if (!pool.cell && pool.urgent == 0) {
            available[pool.service] = pool.machines - pool.minimum;
            shortage[pool.service] = pool.desired - pool.machines;
        }
    }
    std::stable_sort(lacking.begin(), lacking.end(), [](const auto &left, const auto &right) {
        return left.first->cell.has_value() < right.first->cell.has_value();
    });
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
            const bool isUsable =
                    candidate != nullptr && (candidate->pool != pool->service || pool->cell)
                    && available[candidate->pool] > 0 && (!pool->cell || candidate->isLendable);
            if (!isUsable)
                continue;
            --available[candidate->pool];
            --missing;
            chosen.push_back({.machine = candidate->machine,
                              .pool = pool->service,
                              .cell = pool->cell,
                              .staysInPool = candidate->pool == pool->service});
            candidate = nullptr;
        }
    return chosen;
}

std::map<std::string, PoolShortage> remainingShortages(std::span<const PoolDemand> pools,
                                                       std::span<const PoolMove> planned)
{
    const auto counts = countByPool(planned);
    std::map<std::string, PoolShortage> shortages;
    for (const PoolDemand &pool : pools) {
        const int coming = countOf(counts, pool);
        const int total = pool.desired - pool.machines - coming;
        if (!pool.cell && total > 0)
            shortages[pool.service] = {.total = total,
                                       .urgent = std::clamp(pool.urgent - coming, 0, total),
                                       .blocked = std::clamp(pool.blocked - coming, 0, total)};
    }
    return shortages;
}

int lendableMachines(std::span<const PoolDemand> pools, std::span<const MovableMachine> movable,
                     std::span<const PoolMove> planned)
{
    std::set<std::string> moving;
    for (const PoolMove &move : planned)
        moving.insert(move.machine);
    auto surplus = surpluses(pools);
    for (const MovableMachine &machine : movable)
        if (moving.contains(machine.machine) && !machine.isInSparePool)
            --surplus[machine.pool];
    int lendable = 0;
    for (const MovableMachine &machine : movable)
        if (!moving.contains(machine.machine) && machine.isLendable
            && (machine.isInSparePool || surplus[machine.pool]-- > 0))
            ++lendable;
    return lendable;
}

} // namespace chicorywick::scheduler
