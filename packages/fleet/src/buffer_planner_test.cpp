#include <chicorywick/base/rng.h>
#include <chicorywick/fleet/buffer_planner.h>
#include <chicorywick/fleet/demand_window.h>

#include <doctest/doctest.h>

namespace chicorywick::fleet {

using namespace std::chrono_literals;

namespace {

BufferPlanInput inputOf(int pools)
{
    v1::Budget budget;
    budget.set_max_unavailable(3);
    BufferPlanInput input;
    for (int i = 0; i < pools; ++i) {
        input.pools.push_back({.name = "p" + std::to_string(i),
                               .baseSize = 10,
                               .peakDemand = 12 + static_cast<std::uint32_t>(i % 2),
                               .peakShare = 0.4,
                               .peaksPerHour = 3,
                               .budget = AvailabilityBudget::fromProto(budget).value(),
                               .largestRack = 2,
                               .largestZone = 4});
    }
    input.moveTime = 5s;
    input.moveCost = 30s;
    return input;
}

} // namespace

// Guards against an oversized buffer that adds up the peaks of pools that never peak together.
TEST_CASE("peaks that do not coincide share one buffer")
{
    BufferPlanInput input = inputOf(5);
    CHECK(planBuffer(input).forPeaks == 3);
    input.concurrentPeaks = 2;
    CHECK(planBuffer(input).forPeaks == 6);
}

// Guards against an oversized buffer for peaks that the spare pool's idle members already cover.
TEST_CASE("the spare pool lends its own idle members before any buffer")
{
    BufferPlanInput input = inputOf(5);
    input.pools[0].isSpare = true;
    input.pools[0].offPeakDemand = 1;
    CHECK(planBuffer(input).forPeaks == 2);
    input.concurrentPeaks = 2;
    CHECK(planBuffer(input).forPeaks == 5);
}

// Guards against an undersized failure allowance. The members of a rack or zone fail together, not
// independently.
TEST_CASE("frequent rack failures add the members that share a rack")
{
    BufferPlanInput input = inputOf(5);
    input.failures.repairTime = 1h;
    CHECK(planBuffer(input).forFailures == 0);
    input.failures.racksPerHour = 0.01;
    CHECK(planBuffer(input).forFailures == 2);
    input.failures.zonesPerHour = 0.01;
    CHECK(planBuffer(input).forFailures == 4);
}

// Guards against weights that have no effect or the opposite effect.
TEST_CASE("each weight changes the plan in the expected direction")
{
    base::Rng rng(7);
    for (int run = 0; run < 200; ++run) {
        BufferPlanInput input = inputOf(static_cast<int>(2 + rng.below(6)));
        for (PoolObservation &pool : input.pools)
            pool.peakShare = rng.uniform();
        input.weights = {0.1 + rng.uniform(), rng.uniform(), rng.uniform()};
        const BufferPlan plan = planBuffer(input);

        BufferPlanInput faster = input;
        faster.weights.rolloutTime *= 4;
        CHECK(planBuffer(faster).forWaves >= plan.forWaves);
        BufferPlanInput cheaper = input;
        cheaper.weights.bufferCost *= 4;
        CHECK(planBuffer(cheaper).total() <= plan.total());
        CHECK(planBuffer(cheaper).holdTime <= plan.holdTime);
        BufferPlanInput steadier = input;
        steadier.weights.moves *= 4;
        CHECK(planBuffer(steadier).holdTime >= plan.holdTime);
        CHECK(planBuffer(steadier).dedicated.size() >= plan.dedicated.size());
    }
}

// Guards against frequent moves to a pool whose dedicated buffer would cost less.
TEST_CASE("a pool with very frequent peaks has a dedicated buffer")
{
    BufferPlanInput input = inputOf(2);
    input.pools[0].peaksPerHour = 200;
    const BufferPlan plan = planBuffer(input);
    CHECK(plan.dedicated == std::vector<DedicatedBuffer>{{"p0", 2}});
    CHECK(plan.forPeaks == 3);
}

// Guards against a planner that ignores all costs because no weight is configured.
TEST_CASE("weights come from the configuration and are equal if none is set")
{
    v1::PlannerConfig config;
    CHECK(plannerWeights(config) == PlannerWeights{});
    config.set_rollout_time_weight(5);
    CHECK(plannerWeights(config) == PlannerWeights{0, 5, 0});
}

// Guards against maintenance that starts just before a peak because the window forecasts off-peak
// demand for too long.
TEST_CASE("the demand window expects a peak unless the shortest interval rules it out")
{
    DemandWindow window(10, 60s);
    base::TimePoint now(1h);
    for (int peak = 0; peak < 5; ++peak) {
        for (int second = 0; second < 600; ++second, now += 1s)
            window = window.withSample(now, second < 60 ? 13 : 2);
    }
    CHECK(window.highest() == 13);
    CHECK(window.offPeakDemand() == 2);
    CHECK(window.peaksPerHour() == doctest::Approx(6));
    CHECK(window.recentPeak() == 2);
    // The last peak began 600 s ago.
    CHECK(window.demandWithin(now, 60s) == 13);
    CHECK(window.demandWithin(now - 300s, 60s) == 2);
    CHECK(window.demandWithin(now - 300s, 301s) == 13);
    CHECK(window.peakShare(60s) == doctest::Approx(0.1));
    CHECK(DemandWindow(10, 60s).peakShare(60s) == 1);
}

} // namespace chicorywick::fleet
