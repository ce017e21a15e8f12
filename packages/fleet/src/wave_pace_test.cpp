#include <chicorywick/base/rng.h>
#include <chicorywick/fleet/wave_pace.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <bit>

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

PacedPool spareOf(std::uint32_t members)
{
    PacedPool pool = poolOf("spare", members, 0);
    pool.isSpare = true;
    return pool;
}

std::size_t startedIn(const std::vector<PoolDisruptions> &paced, const std::string &pool)
{
    const auto found = std::find_if(paced.begin(), paced.end(), [&](const PoolDisruptions &entry) {
        return entry.pool == pool;
    });
    return found == paced.end() ? 0 : found->entries.size();
}

/// @brief Largest shortage over all sets of pools whose peaks may coincide.
std::int64_t worstShortage(const PaceInput &input, const std::vector<PoolDisruptions> &paced)
{
    std::int64_t worst = 0;
    for (unsigned peaking = 0; peaking < 1U << input.pools.size(); ++peaking) {
        if (static_cast<std::uint32_t>(std::popcount(peaking)) > input.concurrentPeaks)
            continue;
        std::int64_t shortage = input.reserve;
        for (std::size_t i = 0; i < input.pools.size(); ++i) {
            const PacedPool &pool = input.pools[i];
            const bool isPeaking = (peaking >> i & 1U) != 0;
            const std::int64_t need = isPeaking ? pool.expectedDemand
                                                : std::min(pool.offPeakDemand, pool.expectedDemand);
            const std::int64_t left = static_cast<std::int64_t>(pool.available)
                                      - static_cast<std::int64_t>(startedIn(paced, pool.name));
            shortage += pool.isSpare ? need - left
                                     : (isPeaking ? std::max<std::int64_t>(0, need - left) : 0);
        }
        worst = std::max(worst, shortage);
    }
    return worst;
}

} // namespace

// Guards against a wave that waits although no peak is near, or that disrupts a pool during its
// peak.
TEST_CASE("a pool far from its peak uses its whole budget, one near it only what can be lent")
{
    PaceInput input{{poolOf("quiet", 10, 2), poolOf("near", 10, 2), spareOf(2)}, 1, 0};
    input.pools[0].expectedDemand = 3;
    input.pools[1].expectedDemand = 12;
    CHECK(startedIn(paceWaves(input), "quiet") == 2);
    CHECK(startedIn(paceWaves(input), "near") == 0);
    input.pools[2].available = 3;
    CHECK(startedIn(paceWaves(input), "quiet") == 2);
    CHECK(startedIn(paceWaves(input), "near") == 1);
    input.reserve = 1;
    CHECK(startedIn(paceWaves(input), "near") == 0);
}

// Guards against disruptions that exceed a budget or that the spare pool cannot compensate for.
TEST_CASE("random inputs keep every budget and add no shortage that the spare pool cannot cover")
{
    base::Rng rng(11);
    std::size_t started = 0;
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
            pool.expectedDemand = static_cast<std::uint32_t>(rng.below(14));
            pool.offPeakDemand = static_cast<std::uint32_t>(rng.below(4));
            pool.isSpare = i == 0;
            input.pools.push_back(std::move(pool));
        }
        input.concurrentPeaks = static_cast<std::uint32_t>(1 + rng.below(2));
        input.reserve = static_cast<std::uint32_t>(rng.below(2));

        const std::vector<PoolDisruptions> paced = paceWaves(input);
        for (const PacedPool &pool : input.pools) {
            std::vector<PlacedInstance> down = pool.view.unavailable;
            for (const PoolDisruptions &entry : paced) {
                for (std::size_t i = 0; entry.pool == pool.name && i < entry.entries.size(); ++i)
                    down.push_back(entry.entries[i].instance);
            }
            if (startedIn(paced, pool.name) > 0)
                CHECK(pool.view.budget.violation(down, pool.view.memberCount).empty());
        }
        CHECK(worstShortage(input, paced) <= std::max<std::int64_t>(0, worstShortage(input, {})));
        started += paced.size();
    }
    CHECK(started > 100);
}

// Guards against short waves that take the shared buffer first and so delay the longest wave.
TEST_CASE("the pool with the longest remaining wave gets the shared buffer first")
{
    PaceInput input{{poolOf("short", 4, 2), poolOf("long", 12, 2), spareOf(1)}, 2, 0};
    input.pools[0].expectedDemand = 4;
    input.pools[1].expectedDemand = 12;
    const std::vector<PoolDisruptions> paced = paceWaves(input);
    REQUIRE(paced.size() == 1);
    CHECK(paced[0].pool == "long");
    CHECK(paced[0].entries.size() == 1);
}

} // namespace chicorywick::fleet
