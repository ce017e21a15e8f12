#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

const Millis kMaxAgeMs = SchedulerSettings().maxJobsAgeMs;

int runningTasks(const SchedulerFixture &fixture)
{
    int tasks = 0;
    for (const WorkerView &worker : fixture.scheduler->workers())
        tasks += worker.tasks;
    return tasks;
}

} // namespace

// Guards against tasks of cancelled jobs that start because a successor step is unblocked on an old
// view.
TEST_CASE("on an old view of the stored jobs, tasks end and no task starts")
{
    SchedulerFixture fixture;
    fixture.addWorkers(1);
    fixture.run(500);
    fixture.submit("j", {step(2), step(2, {0})});
    fixture.run(100);
    REQUIRE(runningTasks(fixture) == 2);
    fixture.jobsAgeMs = kMaxAgeMs + 1;
    fixture.run(3'000);
    CHECK(runningTasks(fixture) == 0);
    CHECK(fixture.scheduler->stateOf("j") == JobState::Running);
    fixture.jobsAgeMs = kMaxAgeMs;
    fixture.run(3'000);
    CHECK(fixture.scheduler->stateOf("j") == JobState::Completed);
}

// Guards against tasks of cancelled jobs that run on while the view is old.
TEST_CASE("on an old view of the stored jobs, stops are sent and leases are renewed")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 60'000;
    fixture.addWorkers(1);
    fixture.run(500);
    fixture.submit("a", {step(1)});
    fixture.submit("b", {step(1)});
    fixture.run(500);
    fixture.jobsAgeMs = kMaxAgeMs + 1;
    fixture.scheduler->cancelJob("a");
    fixture.run(10'000);
    CHECK(runningTasks(fixture) == 1);
    CHECK(fixture.scheduler->stateOf("b") == JobState::Running);
}

} // namespace chicorywick::scheduler
