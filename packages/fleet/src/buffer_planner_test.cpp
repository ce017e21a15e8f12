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
                               .peakNeed = 12 + static_cast<std::uint32_t>(i % 2),
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

// Guards against a buffer that adds up peaks that never coincide.
TEST_CASE("peaks that take turns share one buffer")
{
    BufferPlanInput input = inputOf(5);
    CHECK(planBuffer(input).forPeaks == 3);
    input.concurrentPeaks = 2;
    CHECK(planBuffer(input).forPeaks == 6);
}

// Guards against a buffer for peaks that the spare pool's idle members cover.
TEST_CASE("the spare pool lends its own idle members before any buffer")
{
    BufferPlanInput input = inputOf(5);
    input.pools[0].isSpare = true;
    input.pools[0].quietNeed = 1;
    CHECK(planBuffer(input).forPeaks == 2);
    input.concurrentPeaks = 2;
    CHECK(planBuffer(input).forPeaks == 5);
}

// Guards against a failure allowance that treats a rack's members as independent.
TEST_CASE("frequent rack failures add the members that share a rack")
{
    BufferPlanInput input = inputOf(5);
    input.failures.repair = 1h;
    CHECK(planBuffer(input).forFailures == 0);
    input.failures.racksPerHour = 0.01;
    CHECK(planBuffer(input).forFailures == 2);
    input.failures.zonesPerHour = 0.01;
    CHECK(planBuffer(input).forFailures == 4);
}

// Guards against weights that have no effect or the opposite one.
TEST_CASE("each weight moves the plan in its direction")
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
        CHECK(planBuffer(cheaper).hold <= plan.hold);
        BufferPlanInput steadier = input;
        steadier.weights.moves *= 4;
        CHECK(planBuffer(steadier).hold >= plan.hold);
        CHECK(planBuffer(steadier).resident.size() >= plan.resident.size());
    }
}

// Guards against frequent moves where a buffer of the pool's own costs less.
TEST_CASE("a pool with very frequent peaks keeps its own buffer")
{
    BufferPlanInput input = inputOf(2);
    input.pools[0].peaksPerHour = 200;
    const BufferPlan plan = planBuffer(input);
    CHECK(plan.resident == std::vector<ResidentBuffer>{{"p0", 2}});
    CHECK(plan.forPeaks == 3);
}

TEST_CASE("weights come from the configuration; none at all means equal weights")
{
    v1::PlannerConfig config;
    CHECK(plannerWeights(config) == PlannerWeights{});
    config.set_rollout_time_weight(5);
    CHECK(plannerWeights(config) == PlannerWeights{0, 5, 0});
}

// Guards against a start of maintenance just before a peak.
TEST_CASE("the demand window expects the peak until the shortest interval is known to be far")
{
    DemandWindow window(10, 60s);
    base::TimePoint now(1h);
    for (int peak = 0; peak < 5; ++peak) {
        for (int second = 0; second < 600; ++second, now += 1s)
            window = window.withSample(now, second < 60 ? 13 : 2);
    }
    CHECK(window.highest() == 13);
    CHECK(window.quietNeed() == 2);
    CHECK(window.peaksPerHour() == doctest::Approx(6));
    CHECK(window.recentPeak() == 2);
    // The last peak began 600 s ago.
    CHECK(window.needWithin(now, 60s) == 13);
    CHECK(window.needWithin(now - 300s, 60s) == 2);
    CHECK(window.needWithin(now - 300s, 301s) == 13);
    CHECK(window.peakShare(60s) == doctest::Approx(0.1));
    CHECK(DemandWindow(10, 60s).peakShare(60s) == 1);
}

} // namespace chicorywick::fleet
