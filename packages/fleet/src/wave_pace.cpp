#include <chicorywick/fleet/wave_pace.h>

#include <algorithm>
#include <numeric>

namespace chicorywick::fleet {

namespace {

std::uint32_t lackAtPeak(const PacedPool &pool, std::uint32_t started)
{
    const std::uint32_t left = pool.available > started ? pool.available - started : 0;
    return pool.expectedNeed > left ? pool.expectedNeed - left : 0;
}

/// @brief Rounds that a pool's wave still takes at the pace of its budget.
double remainingRounds(const PacedPool &pool)
{
    const std::uint32_t limit = pool.view.budget.limit(pool.view.memberCount);
    return static_cast<double>(pool.view.candidates.size()) / std::max(1U, limit);
}

std::vector<std::size_t> longestFirst(const std::vector<PacedPool> &pools)
{
    std::vector<std::size_t> order(pools.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return remainingRounds(pools[left]) > remainingRounds(pools[right]);
    });
    return order;
}

std::uint32_t worstLack(std::vector<std::uint32_t> lacks, std::uint32_t concurrent)
{
    std::sort(lacks.rbegin(), lacks.rend());
    lacks.resize(std::min<std::size_t>(lacks.size(), concurrent));
    return std::accumulate(lacks.begin(), lacks.end(), 0U);
}

} // namespace

std::vector<PoolDisruptions> paceWaves(const PaceInput &input)
{
    std::vector<std::uint32_t> lacks;
    for (const PacedPool &pool : input.pools)
        lacks.push_back(lackAtPeak(pool, 0));

    std::vector<PoolDisruptions> result;
    for (const std::size_t index : longestFirst(input.pools)) {
        const PacedPool &pool = input.pools[index];
        std::vector<NumberedEntry> entries =
                nextDisruptions(pool.view, pool.view.candidates.size());
        const std::uint32_t before = lacks[index];
        while (!entries.empty()) {
            lacks[index] = lackAtPeak(pool, static_cast<std::uint32_t>(entries.size()));
            // An instance that adds nothing to what the pool lacks may start in any case.
            if (lacks[index] == before || worstLack(lacks, input.concurrentPeaks) <= input.lendable)
                break;
            entries.pop_back();
        }
        if (entries.empty())
            lacks[index] = before;
        else
            result.push_back({pool.name, std::move(entries)});
    }
    return result;
}

} // namespace chicorywick::fleet
