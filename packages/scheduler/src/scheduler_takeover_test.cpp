#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

// Guards against a new driver that starts tasks which its predecessor's workers still run.
TEST_CASE("a successor takes over what runs and starts nothing twice")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(3);
    const JobSpec spec = fixture.spec("a", {step(6)});
    fixture.scheduler->addJob(spec, std::nullopt);
    fixture.run(1'000);
    const auto roster = fixture.scheduler->roster();
    fixture.workers.setReachable("w1", false);
    fixture.startTerm();
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(spec, JobProgress{});
    for (const WorkerEntry &entry : roster)
        if (entry.id != "w1")
            fixture.scheduler->upsertWorker(entry);
    fixture.run(20'000);
    CHECK(fixture.workers.violations().empty());
    fixture.workers.setReachable("w1", true);
    CHECK(fixture.workers.runningCount() >= 6);
}

// Guards against rows of ended jobs that a new driver removes before callers have asked for them.
TEST_CASE("a successor remembers ended jobs for the whole retention time")
{
    SchedulerFixture fixture;
    fixture.addWorkers(1);
    const JobSpec spec = fixture.spec("a", {step(1)});
    fixture.scheduler->addJob(spec, std::nullopt);
    fixture.run(2'000);
    REQUIRE(fixture.stored["a"].state == JobState::Completed);
    fixture.loop.runUntil(500'000);
    fixture.startTerm();
    fixture.scheduler->addJob(spec, fixture.stored["a"]);
    fixture.run(100'000);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
    CHECK(fixture.scheduler->takeExpiredJobs().empty());
}

// Guards against a driver that was cut off and, back again, writes its old view of a job over the
// end that its successor has stored.
TEST_CASE("stored ends of another driver are taken over, whole jobs included")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.submit("a", {step(2)});
    fixture.submit("b", {step(2)});
    fixture.run(500);
    fixture.scheduler->mergeStoredProgress("a",
                                           {.state = JobState::Completed, .begunOccurrences = 1});
    fixture.scheduler->mergeStoredProgress("b", {.state = JobState::Running,
                                                 .begunOccurrences = 1,
                                                 .open = {{.number = 0, .doneTasks = {{1}}}}});
    CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
    CHECK(fixture.scheduler->progressOf("b")->open[0].doneTasks[0] == std::set<int>{1});
}

// Guards against a wait for the lease of a worker whose machine already runs another one, and
// against a successor that waits for workers which ended long ago.
TEST_CASE("another worker of the same machine proves that the former one has ended")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.submit("a", {step(1)});
    fixture.run(500);
    REQUIRE(fixture.workers.startsOf({.job = "a"}) == 1);
    fixture.workers.crash("w0");
    WorkerEntry next = fixture.workers.add("x0", "s", kWorkerSize);
    next.machine = "m-w0";
    fixture.scheduler->upsertWorker(next);
    fixture.run(500);
    CHECK(fixture.workers.startsOf({.job = "a"}) == 2);
    CHECK(fixture.scheduler->roster().size() == 1);
}

// Guards against a successor that stops a running task of a step whose predecessors' ends it has
// not seen, and starts it again beside the run that is still there.
TEST_CASE("a successor adopts tasks that run although earlier steps seem unfinished")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(2);
    const JobSpec spec = fixture.spec("a", {step(1), step(1, {0})});
    const auto roster = fixture.scheduler->roster();
    fixture.run(100);
    const TaskId second{.job = "a", .step = 1};
    fixture.workers.start(
            {.id = "w0", .address = "10.0.0.1:80"},
            {.task = second, .run = 1, .leaseUntil = fixture.loop.now() + 5'000, .fence = 1},
            [](const OrderReply &) {});
    fixture.run(100);
    fixture.startTerm();
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(spec, JobProgress{});
    for (const WorkerEntry &entry : roster)
        fixture.scheduler->upsertWorker(entry);
    fixture.run(2'000);
    CHECK(fixture.workers.workersRunning(second).size() == 1);
    CHECK(fixture.workers.startsOf(second) == 1);
}

} // namespace chicorywick::scheduler
