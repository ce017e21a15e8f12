#include <chicorywick/fleet/wave_pace.h>

#include <algorithm>
#include <numeric>

namespace chicorywick::fleet {

namespace {

/// @brief Instances that the spare pool lacks during coinciding peaks, given the disruptions
/// started.
class Shortage
{
public:
    explicit Shortage(const PaceInput &input)
        : input_(input)
        , started_(input.pools.size(), 0)
    {}

    void start(std::size_t pool, std::size_t count) { started_[pool] = count; }

    /// @brief Negative if there is a surplus.
    std::int64_t total() const
    {
        std::vector<std::int64_t> shortages;
        std::int64_t spare = -static_cast<std::int64_t>(input_.reserve);
        std::int64_t spareOffPeak = 0;
        std::int64_t sparePeak = 0;
        for (std::size_t i = 0; i < input_.pools.size(); ++i) {
            const PacedPool &pool = input_.pools[i];
            const std::int64_t left = pool.available - static_cast<std::int64_t>(started_[i]);
            if (pool.isSpare) {
                spare += left;
                spareOffPeak = std::min(pool.offPeakDemand, pool.expectedDemand);
                sparePeak = pool.expectedDemand;
            } else {
                shortages.push_back(std::max<std::int64_t>(0, pool.expectedDemand - left));
            }
        }
        std::sort(shortages.rbegin(), shortages.rend());
        const std::int64_t withoutSpare = largest(shortages, input_.concurrentPeaks) + spareOffPeak;
        const std::int64_t withSpare =
                input_.concurrentPeaks == 0
                        ? spareOffPeak
                        : largest(shortages, input_.concurrentPeaks - 1) + sparePeak;
        return std::max(withoutSpare, withSpare) - spare;
    }

private:
    static std::int64_t largest(const std::vector<std::int64_t> &shortages, std::size_t count)
    {
        const auto end = static_cast<std::ptrdiff_t>(std::min(shortages.size(), count));
        return std::accumulate(shortages.begin(), shortages.begin() + end, std::int64_t{0});
    }

    const PaceInput &input_;
    std::vector<std::size_t> started_;
};

/// @brief Remaining rounds of a pool's wave at the rate that its budget allows.
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

} // namespace

std::vector<PoolDisruptions> paceWaves(const PaceInput &input)
{
    Shortage shortage(input);
    const std::int64_t acceptable = std::max<std::int64_t>(0, shortage.total());
    std::vector<PoolDisruptions> result;
    for (const std::size_t index : longestFirst(input.pools)) {
        const PacedPool &pool = input.pools[index];
        std::vector<PlanEntry> entries = nextDisruptions(pool.view, pool.view.candidates.size());
        shortage.start(index, entries.size());
        while (!entries.empty() && shortage.total() > acceptable) {
            entries.pop_back();
            shortage.start(index, entries.size());
        }
        if (!entries.empty())
            result.push_back({pool.name, std::move(entries)});
    }
    return result;
}

} // namespace chicorywick::fleet
