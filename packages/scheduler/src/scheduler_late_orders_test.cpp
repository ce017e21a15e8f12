#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

namespace {

constexpr Millis kLateMs = 3'000;
constexpr Millis kNeverMs = 600'000;

StepSpec perpetualStep(int tasks)
{
    StepSpec perpetual = step(tasks);
    perpetual.isPerpetual = true;
    perpetual.maxPerWorker = 1;
    perpetual.maxUnavailable = 1;
    return perpetual;
}

// Two workers; the one that runs the only task of a job falls silent. A renewal that it has
// executed late keeps the run at work beyond the lease that the scheduler knows.
struct SilentWorkerFixture : SchedulerFixture
{
    explicit SilentWorkerFixture(Millis leaseMs)
    {
        workers.workMs = 0;
        addWorkers(2);
        submit("a", {perpetualStep(1)});
        run(2'000);
        const auto workerIds = workers.workersRunning(task);
        REQUIRE(workerIds.size() == 1);
        silent = workerIds[0];
        other = silent == "w0" ? "w1" : "w0";
        workers.renew({.id = silent, .address = "10.0.0.1:80"},
                      {.leaseUntil = loop.now() + leaseMs, .fence = term},
                      [](const RenewReply &) {});
        run(100);
        workers.setReachable(silent, false);
    }

    TaskId task{.job = "a"};
    std::string silent;
    std::string other;
};

// A start of the first run of a task that is carried out late.
void startFirstRunOn(SchedulerFixture &fixture, const std::string &worker, const TaskId &task)
{
    fixture.workers.start({.id = worker, .address = "10.0.0.1:80"},
                          {.task = task,
                           .run = 1,
                           .leaseUntil = fixture.loop.now() + 30'000,
                           .fence = fixture.term},
                          [](const OrderReply &) {});
}

} // namespace

// Guards against ending a run that its worker took late, in favour of one that is not at work yet.
TEST_CASE("a perpetual run that starts late is kept although its stop is due")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.run(500);
    int stopsExecuted = 0;
    fixture.workers.onEnded = [&](const std::string &, const EndedTask &, Millis, bool) {
        ++stopsExecuted;
    };
    fixture.workers.lateness = [](OrderKind kind, const TaskId &,
                                  std::int64_t) -> std::optional<Millis> {
        return kind == OrderKind::Start ? kLateMs : kNeverMs;
    };
    fixture.submit("a", {perpetualStep(1)});
    fixture.run(kLateMs + 200);
    const TaskId task{.job = "a"};
    REQUIRE(fixture.workers.workersRunning(task).size() == 1);
    fixture.workers.lateness = nullptr;
    fixture.run(10'000);
    CHECK(fixture.workers.workersRunning(task).size() == 1);
    CHECK(fixture.workers.startsOf(task) == 1);
    CHECK(stopsExecuted == 0);
}

// Guards against ending the run at work for one whose start order has no answer.
TEST_CASE("a perpetual run at work is kept while the run that replaced it has not started")
{
    for (const Millis silentMs : {Millis{6'000}, Millis{9'000}}) {
        CAPTURE(silentMs);
        SilentWorkerFixture fixture(60'000);
        fixture.workers.lateness = [](OrderKind, const TaskId &,
                                      std::int64_t) -> std::optional<Millis> { return kNeverMs; };
        fixture.run(silentMs);
        fixture.workers.setReachable(fixture.silent, true);
        fixture.run(2'500);
        fixture.workers.lateness = nullptr;
        fixture.run(5'000);
        CHECK(fixture.workers.workersRunning(fixture.task) == std::vector{fixture.silent});
        CHECK(fixture.workers.startsOf(fixture.task) == 1);
    }
}

// Guards against a stop that is sent again after others of the step have become unavailable.
TEST_CASE("a stop for maintenance without an answer is not repeated over the disruption budget")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(4);
    fixture.submit("a", {perpetualStep(3)});
    fixture.run(4'000);
    const TaskId drained{.job = "a", .index = 0};
    const TaskId other{.job = "a", .index = 1};
    const auto drainedOn = fixture.workers.workersRunning(drained);
    const auto otherOn = fixture.workers.workersRunning(other);
    REQUIRE(drainedOn.size() == 1);
    REQUIRE(otherOn.size() == 1);
    fixture.workers.lateness = [](OrderKind kind, const TaskId &,
                                  std::int64_t) -> std::optional<Millis> {
        return kind == OrderKind::Stop ? std::optional(kNeverMs) : std::nullopt;
    };
    fixture.scheduler->setCordoned(drainedOn[0], CordonReason::Maintenance, true);
    fixture.run(200);
    fixture.workers.setReachable(otherOn[0], false);
    fixture.run(2'500);
    REQUIRE(fixture.workers.workersRunning(drained) == drainedOn);
    fixture.workers.lateness = nullptr;
    fixture.run(1'000);
    CHECK(fixture.workers.workersRunning(drained) == drainedOn);
    fixture.workers.setReachable(otherOn[0], true);
    fixture.run(15'000);
    CHECK(fixture.workers.startsOf(drained) == 2);
}

// Guards against a lapse of the only run at work: its stop had no answer, and the run that replaced
// it is lost.
TEST_CASE("a perpetual run that is kept beside the assigned one keeps its lease")
{
    SilentWorkerFixture fixture(11'000);
    fixture.run(8'000);
    REQUIRE(fixture.workers.startsOf(fixture.task) == 2);
    fixture.workers.lateness = [](OrderKind kind, const TaskId &,
                                  std::int64_t) -> std::optional<Millis> {
        return kind == OrderKind::Stop ? std::optional(kNeverMs) : std::nullopt;
    };
    fixture.workers.setReachable(fixture.silent, true);
    fixture.run(2'000);
    fixture.workers.setReachable(fixture.other, false);
    fixture.run(8'000);
    CHECK(fixture.workers.tasksOn(fixture.silent) == std::vector{fixture.task});
    CHECK(fixture.workers.startsOf(fixture.task) == 2);
}

// Guards against a move or maintenance of a machine that is taken for idle while a run that was
// given up is still there.
TEST_CASE("a worker whose run is not stopped yet does not count as empty")
{
    SilentWorkerFixture fixture(30'000);
    fixture.run(8'000);
    REQUIRE(fixture.workers.startsOf(fixture.task) == 2);
    fixture.workers.lateness = [](OrderKind, const TaskId &,
                                  std::int64_t) -> std::optional<Millis> { return kNeverMs; };
    fixture.workers.setReachable(fixture.silent, true);
    fixture.run(3'000);
    REQUIRE(fixture.workers.tasksOn(fixture.silent).size() == 1);
    for (const WorkerView &view : fixture.scheduler->workers())
        CHECK(view.tasks == 1);
}

// Guards against a stop that is decided on a list which was read long after it had been written.
TEST_CASE("a perpetual run that started after an old list was written is not stopped")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.run(500);
    int stops = 0;
    fixture.workers.onEnded = [&](const std::string &, const EndedTask &, Millis, bool) {
        ++stops;
    };
    fixture.workers.lateness = [](OrderKind kind, const TaskId &,
                                  std::int64_t) -> std::optional<Millis> {
        return kind == OrderKind::Start ? std::optional<Millis>(800) : std::nullopt;
    };
    fixture.workers.replyDelayMs = 2'000;
    fixture.submit("a", {perpetualStep(1)});
    fixture.run(4'500);
    const TaskId task{.job = "a"};
    REQUIRE(fixture.workers.startsOf(task) == 1);
    fixture.workers.replyDelayMs = 0;
    fixture.run(3'000);
    CHECK(fixture.workers.startsOf(task) == 1);
    CHECK(stops == 0);
}

// Guards against a second run that stays for ever in the room that another task of the step needs.
TEST_CASE("a second run of a perpetual task is stopped although others of its step wait")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(3);
    fixture.submit("a", {perpetualStep(3)});
    fixture.run(4'000);
    const TaskId first{.job = "a", .index = 0};
    const TaskId second{.job = "a", .index = 1};
    const auto secondOn = fixture.workers.workersRunning(second);
    REQUIRE(secondOn.size() == 1);
    const WorkerEntry restarted = fixture.workers.add(secondOn[0], "s", kWorkerSize);
    fixture.workers.start({.id = secondOn[0], .address = "10.0.0.1:80"},
                          {.task = first,
                           .run = 9,
                           .leaseUntil = fixture.loop.now() + 30'000,
                           .fence = fixture.term},
                          [](const OrderReply &) {});
    fixture.run(10);
    REQUIRE(fixture.workers.workersRunning(first).size() == 2);
    fixture.scheduler->upsertWorker(restarted);
    fixture.run(10'000);
    CHECK(fixture.workers.workersRunning(first).size() == 1);
    CHECK(fixture.workers.workersRunning(second) == secondOn);
}

// Guards against a task that is done and is started again because a former run is listed.
TEST_CASE("a run of a task that is done is stopped")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 1'000;
    fixture.addWorkers(2);
    fixture.submit("a", {step(1), step(1, {0})});
    const TaskId task{.job = "a"};
    fixture.run(500);
    REQUIRE(fixture.workers.workersRunning(task).size() == 1);
    const std::string other = fixture.workers.workersRunning(task)[0] == "w0" ? "w1" : "w0";
    fixture.workers.workMs = 0;
    fixture.run(1'500);
    REQUIRE(fixture.workers.workersRunning(task).empty());
    startFirstRunOn(fixture, other, task);
    fixture.run(10);
    REQUIRE(fixture.workers.workersRunning(task).size() == 1);
    fixture.run(3'000);
    CHECK(fixture.workers.workersRunning(task).empty());
    CHECK(fixture.scheduler->stateOf("a") == JobState::Running);
}

// Guards against two runs of a perpetual task: a former run is listed after the task was done and
// has started again.
TEST_CASE("a former run of a perpetual task that was done is stopped once the next one is at work")
{
    SchedulerFixture fixture;
    fixture.workers.outcome = [](const TaskId &, std::int64_t) { return EndKind::Done; };
    fixture.workers.workMs = 1'000;
    fixture.addWorkers(2);
    fixture.submit("a", {perpetualStep(1)});
    const TaskId task{.job = "a"};
    fixture.run(500);
    REQUIRE(fixture.workers.workersRunning(task).size() == 1);
    fixture.workers.workMs = 0;
    fixture.run(4'000); // a perpetual task is at work after its start-up
    const auto current = fixture.workers.workersRunning(task);
    REQUIRE(current.size() == 1);
    startFirstRunOn(fixture, current[0] == "w0" ? "w1" : "w0", task);
    fixture.run(10);
    REQUIRE(fixture.workers.workersRunning(task).size() == 2);
    fixture.run(5'000);
    CHECK(fixture.workers.workersRunning(task) == current);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Running);
}

// Guards against the end of every task of a healthy worker after two renewals without an answer.
TEST_CASE("two renewals without an answer do not let the lease of a worker lapse")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.submit("a", {step(2)});
    fixture.run(3'000);
    fixture.workers.setFaults({.lateRenewal = 1});
    fixture.run(2'500);
    fixture.workers.setFaults({});
    fixture.run(5'000);
    CHECK(fixture.workers.tasksOn("w0").size() == 2);
    CHECK(fixture.workers.startsOf({.job = "a", .index = 0}) == 1);
}

} // namespace chicorywick::scheduler
