#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

constexpr const char *kLabel = "special";

StepSpec perpetualStep(int tasks, Resources demand, const std::string &label = {})
{
    return {.taskCount = tasks,
            .demand = demand,
            .estimatedMs = 500,
            .isPerpetual = true,
            .requiredLabel = label};
}

// Submits short jobs for a while and returns how many of them are not completed 2 s later.
int openJobsAfterTraffic(SchedulerFixture &fixture)
{
    constexpr int kJobs = 30;
    for (int job = 0; job < kJobs; ++job) {
        fixture.submit("job" + std::to_string(job), {step(2)});
        fixture.run(100);
    }
    fixture.run(2'000);
    int open = 0;
    for (int job = 0; job < kJobs; ++job)
        open += fixture.scheduler->stateOf("job" + std::to_string(job)) == JobState::Completed ? 0
                                                                                               : 1;
    return open;
}

} // namespace

// Guards against workers that are kept free for perpetual tasks which require a label that none of
// them has: no other job of the service started (review/4).
TEST_CASE("a perpetual task with a label that no worker has keeps no worker from other tasks")
{
    constexpr int kWorkers = 5;
    for (const int tasks : {kWorkers, 30, 1'000})
        for (const int maxPerWorker : {0, 1}) {
            CAPTURE(tasks);
            CAPTURE(maxPerWorker);
            SchedulerFixture fixture;
            fixture.addWorkers(kWorkers);
            StepSpec unmet = perpetualStep(tasks, {.cpuMillis = 500, .memoryMib = 256}, kLabel);
            unmet.maxPerWorker = maxPerWorker;
            fixture.submit("unmet", {unmet});
            fixture.run(500);
            CHECK(openJobsAfterTraffic(fixture) == 0);
            CHECK(fixture.workers.startsOf({.job = "unmet"}) == 0);
        }
}

// Guards against tasks that are never looked at, because many jobs that cannot start come first.
TEST_CASE("many perpetual jobs with labels that no worker has do not hold up other jobs")
{
    SchedulerFixture fixture;
    fixture.addWorkers(2);
    for (int job = 0; job < 50; ++job)
        fixture.submit("unmet" + std::to_string(job),
                       {perpetualStep(20, {.cpuMillis = 500, .memoryMib = 256},
                                      "label" + std::to_string(job))});
    fixture.run(500);
    CHECK(openJobsAfterTraffic(fixture) == 0);
}

// Guards against a worker that is kept free for a perpetual task although other perpetual tasks
// leave no room for it there.
TEST_CASE("a worker full of perpetual tasks is not kept free for another one")
{
    SchedulerFixture fixture;
    fixture.workers.outcome = [](const TaskId &, std::int64_t) { return EndKind::Done; };
    fixture.workers.workMs = 0;
    fixture.addWorkers(2);
    fixture.submit("large", {perpetualStep(2, {.cpuMillis = 12'000, .memoryMib = 1'000})});
    fixture.run(500);
    REQUIRE(fixture.workers.runningCount() == 2);
    fixture.submit("medium", {perpetualStep(2, {.cpuMillis = 8'000, .memoryMib = 1'000})});
    fixture.run(500);
    REQUIRE(fixture.workers.runningCount() == 2);
    fixture.workers.workMs = 500;
    CHECK(openJobsAfterTraffic(fixture) == 0);
}

// Guards against a perpetual task that waits for ever while a worker without its label is kept free
// for it, and finite tasks fill the one that has the label.
TEST_CASE("the worker that is kept free for a perpetual task has its label")
{
    SchedulerFixture fixture;
    fixture.scheduler->upsertWorker(fixture.workers.add("labelled", "s", kWorkerSize, {kLabel}));
    fixture.scheduler->upsertWorker(fixture.workers.add("other", "s", kWorkerSize));
    fixture.run(200);
    for (int job = 0; job < 100; ++job) {
        fixture.submit("job" + std::to_string(job), {step(3)});
        if (job == 10)
            fixture.submit("lasting", {perpetualStep(1, kWorkerSize, kLabel)});
        fixture.run(80);
    }
    CHECK(fixture.workers.startsOf({.job = "lasting"}) >= 1);
    CHECK(fixture.workers.violations().empty());
}

// Guards against a task that waits for ever because its workers are full, while others that it may
// not use have room: no empty worker was called for.
TEST_CASE("a task that only unsuitable workers have room for calls for an empty one")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.scheduler->upsertWorker(fixture.workers.add("labelled", "s", kWorkerSize, {kLabel}));
    fixture.scheduler->upsertWorker(fixture.workers.add("other", "s", kWorkerSize));
    fixture.submit("first", {perpetualStep(1, kWorkerSize, kLabel)});
    fixture.run(500);
    REQUIRE(fixture.workers.runningCount() == 1);
    CHECK(fixture.scheduler->loads().at("s").extraWorkers == 0);
    StepSpec spread = perpetualStep(2, {.cpuMillis = 1'000, .memoryMib = 1'000});
    spread.maxPerWorker = 1;
    fixture.submit("spread", {spread});
    fixture.submit("second", {perpetualStep(1, kWorkerSize, kLabel)});
    fixture.run(1'000);
    // One task of "spread" and "second" wait; no worker of the service can be of use to "unmet".
    fixture.submit("unmet", {perpetualStep(4, kWorkerSize, "none")});
    fixture.run(1'000);
    CHECK(fixture.scheduler->loads().at("s").extraWorkers == 2);
}

// Guards against a call for one machine when each of the waiting tasks needs a worker of its own.
TEST_CASE("waiting tasks with a limit per worker call for a worker each")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(2);
    StepSpec spread = perpetualStep(5, {.cpuMillis = 1'000, .memoryMib = 1'000});
    spread.maxPerWorker = 1;
    fixture.submit("spread", {spread});
    fixture.run(1'000);
    REQUIRE(fixture.workers.runningCount() == 2);
    CHECK(fixture.scheduler->loads().at("s").extraWorkers == 3);
    CHECK(fixture.scheduler->loads().at("s").extraWorkersForPerpetual == 3);
}

} // namespace chicorywick::scheduler
