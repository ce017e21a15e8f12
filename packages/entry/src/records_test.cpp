#include <chicorywick/entry/records.h>
#include <chicorywick/entry/table.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

// Guards against a new leader that does not learn on which services tasks of a job may run.
TEST_CASE("the services of a job's queue are stored with its progress")
{
    const scheduler::JobProgress progress{
            .state = scheduler::JobState::Running, .begunOccurrences = 1, .services = {"s", "t"}};
    const auto decoded = decodeProgress(encode(progress));
    REQUIRE(decoded);
    CHECK(decoded.value() == progress);
}

// Guards against a leader that cannot read the rows of a former version.
TEST_CASE("progress without services is read")
{
    const auto decoded = decodeProgress(R"({"state":"running","begun":1})");
    REQUIRE(decoded);
    CHECK(decoded.value().services.empty());
}

// Guards against a new leader that does not learn which workers have restarted under their id, and
// against rosters of former versions that it cannot read.
TEST_CASE("a roster tells which workers have restarted")
{
    scheduler::WorkerEntry fresh{
            .id = "a", .service = "s", .address = "x:1", .machine = "m", .incarnation = 5};
    scheduler::WorkerEntry restarted = fresh;
    restarted.id = "b";
    restarted.hasRestarted = true;
    const auto decoded = decodeRoster(encode(std::vector{fresh, restarted}));
    REQUIRE(decoded);
    CHECK(decoded.value() == std::vector{fresh, restarted});
    const auto former = decodeRoster(R"([["a","s","x:1","m",5]])");
    REQUIRE(former);
    CHECK(former.value() == std::vector{fresh});
}

// Guards against a leader that orders machines of its predecessor, or that takes the row of a
// former version for one without orders.
TEST_CASE("a leader row tells which machines are reserved")
{
    LeaderRecord record{.holder = "a#1", .peerAddress = "a:1"};
    record.reservedMachines = {.waitMs = {{"m", 2'500}}, .waitOfAllMs = 10};
    record.transfersKnownUntil = 7;
    const auto decoded = decodeLeader(encode(record));
    REQUIRE(decoded);
    CHECK(decoded.value() == record);
    record.reservedMachines = ReservedMachines{};
    CHECK(decodeLeader(encode(record)).value() == record);
    const auto former = decodeLeader(R"({"holder":"a#1","peer":"a:1","term":1,"beat":1})");
    REQUIRE(former);
    CHECK(!former.value().reservedMachines);
}

// Guards against a new leader that does not learn whose job it runs, and against job rows of former
// versions that it cannot read.
TEST_CASE("the account of a job is stored with it")
{
    const scheduler::JobSpec spec{.id = "j", .queue = "q", .account = "a"};
    const auto decoded = decodeJob(encode(spec));
    REQUIRE(decoded);
    CHECK(decoded.value() == spec);
    const auto former =
            decodeJob(R"({"id":"j","queue":"q","payload":"","submitted":0,"steps":[]})");
    REQUIRE(former);
    CHECK(former.value().account.empty());
}

// Guards against progress that no row can hold, which would keep that of all jobs from being
// stored.
TEST_CASE("progress is reduced to the size of a row by leaving out lost runs")
{
    scheduler::JobProgress progress{.state = scheduler::JobState::Running, .begunOccurrences = 1};
    scheduler::OccurrenceProgress open{.doneTasks = {{1, 2}}};
    for (int index = 0; index < 8'000; ++index)
        open.failedRuns[{0, index}] = {1};
    open.failedRuns[{0, 9'000}] = {1, 2};
    progress.open.push_back(open);
    const std::string text = encodeWithin(progress, kMaxRowBytes);
    CHECK(text.size() <= kMaxRowBytes);
    const auto decoded = decodeProgress(text);
    REQUIRE(decoded);
    CHECK(decoded.value().open[0].doneTasks == open.doneTasks);
    CHECK(decoded.value().open[0].failedRuns.size() == 1);
    CHECK(decoded.value().open[0].failedRuns.at({0, 9'000}).size() == 2);
}

} // namespace chicorywick::entry
