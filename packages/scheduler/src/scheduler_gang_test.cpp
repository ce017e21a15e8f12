#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

constexpr Millis kGangWorkMs = 2'000;
// Two tasks of this size do not fit on one worker of the fixture.
constexpr Resources kMemberSize{.cpuMillis = 9'000, .memoryMib = 1'000};

StepSpec gang()
{
    return {.taskCount = 2, .demand = kMemberSize, .estimatedMs = kGangWorkMs, .isGang = true};
}

// Both members fit on one worker, but must not share it.
StepSpec gangOnePerWorker()
{
    StepSpec limited = step(2);
    limited.isGang = true;
    limited.maxPerWorker = 1;
    return limited;
}

StepSpec nextStep()
{
    return {.taskCount = 1, .demand = kMemberSize, .estimatedMs = kGangWorkMs, .after = {0}};
}

const TaskId kFirst{.job = "a", .step = 0, .index = 0};
const TaskId kSecond{.job = "a", .step = 0, .index = 1};
const TaskId kNext{.job = "a", .step = 1, .index = 0};

/// @brief A fixture with two workers that run a gang; the time is just before its common end.
struct GangFixture : SchedulerFixture
{
    static constexpr Millis kBeforeEndMs = 10;

    std::map<TaskId, Millis> startedAt;

