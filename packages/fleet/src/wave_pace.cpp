#include <chicorywick/fleet/wave_pace.h>

#include <algorithm>
#include <numeric>

namespace chicorywick::fleet {

namespace {

/// @brief What the spare pool lacks to serve the coinciding peaks, while instances are started.
class Lack
{
public:
    explicit Lack(const PaceInput &input)
        : input_(input)
        , started_(input.pools.size(), 0)
    {}

    void start(std::size_t pool, std::size_t count) { started_[pool] = count; }

    /// @brief Negative if instances are left over.
    std::int64_t total() const
    {
        std::vector<std::int64_t> lacks;
        std::int64_t spare = -static_cast<std::int64_t>(input_.reserve);
        std::int64_t spareQuiet = 0;
        std::int64_t sparePeak = 0;
        for (std::size_t i = 0; i < input_.pools.size(); ++i) {
            const PacedPool &pool = input_.pools[i];
            const std::int64_t left = pool.available - static_cast<std::int64_t>(started_[i]);
            if (pool.isSpare) {
                spare += left;
                spareQuiet = std::min(pool.quietNeed, pool.expectedNeed);
                sparePeak = pool.expectedNeed;
            } else {
                lacks.push_back(std::max<std::int64_t>(0, pool.expectedNeed - left));
            }
        }
        std::sort(lacks.rbegin(), lacks.rend());
        const std::int64_t withoutSpare = largest(lacks, input_.concurrentPeaks) + spareQuiet;
        const std::int64_t withSpare =
                input_.concurrentPeaks == 0
                        ? spareQuiet
                        : largest(lacks, input_.concurrentPeaks - 1) + sparePeak;
        return std::max(withoutSpare, withSpare) - spare;
    }

private:
    static std::int64_t largest(const std::vector<std::int64_t> &lacks, std::size_t count)
    {
        const auto end = static_cast<std::ptrdiff_t>(std::min(lacks.size(), count));
        return std::accumulate(lacks.begin(), lacks.begin() + end, std::int64_t{0});
    }

    const PaceInput &input_;
    std::vector<std::size_t> started_;
};

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

} // namespace

std::vector<PoolDisruptions> paceWaves(const PaceInput &input)
{
    Lack lack(input);
    const std::int64_t acceptable = std::max<std::int64_t>(0, lack.total());
    std::vector<PoolDisruptions> result;
    for (const std::size_t index : longestFirst(input.pools)) {
        const PacedPool &pool = input.pools[index];
        std::vector<NumberedEntry> entries =
                nextDisruptions(pool.view, pool.view.candidates.size());
        lack.start(index, entries.size());
        while (!entries.empty() && lack.total() > acceptable) {
            entries.pop_back();
            lack.start(index, entries.size());
        }
        if (!entries.empty())
            result.push_back({pool.name, std::move(entries)});
    }
    return result;
}

} // namespace chicorywick::fleet
