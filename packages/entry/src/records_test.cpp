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

} // namespace chicorywick::entry
