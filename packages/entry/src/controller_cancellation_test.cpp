#include "controller_fixture.h"

#include <chicorywick/entry/layout.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

// Guards against starts after an acknowledged cancellation when a stalled watch delivers the rows
// of a job and of its cancellation together.
TEST_CASE("a job whose cancellation arrives with it starts no task")
{
    ControllerFixture fixture;
    fixture.startTerm();
    fixture.answerWatch(RowPage{.rows = {fixture.jobRow("a")}});
    REQUIRE(fixture.workers.hasStarted("a"));
    fixture.answerWatch(RowPage{.rows = {fixture.jobRow("b"), fixture.cancelRow("b")}});
    CHECK(!fixture.workers.hasStarted("b"));
    CHECK(fixture.controller->reportedState("b") == scheduler::JobState::Cancelled);
    const Row &progress = fixture.table.rows[fixture.rows.progressRow("b")];
    REQUIRE(decodeProgress(progress.value).has_value());
    CHECK(decodeProgress(progress.value).value().state == scheduler::JobState::Cancelled);
}

// Guards against the same starts when the announcement of the job's row is late or lost.
TEST_CASE("a job whose cancellation was announced before it starts no task")
{
    ControllerFixture fixture;
    fixture.startTerm();
    fixture.controller->applyStored(fixture.cancelRow("a"));
    fixture.controller->applyStored(fixture.jobRow("a"));
    fixture.run();
    CHECK(!fixture.workers.hasStarted("a"));
    CHECK(fixture.controller->reportedState("a") == scheduler::JobState::Cancelled);
}

// Guards against the same starts when the store has dropped the history that the watch needs.
TEST_CASE("a cancelled job that is first read after a loss of history starts no task")
{
    ControllerFixture fixture;
    fixture.startTerm();
    fixture.store(fixture.jobRow("a"));
    fixture.store(fixture.cancelRow("a"));
    fixture.answerWatch(base::makeError(base::Code::HistoryUnavailable));
    CHECK(!fixture.workers.hasStarted("a"));
    CHECK(fixture.controller->reportedState("a") == scheduler::JobState::Cancelled);
}

// Guards against tasks of a cancelled job that run on because the leader which started them is
// gone.
TEST_CASE("a new leader stops the tasks of a job that was cancelled before it loaded")
{
    ControllerFixture fixture;
    fixture.store(fixture.jobRow("a"));
    fixture.store(fixture.cancelRow("a"));
    fixture.store({.key = fixture.rows.progressRow("a"),
                   .value = encode(scheduler::JobProgress{.state = scheduler::JobState::Running,
                                                          .begunOccurrences = 1,
                                                          .open = {{.doneTasks = {{}}}}})});
    fixture.workers.running.push_back({.task = {.job = "a"}, .run = 1});
    fixture.startTerm();
    CHECK(fixture.workers.hasStopped("a"));
    CHECK(!fixture.workers.hasStarted("a"));
    CHECK(fixture.controller->reportedState("a") == scheduler::JobState::Cancelled);
}

// Guards against the same starts if more rows are stored meanwhile than one answer holds.
TEST_CASE("a cancellation after many rows that are stored while the leader loads takes effect")
{
    ControllerFixture fixture;
    fixture.table.maxWatchRows = 2;
    std::string id = "a";
    while (fixture.rows.jobRow(id).part != fixture.rows.jobPart(0))
        id += 'a';
    fixture.store(fixture.jobRow(id));
    fixture.table.onRead = [&](const RowRange &range) {
        if (range.part != fixture.rows.jobPart(1))
            return;
        for (const char *other : {"b", "c", "d"})
            fixture.store(fixture.jobRow(other));
        fixture.store(fixture.cancelRow(id));
    };
    fixture.startTerm();
    REQUIRE(fixture.controller->isLoaded());
    CHECK(!fixture.workers.hasStarted(id));
    CHECK(fixture.controller->reportedState(id) == scheduler::JobState::Cancelled);
}

// Guards against starts after an acknowledged cancellation when its announcement is lost and the
// watch is not answered, while the lease holds.
TEST_CASE("no task starts while the stored cancellations are not known")
{
    ControllerFixture fixture;
    fixture.startTerm();
    fixture.answerWatch(RowPage{});
    fixture.table.isSilent = true;
    fixture.now += ControllerFixture::kMaxJobsAgeMs + 1;
    fixture.controller->applyStored(fixture.jobRow("a"));
    fixture.store(fixture.cancelRow("a"));
    fixture.run();
    CHECK(!fixture.workers.hasStarted("a"));
    fixture.answerWatch(RowPage{.rows = {fixture.cancelRow("a")}});
    CHECK(fixture.controller->reportedState("a") == scheduler::JobState::Cancelled);
    CHECK(!fixture.workers.hasStarted("a"));
}

