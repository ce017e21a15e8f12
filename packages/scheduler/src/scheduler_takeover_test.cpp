#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

// Guards against a new leader that starts tasks which still run on workers of its predecessor.
TEST_CASE("a new leader adopts running tasks and starts none twice")
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

// Guards against machines that stand idle for tasks which cannot start until a lease has expired.
TEST_CASE("tasks that a silent worker may run ask for machines only shortly before they can start")
{
    constexpr Millis kLeaseMs = 4'000;
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(3);
    const JobSpec spec = fixture.spec("a", {step(40)});
    fixture.scheduler->addJob(spec, std::nullopt);
    fixture.run(1'000);
    const auto roster = fixture.scheduler->roster();
    fixture.workers.setReachable("w1", false);
    fixture.previousLeaseMs = kLeaseMs;
    fixture.startTerm();
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(spec, JobProgress{});
    for (const WorkerEntry &entry : roster)
        if (entry.id != "w1")
            fixture.scheduler->upsertWorker(entry);
    const auto waitingCpu = [&fixture] { return fixture.scheduler->loads()["s"].waitingCpuMillis; };
    CHECK(waitingCpu() > 0);
    fixture.run(1'000);
    CHECK(waitingCpu() == 0);
    fixture.run(kLeaseMs - 1'000);
    CHECK(waitingCpu() > 0);
}

// Guards against a new leader that removes rows of ended jobs before callers have read them.
TEST_CASE("a new leader keeps ended jobs for the full retention time")
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

// Guards against a leader that returns after a network partition and overwrites the end of a job
// that its successor has stored with its own outdated progress.
TEST_CASE("ends of tasks and whole jobs stored by another leader are applied")
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
    CHECK(fixture.scheduler->progressOf("b")->open[0].doneTasks[0] == IndexSet{1});
}

// Guards against a cancelled job that is shown as completed: its stored progress lists no open
// occurrence, as does that of a job whose tasks are all done.
TEST_CASE("a cancellation stored by another leader is applied")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.submit("a", {step(2)});
    fixture.run(500);
    REQUIRE(fixture.workers.runningCount() == 2);
    fixture.scheduler->mergeStoredProgress("a",
                                           {.state = JobState::Cancelled, .begunOccurrences = 1});
    CHECK(fixture.scheduler->stateOf("a") == JobState::Cancelled);
    fixture.run(1'000);
    CHECK(fixture.workers.runningCount() == 0);
}

// Guards against waiting for the lease of a worker whose machine already runs another one, and
// against a new leader that waits for workers which ended long ago.
TEST_CASE("a new worker on the same machine shows that the previous one has ended")
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

// Guards against a new leader that has not received the ends of the preceding steps, stops a
// running task of a later step, and starts it again while the first run is still there.
TEST_CASE("a new leader adopts running tasks whose preceding steps seem unfinished")
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

// Guards against attempts beyond the maximum: a leader that returns after a partition overwrote the
// failed and crashed runs that its successor had stored.
TEST_CASE("failed and crashed runs stored by another leader are kept")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.submit("a", {step(2)});
    fixture.submit("b", {step(1)});
    fixture.run(500);
    const OccurrenceProgress lost{.number = 0,
                                  .doneTasks = {{}},
                                  .failedRuns = {{{0, 0}, {1}}},
                                  .crashes = {{{0, 1}, {.runs = {2}, .startingRuns = {2}}}}};
    fixture.scheduler->mergeStoredProgress(
            "a", {.state = JobState::Running, .begunOccurrences = 1, .open = {lost}});
    fixture.run(100);
    REQUIRE(fixture.stored["a"].open.size() == 1);
    CHECK(fixture.stored["a"].open[0].failedRuns == lost.failedRuns);
    CHECK(fixture.stored["a"].open[0].crashes == lost.crashes);
    // The queue allows two attempts.
    fixture.scheduler->mergeStoredProgress(
            "b", {.state = JobState::Running,
                  .begunOccurrences = 1,
                  .open = {{.number = 0, .doneTasks = {{}}, .failedRuns = {{{0, 0}, {1, 2}}}}}});
    CHECK(fixture.scheduler->stateOf("b") == JobState::Failed);
}

// Guards against a failed run that does not count because its number was given out before.
TEST_CASE("run numbers merged from another leader are not used again")
{
    SchedulerFixture fixture;
    fixture.addWorkers(2);
    int starts = 0;
    fixture.workers.outcome = [&starts](const TaskId &, std::int64_t) {
        ++starts;
        return EndKind::Failed;
    };
    fixture.workers.workMs = 100;
    fixture.maySendOrders = false;
    fixture.submit("a", {step(1)});
    fixture.scheduler->mergeStoredProgress(
            "a", {.state = JobState::Running,
                  .begunOccurrences = 1,
                  .open = {{.number = 0, .doneTasks = {{}}, .failedRuns = {{{0, 0}, {1}}}}}});
    fixture.maySendOrders = true;
    fixture.run(3'000);
    CHECK(starts == 1); // the queue allows two attempts
}

} // namespace chicorywick::scheduler
