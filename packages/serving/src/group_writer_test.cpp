#include "group_writer.h"

#include <chicorywick/platform/memory_platform.h>

#include <doctest/doctest.h>

using namespace chicorywick;
using namespace chicorywick::serving;

namespace {

struct TableFixture
{
    std::shared_ptr<platform::MemoryPlatform> memory = std::make_shared<platform::MemoryPlatform>();
    platform::Table table{platform::MemoryAccess{memory, "a"}};
    GroupWriter writer{table, {.maxWaiting = 8}};
};

GroupWriter::Write writeOf(const std::string &key)
{
    auto write = std::make_shared<PendingWrite>();
    write->key = key;
    write->value = "mine";
    return write;
}

} // namespace

// Guards against rejecting unrelated requests because one claim in their transaction conflicts.
TEST_CASE("a conflict of one write does not fail the others of its group")
{
    TableFixture fixture;
    REQUIRE(fixture.table.commit({"other", {{"b", 0}}, {{"b", "theirs"}}, {}}));
    const auto first = writeOf("a");
    const auto second = writeOf("b");
    const auto third = writeOf("c");
    for (const auto &write : {first, second, third})
        REQUIRE(fixture.writer.submit(write));
    CHECK(fixture.writer.step().size() == 3);
    CHECK(first->state == WriteState::Written);
    CHECK(second->state == WriteState::Conflict);
    CHECK(second->found->value == "theirs");
    CHECK(third->state == WriteState::Written);
    CHECK(fixture.writer.counters().transactions == 2);
}

// Guards against a transaction with two puts to one row when two requests use the same key.
TEST_CASE("two writes of one row do not share a transaction")
{
    TableFixture fixture;
    const auto first = writeOf("a");
    const auto second = writeOf("a");
    REQUIRE(fixture.writer.submit(first));
    REQUIRE(fixture.writer.submit(second));
    CHECK(fixture.writer.step().size() == 1);
    CHECK(fixture.writer.step().size() == 1);
    CHECK(first->state == WriteState::Written);
    CHECK(second->state == WriteState::Conflict);
}

// Guards against sending a request whose claim may not exist: the outcome of a commit is unknown
// and the rows do not show whether it was applied.
TEST_CASE("a commit without a reply that cannot be resolved is not reported as written")
{
    TableFixture fixture;
    platform::FaultPlan faults;
    faults.table.loseRequest = 1;
    fixture.memory->setFaults(faults);
    const auto write = writeOf("a");
    REQUIRE(fixture.writer.submit(write));
    fixture.writer.step();
    CHECK(write->state == WriteState::Unresolved);
}

// Guards against claiming a key for a request that was already rejected, and against unbounded
// memory use.
TEST_CASE("a withdrawn write does not reach the table, and the queue is bounded")
{
    TableFixture fixture;
    const auto write = writeOf("a");
    REQUIRE(fixture.writer.submit(write));
    CHECK(fixture.writer.await(write, base::Duration::zero(), true) == WriteState::Waiting);
    for (int i = 0; i < 7; ++i)
        CHECK(fixture.writer.submit(writeOf("k" + std::to_string(i))));
    CHECK_FALSE(fixture.writer.submit(writeOf("z")));
    CHECK(fixture.writer.step().size() == 7);
    CHECK_FALSE(fixture.table.get("a").value());
}