// Guards against a start that waits for a connection until the view has become too old.
TEST_CASE("the permission of a start ends with the age of the view")
{
    ControllerFixture fixture;
    fixture.startTerm();
    const scheduler::Millis knownUntil = fixture.now;
    fixture.table.isSilent = true;
    fixture.now += ControllerFixture::kMaxJobsAgeMs / 2;
    fixture.controller->applyStored(fixture.jobRow("a"));
    fixture.run();
    REQUIRE(fixture.workers.hasStarted("a"));
    CHECK(fixture.workers.startValidity.until == knownUntil + ControllerFixture::kMaxJobsAgeMs + 1);
}

// Guards against waiting tasks that never start again once the watch is answered.
TEST_CASE("tasks start again once the stored cancellations are known")
{
    ControllerFixture fixture;
    fixture.startTerm();
    fixture.table.isSilent = true;
    fixture.now += ControllerFixture::kMaxJobsAgeMs + 1;
    fixture.controller->applyStored(fixture.jobRow("a"));
    fixture.run();
    REQUIRE(!fixture.workers.hasStarted("a"));
    fixture.answerWatch(RowPage{});
    fixture.table.isSilent = false;
    fixture.loop.restart();
    fixture.loop.run_for(std::chrono::milliseconds(1'000));
    CHECK(fixture.workers.hasStarted("a"));
}

// Guards against rows of unknown jobs that accumulate, and against their early removal: a
// submission can be carried out seconds after its cancellation.
TEST_CASE("the cancellation of a job that is never stored is removed after the retention time")
{
    ControllerFixture fixture;
    fixture.startTerm();
    fixture.store(fixture.cancelRow("a"));
    fixture.controller->applyStored(fixture.cancelRow("a"));
    fixture.now += ControllerFixture::kRetentionMs - 1;
    fixture.run();
    CHECK(fixture.table.rows.contains(fixture.rows.cancelRow("a")));
    fixture.now += 1;
    fixture.run();
    CHECK(!fixture.table.rows.contains(fixture.rows.cancelRow("a")));
}

// Guards against the same rows after a change of leaders.
TEST_CASE("a new leader removes the cancellation of a job that is never stored")
{
    ControllerFixture fixture;
    fixture.store(fixture.cancelRow("a"));
    fixture.startTerm();
    fixture.now += ControllerFixture::kRetentionMs;
    fixture.run();
    CHECK(!fixture.table.rows.contains(fixture.rows.cancelRow("a")));
}

// Guards against a job that runs after its cancellation was repeated, or whose rows stay after the
// retention time, because its submission was stored late.
TEST_CASE("a cancellation outlives a job that is stored after it")
{
    ControllerFixture fixture;
    fixture.startTerm();
    fixture.store(fixture.cancelRow("a"));
    fixture.controller->applyStored(fixture.cancelRow("a"));
    fixture.now += ControllerFixture::kRetentionMs - 1;
    fixture.controller->applyStored(fixture.cancelRow("a"));
    fixture.now += 1;
    fixture.run();
    CHECK(fixture.table.rows.contains(fixture.rows.cancelRow("a")));
    fixture.store(fixture.jobRow("a"));
    fixture.controller->applyStored(fixture.jobRow("a"));
    fixture.now += ControllerFixture::kRetentionMs;
    fixture.run();
    CHECK(!fixture.workers.hasStarted("a"));
    CHECK(fixture.table.rows.contains(fixture.rows.cancelRow("a")));
    fixture.now += 1;
    fixture.run();
    CHECK(!fixture.table.rows.contains(fixture.rows.jobRow("a")));
    CHECK(!fixture.table.rows.contains(fixture.rows.cancelRow("a")));
}

// Guards against starts of a cancelled job whose cancellation was announced while the new leader
// loaded, before the first watch of the jobs table is answered.
TEST_CASE("a cancellation that is announced while the leader loads takes effect")
{
    ControllerFixture fixture;
    fixture.store(fixture.jobRow("a"));
    fixture.discovery.isHeld = true;
    fixture.startTerm();
    REQUIRE(!fixture.controller->isLoaded());
    fixture.controller->applyStored(fixture.cancelRow("a"));
    fixture.discovery.release();
    fixture.run();
    REQUIRE(fixture.controller->isLoaded());
    CHECK(!fixture.workers.hasStarted("a"));
    CHECK(fixture.controller->reportedState("a") == scheduler::JobState::Cancelled);
}

// Guards against the same starts if the announcement does not reach the new leader.
TEST_CASE("a cancellation that is stored while the leader loads takes effect")
{
    ControllerFixture fixture;
    std::string id = "a";
    while (fixture.rows.jobRow(id).part != fixture.rows.jobPart(0))
        id += 'a';
    fixture.store(fixture.jobRow(id));
    fixture.table.onRead = [&](const RowRange &range) {
        if (range.part == fixture.rows.jobPart(1))
            fixture.store(fixture.cancelRow(id));
    };
    fixture.startTerm();
    REQUIRE(fixture.controller->isLoaded());
    CHECK(!fixture.workers.hasStarted(id));
    CHECK(fixture.controller->reportedState(id) == scheduler::JobState::Cancelled);
}

} // namespace chicorywick::entry