    GangFixture()
    {
        workers.workMs = kGangWorkMs;
        workers.onStarted = [this](const std::string & /*worker*/, const TaskId &task,
                                   bool /*isLate*/) { startedAt[task] = loop.now(); };
        addWorkers(2);
        submit("a", {gang(), nextStep()});
        run(1'000);
        REQUIRE(startedAt.contains(kFirst));
        REQUIRE(startedAt[kFirst] == startedAt[kSecond]);
        loop.runUntil(startedAt[kFirst] + kGangWorkMs - kBeforeEndMs);
    }

    std::string workerOf(const TaskId &task) const
    {
        const auto running = workers.workersRunning(task);
        REQUIRE(running.size() == 1);
        return running.front();
    }

    // Checks that the gang has run once and that the job completes.
    void checkCompletes()
    {
        run(20'000);
        CHECK(scheduler->stateOf("a") == JobState::Completed);
        CHECK(stored["a"].state == JobState::Completed);
        CHECK(workers.startsOf(kFirst) == 1);
        CHECK(workers.startsOf(kSecond) == 1);
        CHECK(workers.startsOf(kNext) == 1);
        CHECK(workers.runningCount() == 0);
        CHECK(workers.violations().empty());
    }
};

} // namespace

// Guards against a job that waits for ever: the other member cannot start again without the first.
TEST_CASE("a gang is done if the worker of a member crashes before its end is listed")
{
    GangFixture fixture;
    const std::string worker = fixture.workerOf(kSecond);
    fixture.workers.crash(worker);
    fixture.run(3'000);
    fixture.scheduler->upsertWorker(fixture.workers.add(worker, "s", kWorkerSize));
    fixture.checkCompletes();
}

// Guards against a finished member that starts again because its end is listed late.
TEST_CASE("an end that a cut-off member lists after the gang is done changes nothing")
{
    GangFixture fixture;
    const std::string worker = fixture.workerOf(kSecond);
    fixture.workers.setReachable(worker, false);
    fixture.run(1'000);
    CHECK(fixture.workers.startsOf(kNext) == 1);
    fixture.workers.setReachable(worker, true);
    fixture.checkCompletes();
    CHECK(fixture.workers.acknowledgedEnds() == 3);
}

// Guards against a member that runs on after the end of its gang, and counts as a failed attempt.
TEST_CASE("members that still run when their gang is done are stopped")
{
    SchedulerFixture fixture;
    fixture.workers.onStarted = [&fixture](const std::string & /*worker*/, const TaskId &task,
                                           bool /*isLate*/) {
        fixture.workers.workMs = task == kSecond ? 60'000 : kGangWorkMs;
    };
    fixture.addWorkers(2);
    fixture.submit("a", {gang(), nextStep()});
    fixture.run(kGangWorkMs + 1'000);
    CHECK(fixture.workers.workersRunning(kSecond).empty());
    CHECK(fixture.workers.runningCount() == 1);
    REQUIRE(fixture.stored["a"].open.size() == 1);
    CHECK(fixture.stored["a"].open[0].doneTasks[0] == IndexSet{0, 1});
    CHECK(fixture.stored["a"].open[0].failedRuns.empty());
    CHECK(fixture.stored["a"].open[0].crashes.empty());
    fixture.run(kGangWorkMs + 1'000);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
    CHECK(fixture.workers.startsOf(kSecond) == 1);
}

// Guards against an end that is acknowledged before the progress of the other members is stored.
TEST_CASE("the end of a gang is acknowledged only after all members are stored as done")
{
    GangFixture fixture;
    fixture.isStoreUp = false;
    fixture.workers.crash(fixture.workerOf(kSecond));
    fixture.run(1'000);
    CHECK(fixture.workers.acknowledgedEnds() == 0);
    fixture.isStoreUp = true;
    fixture.run(500);
    CHECK(fixture.workers.acknowledgedEnds() == 1);
    CHECK(fixture.stored["a"].open[0].doneTasks[0] == IndexSet{0, 1});
}

// Guards against a new leader that waits for the members which a stored row lacks.
TEST_CASE("a new leader finishes a gang of which one member is stored as done")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = kGangWorkMs;
    const JobProgress partly{.state = JobState::Running,
                             .begunOccurrences = 1,
                             .open = {{.number = 0, .doneTasks = {{0}}}}};
    fixture.scheduler->addJob(fixture.spec("a", {gang(), nextStep()}), partly);
    fixture.scheduler->addJob(fixture.spec("b", {gang()}), partly);
    fixture.addWorkers(2);
    CHECK(fixture.scheduler->stateOf("b") == JobState::Completed);
    fixture.run(20'000);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
    CHECK(fixture.workers.startsOf(kSecond) == 0);
    CHECK(fixture.workers.startsOf(kNext) == 1);
    CHECK(fixture.stored["a"].state == JobState::Completed);
    CHECK(fixture.stored["b"].state == JobState::Completed);
}

// Guards against a leader that lets a member run on after another leader has stored the gang's end.
TEST_CASE("one member that another leader has stored as done finishes a running gang")
{
    GangFixture fixture;
    fixture.scheduler->mergeStoredProgress("a", {.state = JobState::Running,
                                                 .begunOccurrences = 1,
                                                 .open = {{.number = 0, .doneTasks = {{1}}}}});
    CHECK(fixture.scheduler->progressOf("a")->open[0].doneTasks[0] == IndexSet{0, 1});
    fixture.checkCompletes();
}

// Guards against members of one placement that share a worker beyond the limit of their step.
TEST_CASE("a gang waits until its members can keep to the limit of their step per worker")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = kGangWorkMs;
    fixture.addWorkers(1);
    fixture.submit("a", {gangOnePerWorker()});
    fixture.run(3'000);
    CHECK(fixture.workers.startsOf(kFirst) == 0);
    CHECK(fixture.workers.startsOf(kSecond) == 0);
    fixture.scheduler->upsertWorker(fixture.workers.add("w1", "s", kWorkerSize));
    fixture.run(1'000);
    CHECK(fixture.workers.tasksOn("w0").size() == 1);
    CHECK(fixture.workers.tasksOn("w1").size() == 1);
    fixture.run(3'000);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
}

// Guards against a limit that counts only the members which are placed already.
TEST_CASE("the members of a gang with a limit of one per worker start on two workers")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = kGangWorkMs;
    fixture.addWorkers(2);
    fixture.submit("a", {gangOnePerWorker()});
    fixture.run(1'000);
    CHECK(fixture.workers.tasksOn("w0").size() == 1);
    CHECK(fixture.workers.tasksOn("w1").size() == 1);
}

// Guards against a gang that is spread over racks although one rack has room for all its members.
TEST_CASE("the members of a gang that needs one rack are placed in the same rack")
{
    SchedulerFixture fixture;
    const auto addInRack = [&fixture](const std::string &id, const std::string &rack,
                                      Resources size) {
        fixture.scheduler->upsertWorker(fixture.workers.add(id, "s", size, {rack}));
    };
    fixture.workers.workMs = kGangWorkMs;
    StepSpec oneRack = gang();
    oneRack.needsOneRack = true;
    addInRack("w0", "r0", {.cpuMillis = 10'000, .memoryMib = 32'768});
    addInRack("w1", "r1", {.cpuMillis = 12'000, .memoryMib = 32'768});
    addInRack("w2", "r0", kWorkerSize);
    fixture.run(100);
    fixture.submit("a", {oneRack});
    fixture.run(1'000);
    CHECK(fixture.workers.tasksOn("w0").size() == 1);
    CHECK(fixture.workers.tasksOn("w2").size() == 1);
}

} // namespace chicorywick::scheduler
