#include <chicorywick/base/rng.h>
#include <chicorywick/fleet/wave_pace.h>

#include <doctest/doctest.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

PacedPool poolOf(const std::string &name, std::uint32_t members, std::uint32_t limit)
{
    v1::Budget budget;
    budget.set_max_unavailable(limit);
    PacedPool pool;
    pool.name = name;
    pool.view.budget = AvailabilityBudget::fromProto(budget).value();
    pool.view.memberCount = members;
    pool.available = members;
    for (std::uint32_t i = 0; i < members; ++i)
        pool.view.candidates.push_back(
                {i, {name + std::to_string(i), "r" + std::to_string(i / 4), "z"}});
    return pool;
}

std::uint32_t lack(const PacedPool &pool, std::size_t started)
{
    const auto left =
            static_cast<std::int64_t>(pool.available) - static_cast<std::int64_t>(started);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, pool.expectedNeed - left));
}

} // namespace

// Guards against a wave that waits although no peak is near, and one that runs into a peak.
TEST_CASE("a quiet pool uses its whole budget and a pool near its peak only what can be lent")
{
    PaceInput input{{poolOf("quiet", 10, 2), poolOf("near", 10, 2)}, 0, 1};
    input.pools[0].expectedNeed = 3;
    input.pools[1].expectedNeed = 12;
    std::vector<PoolDisruptions> paced = paceWaves(input);
    REQUIRE(paced.size() == 1);
    CHECK(paced[0].pool == "quiet");
    CHECK(paced[0].entries.size() == 2);
    input.lendable = 3;
    paced = paceWaves(input);
    REQUIRE(paced.size() == 2);
    CHECK(paced[1].entries.size() == 1);
}

// Guards against disruptions beyond a budget or beyond what the spare pool can make up for.
TEST_CASE("random paces keep every budget and add no lack that the spare pool cannot cover")
{
    base::Rng rng(11);
    for (int run = 0; run < 500; ++run) {
        PaceInput input;
        for (int i = 0; i < 5; ++i) {
            PacedPool pool =
                    poolOf("p" + std::to_string(i), static_cast<std::uint32_t>(4 + rng.below(8)),
                           static_cast<std::uint32_t>(rng.below(4)));
            if (rng.chance(0.3)) {
                pool.view.unavailable.push_back(pool.view.candidates.back().instance);
                pool.view.candidates.pop_back();
                --pool.available;
            }
            pool.expectedNeed = static_cast<std::uint32_t>(rng.below(14));
            input.pools.push_back(std::move(pool));
        }
        input.lendable = static_cast<std::uint32_t>(rng.below(6));
        input.concurrentPeaks = static_cast<std::uint32_t>(1 + rng.below(2));

        std::vector<std::uint32_t> lacks;
        bool isAnyWorse = false;
        const std::vector<PoolDisruptions> paced = paceWaves(input);
        for (const PacedPool &pool : input.pools) {
            const auto found =
                    std::find_if(paced.begin(), paced.end(), [&](const PoolDisruptions &entry) {
                        return entry.pool == pool.name;
                    });
            const std::size_t started = found == paced.end() ? 0 : found->entries.size();
            std::vector<PlacedInstance> down = pool.view.unavailable;
            for (std::size_t i = 0; i < started; ++i)
                down.push_back(found->entries[i].instance);
            if (started > 0)
                CHECK(pool.view.budget.excess(down, pool.view.memberCount).empty());
            lacks.push_back(lack(pool, started));
            isAnyWorse = isAnyWorse || lack(pool, started) > lack(pool, 0);
        }
        std::sort(lacks.rbegin(), lacks.rend());
        std::uint32_t worst = 0;
        for (std::uint32_t i = 0; i < input.concurrentPeaks; ++i)
            worst += lacks[i];
        if (isAnyWorse)
            CHECK(worst <= input.lendable);
    }
}

// Guards against short waves that delay the longest one.
TEST_CASE("the pool with the longest remaining wave gets the shared buffer first")
{
    PaceInput input{{poolOf("short", 4, 2), poolOf("long", 12, 2)}, 1, 2};
    input.pools[0].expectedNeed = 4;
    input.pools[1].expectedNeed = 12;
    const std::vector<PoolDisruptions> paced = paceWaves(input);
    REQUIRE(paced.size() == 1);
    CHECK(paced[0].pool == "long");
    CHECK(paced[0].entries.size() == 1);
}

} // namespace chicorywick::fleet
