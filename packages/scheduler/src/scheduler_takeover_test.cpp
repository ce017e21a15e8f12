#include "scheduler_world.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

// Guards against a new driver that starts tasks which its predecessor's workers still run.
TEST_CASE("a successor takes over what runs and starts nothing twice")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(3);
    const JobSpec spec = world.spec("a", {step(6)});
    world.scheduler->addJob(spec, std::nullopt);
    world.run(1'000);
    const auto roster = world.scheduler->roster();
    world.workers.setReachable("w1", false);
    world.lead();
    world.scheduler->expectWorkers(roster);
    world.scheduler->addJob(spec, JobProgress{});
    for (const WorkerEntry &entry : roster)
        if (entry.id != "w1")
            world.scheduler->upsertWorker(entry);
    world.run(20'000);
    CHECK(world.workers.violations().empty());
    world.workers.setReachable("w1", true);
    CHECK(world.workers.runningCount() >= 6);
}

// Guards against rows of ended jobs that a new driver removes before callers have asked for them.
TEST_CASE("a successor remembers ended jobs for the whole retention time")
{
    World world;
    world.addWorkers(1);
    const JobSpec spec = world.spec("a", {step(1)});
    world.scheduler->addJob(spec, std::nullopt);
    world.run(2'000);
    REQUIRE(world.stored["a"].state == JobState::Completed);
    world.loop.runUntil(500'000);
    world.lead();
    world.scheduler->addJob(spec, world.stored["a"]);
    world.run(100'000);
    CHECK(world.scheduler->stateOf("a") == JobState::Completed);
    CHECK(world.scheduler->takeForgottenJobs().empty());
}

// Guards against a driver that was cut off and, back again, writes its old view of a job over the
// end that its successor has stored.
TEST_CASE("stored ends of another driver are taken over, whole jobs included")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(1);
    world.submit("a", {step(2)});
    world.submit("b", {step(2)});
    world.run(500);
    world.scheduler->mergeStored("a", {.state = JobState::Completed, .begunOccurrences = 1});
    world.scheduler->mergeStored("b", {.state = JobState::Running,
                                       .begunOccurrences = 1,
                                       .open = {{.number = 0, .doneTasks = {{1}}}}});
    CHECK(world.scheduler->stateOf("a") == JobState::Completed);
    CHECK(world.scheduler->progressOf("b")->open[0].doneTasks[0] == std::set<int>{1});
}

// Guards against a wait for the lease of a worker whose machine already runs another one, and
// against a successor that waits for workers which ended long ago.
TEST_CASE("another worker of the same machine proves that the former one has ended")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(1);
    world.submit("a", {step(1)});
    world.run(500);
    REQUIRE(world.workers.startsOf({.job = "a"}) == 1);
    world.workers.crash("w0");
    WorkerEntry next = world.workers.add("x0", "s", kWorkerSize);
    next.machine = "m-w0";
    world.scheduler->upsertWorker(next);
    world.run(500);
    CHECK(world.workers.startsOf({.job = "a"}) == 2);
    CHECK(world.scheduler->roster().size() == 1);
}

// Guards against a successor that stops a running task of a step whose predecessors' ends it has
// not seen, and starts it again beside the run that is still there.
TEST_CASE("a successor adopts tasks that run although earlier steps seem unfinished")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(2);
    const JobSpec spec = world.spec("a", {step(1), step(1, {0})});
    const auto roster = world.scheduler->roster();
    world.run(100);
    const TaskId second{.job = "a", .step = 1};
    world.workers.start(
            {.id = "w0", .address = "10.0.0.1:80"},
            {.task = second, .run = 1, .leaseUntil = world.loop.now() + 5'000, .fence = 1},
            [](const OrderReply &) {});
    world.run(100);
    world.lead();
    world.scheduler->expectWorkers(roster);
    world.scheduler->addJob(spec, JobProgress{});
    for (const WorkerEntry &entry : roster)
        world.scheduler->upsertWorker(entry);
    world.run(2'000);
    CHECK(world.workers.placesOf(second).size() == 1);
    CHECK(world.workers.startsOf(second) == 1);
}

} // namespace chicorywick::scheduler
