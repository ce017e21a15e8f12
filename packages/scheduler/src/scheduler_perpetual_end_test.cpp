#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

/// @brief A perpetual job "a" whose first runs end as done after half a second; later ones go on.
struct PerpetualEndFixture : SchedulerFixture
{
    PerpetualEndFixture()
    {
        workers.outcome = [](const TaskId &, std::int64_t) { return EndKind::Done; };
        addWorkers(4);
    }

    void submitPerpetual(StepSpec perpetual)
    {
        perpetual.isPerpetual = true;
        submit("a", {perpetual});
        run(300);
        workers.workMs = 0;
    }
};

} // namespace

// Guards against a perpetual task that stands still once its program has exited without an error,
// and against a job that is shown as completed although nobody has cancelled it (review/9).
TEST_CASE("perpetual tasks that end as done start again and do not complete their job")
{
    PerpetualEndFixture fixture;
    fixture.submitPerpetual(step(3));
    REQUIRE(fixture.workers.runningCount() == 3);
    fixture.run(2'000);
    for (int index = 0; index < 3; ++index) {
        CAPTURE(index);
        CHECK(fixture.workers.startsOf({.job = "a", .index = index}) == 2);
    }
    CHECK(fixture.workers.runningCount() == 3);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Running);
    CHECK(fixture.workers.acknowledgedEnds() == 3);
    CHECK(fixture.workers.violations().empty());
    fixture.scheduler->cancelJob("a");
    fixture.run(2'000);
    CHECK(fixture.workers.runningCount() == 0);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Cancelled);
}

// Guards against a start after an end as done was taken note of (review/9).
TEST_CASE("the end of a perpetual task as done is acknowledged once the task has started again")
{
    PerpetualEndFixture fixture;
    fixture.submitPerpetual(step(1));
    int acknowledgedAtRestart = -1;
    fixture.workers.onStarted = [&](const std::string &, const TaskId &, bool) {
        acknowledgedAtRestart = fixture.workers.acknowledgedEnds();
    };
    fixture.run(2'000);
    CHECK(acknowledgedAtRestart == 0);
    CHECK(fixture.workers.acknowledgedEnds() == 1);
}

// Guards against a gang that waits for ever for members whose ends are never listed: one end as
// done represents all.
TEST_CASE("a perpetual gang starts again when one end shows that it is done")
{
    PerpetualEndFixture fixture;
    StepSpec gang = step(2);
    gang.isGang = true;
    gang.maxPerWorker = 1;
    const TaskId first{.job = "a", .index = 0};
    const TaskId second{.job = "a", .index = 1};
    fixture.workers.onStarted = [&fixture](const std::string &, const TaskId &task, bool) {
        fixture.workers.workMs = task.index == 0 && fixture.workers.startsOf(task) == 1 ? 500 : 0;
    };
    fixture.submitPerpetual(gang);
    REQUIRE(fixture.workers.runningCount() == 2);
    fixture.run(3'000);
    CHECK(fixture.workers.startsOf(first) == 2);
    CHECK(fixture.workers.startsOf(second) == 2);
    CHECK(fixture.workers.runningCount() == 2);
    CHECK(fixture.workers.violations().empty());
}

// Guards against a new leader that takes the end of an earlier run for the end of the present one,
// and against tasks that a former version has stored as done.
TEST_CASE("a new leader starts perpetual tasks again that have ended as done")
{
    PerpetualEndFixture fixture;
    fixture.isStoreUp = false;
    StepSpec perpetual = step(3);
    perpetual.isPerpetual = true;
    const JobSpec spec = fixture.spec("a", {perpetual});
    fixture.scheduler->addJob(spec, std::nullopt);
    fixture.run(300);
    REQUIRE(fixture.workers.runningCount() == 3);
    const auto roster = fixture.scheduler->roster();
    fixture.maySendOrders = false; // the ends are not read before the next leader is there
    fixture.run(400);
    fixture.workers.workMs = 0;
    fixture.maySendOrders = true;
    fixture.isStoreUp = true;
    fixture.startTerm();
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(spec, JobProgress{.state = JobState::Running,
                                                .begunOccurrences = 1,
                                                .open = {{.number = 0, .doneTasks = {{1}}}}});
    for (const WorkerEntry &entry : roster)
        fixture.scheduler->upsertWorker(entry);
    fixture.run(7'000);
    CHECK(fixture.workers.runningCount() == 3);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Running);
    CHECK(fixture.workers.violations().empty());
}

// Guards against a leader that takes a perpetual task out of service because another one, of a
// former version, has stored it as done.
TEST_CASE("stored progress does not finish perpetual tasks")
{
    PerpetualEndFixture fixture;
    fixture.submitPerpetual(step(2));
    fixture.run(1'000);
    fixture.scheduler->mergeStoredProgress("a", {.state = JobState::Running,
                                                 .begunOccurrences = 1,
                                                 .open = {{.number = 0, .doneTasks = {{0}}}}});
    fixture.run(1'000);
    CHECK(fixture.workers.runningCount() == 2);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Running);
}

} // namespace chicorywick::scheduler
