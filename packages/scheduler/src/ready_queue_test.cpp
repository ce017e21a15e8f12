#include "scheduler_fixture.h"

#include <chicorywick/scheduler/ready_queue.h>

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

Job makeJob(StepSpec spec)
{
    Job job({.id = "a", .queue = "q", .steps = {std::move(spec)}}, 0);
    job.beginDueOccurrences(0, 0);
    return job;
}

TaskId task(int index)
{
    return {.job = "a", .index = index};
}

} // namespace

// Guards against a demand that still counts, or no longer does, after its tasks have moved.
TEST_CASE("the smallest demand follows the waiting steps")
{
    Job small = makeJob(step(3));
    StepSpec wideStep = step(1);
    wideStep.demand = {.cpuMillis = 4'000, .memoryMib = 500};
    Job wide = makeJob(wideStep);
    ReadyQueue queue;
    const ReadyKey early{.band = 1};
    const ReadyKey late{.band = 2};
    queue.insert({.band = 1, .sequence = 1}, wide, task(0), {0});
    queue.insert(early, small, task(0), {0, 1});
    queue.insert(late, small, task(2), {2});
    CHECK(queue.smallestDemand() == Resources{.cpuMillis = 1'000, .memoryMib = 500});
    queue.move(early, late);
    REQUIRE(queue.steps().size() == 2);
    CHECK(queue.steps().at(late).tasks == IndexSet{0, 1, 2});
    CHECK(queue.waitingCpuMillis() == 7'000);
    for (int index = 0; index < 3; ++index)
        queue.erase(late, task(index));
    CHECK(queue.smallestDemand() == Resources{.cpuMillis = 4'000, .memoryMib = 500});
    CHECK(queue.waitingCpuMillis() == 4'000);
}

// Guards against a trial that is left behind when its step moves.
TEST_CASE("trials move with their step")
{
    Job job = makeJob(step(2));
    job.task(task(1))->crashes.record(1, true);
    job.task(task(1))->crashes.record(2, true);
    REQUIRE(job.task(task(1))->crashes.isSuspected());
    ReadyQueue queue;
    const ReadyKey from{.band = 1};
    const ReadyKey to{.band = 2};
    queue.insert(from, job, task(0), {0, 1});
    queue.move(from, to);
    CHECK(queue.trials() == std::set{ReadyQueue::Trial(to, task(1))});
    queue.erase(to, task(1));
    CHECK(queue.trials().empty());
}

} // namespace chicorywick::scheduler
