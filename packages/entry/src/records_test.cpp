#include <chicorywick/entry/records.h>

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

} // namespace chicorywick::entry
