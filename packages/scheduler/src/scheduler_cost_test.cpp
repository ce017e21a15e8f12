#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

constexpr int kPool = 20;
constexpr Millis kRunMs = 10'000;

// Jobs of one task each. All demands differ, and each rules out most of the others.
void submitMixed(SchedulerFixture &fixture, int jobs)
{
    constexpr int kDistinct = 200;
    for (int i = 0; i < jobs; ++i) {
        const int shape = i % kDistinct;
        StepSpec mixed = step(1);
        mixed.demand = {.cpuMillis = 4'000 + 10 * shape, .memoryMib = 8'000 - 10 * shape};
        fixture.submit("m" + std::to_string(i), {mixed});
    }
}

// Submits jobs of which one task each has to wait for a worker of its own.
void submitSpread(SchedulerFixture &fixture, int jobs, int workers, bool isPerpetual = false)
{
    for (int i = 0; i < jobs; ++i) {
        StepSpec spread = step(workers + 1);
        spread.demand = {.cpuMillis = 10, .memoryMib = 1};
        spread.maxPerWorker = 1;
        spread.isPerpetual = isPerpetual;
        fixture.submit("spread" + std::to_string(i), {spread});
    }
}

} // namespace

// Guards against a pass that looks at every worker for each of the demands that fit nowhere.
TEST_CASE("a full pool costs a bounded look per end however many tasks wait")
{
    const auto examinedPerStart = [](int jobs) {
        SchedulerFixture fixture;
        fixture.addWorkers(kPool);
        fixture.run(500);
        submitMixed(fixture, jobs);
        const std::uint64_t before = fixture.scheduler->examinedWorkers();
        const int ordersBefore = fixture.workers.ordersSent();
        fixture.run(kRunMs);
        const int starts = fixture.workers.ordersSent() - ordersBefore;
        REQUIRE(fixture.workers.violations().empty());
        REQUIRE(starts > kPool);
        return static_cast<double>(fixture.scheduler->examinedWorkers() - before) / starts;
    };
    for (const int jobs : {500, 2'000}) {
        CAPTURE(jobs);
        CHECK(examinedPerStart(jobs) < 3 * kPool);
    }
}

// Guards against tasks that fit and are not reached behind many distinct demands that do not.
TEST_CASE("a task that fits starts behind many different ones that fit nowhere")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1, {.cpuMillis = 4'000, .memoryMib = 8'000});
    fixture.run(500);
    for (int i = 0; i < 100; ++i) {
        StepSpec large = step(1);
        large.demand = {.cpuMillis = 5'000 + i, .memoryMib = 3'000 - i};
        fixture.submit("l" + std::to_string(i), {large});
    }
    fixture.submit("small", {step(1)});
    fixture.run(100);
    CHECK(fixture.workers.startsOf({.job = "small"}) == 1);
}

// Guards against finite tasks that take the room of ends while a perpetual task waits for it.
TEST_CASE("a perpetual task that fits nowhere keeps a worker free while many tasks wait")
{
    SchedulerFixture fixture;
    fixture.addWorkers(2, {.cpuMillis = 4'000, .memoryMib = 8'000});
    fixture.run(500);
    fixture.submit("finite", {step(200)});
    fixture.run(100);
    StepSpec perpetual = step(1);
    perpetual.isPerpetual = true;
    perpetual.demand = {.cpuMillis = 4'000, .memoryMib = 4'000};
    fixture.submit("perpetual", {perpetual});
    fixture.run(1'000);
    CHECK(fixture.workers.startsOf({.job = "perpetual"}) == 1);
    CHECK(fixture.workers.violations().empty());
}

// Guards against jobs that stay pending on almost empty workers, because a placement pass ended at
// the jobs before them that only their limit per worker kept waiting (review/10).
TEST_CASE("a task that fits starts behind many jobs that wait for their limit per worker")
{
    for (const int jobs : {24, 200}) {
        CAPTURE(jobs);
        constexpr int kWorkers = 6;
        SchedulerFixture fixture;
        fixture.workers.workMs = 0;
        fixture.addWorkers(kWorkers);
        fixture.run(500);
        submitSpread(fixture, jobs, kWorkers);
        fixture.run(500);
        REQUIRE(fixture.workers.runningCount() == jobs * kWorkers);
        fixture.submit("small", {step(1)});
        fixture.run(500);
        CHECK(fixture.workers.startsOf({.job = "small"}) == 1);
    }
}

// Guards against the same with perpetual tasks at the head of the queue, and on a pool so large
// that the waiting steps use up the cost limit of a pass.
TEST_CASE("a task that fits starts behind waiting steps that use up the limit of a pass")
{
    constexpr int kWorkers = 80;
    for (const bool isPerpetual : {false, true}) {
        CAPTURE(isPerpetual);
        SchedulerFixture fixture;
        fixture.workers.workMs = 0;
        fixture.addWorkers(kWorkers);
        fixture.run(500);
        submitSpread(fixture, 100, kWorkers, isPerpetual);
        fixture.run(1'000);
        REQUIRE(fixture.workers.runningCount() == 100 * kWorkers);
        fixture.submit("small", {step(1)});
        fixture.run(2'000);
        CHECK(fixture.workers.startsOf({.job = "small"}) == 1);
    }
}

} // namespace chicorywick::scheduler
