#include "fleet_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::fleet {

using namespace std::chrono_literals;

namespace {

v1::UpdatePoolRequest updateOf(const std::string &pool, std::uint32_t maxUnavailable,
                               std::uint64_t expectedVersion)
{
    v1::UpdatePoolRequest request;
    request.set_name(pool);
    request.mutable_budget()->set_max_unavailable(maxUnavailable);
    request.set_expected_version(expectedVersion);
    return request;
}

} // namespace

// Guards against one operator silently overwriting another's change with a write based on an old
// version.
TEST_CASE_FIXTURE(FleetFixture, "a write with an old version conflicts and shows the difference")
{
    createPool("p", 2);
    const std::uint64_t version = repository.pool("p").value().version;
    CHECK(callNew("FleetService", "UpdatePool", updateOf("p", 3, version)).status == 200);
    const auto refused = callNew("FleetService", "UpdatePool", updateOf("p", 5, version));
    CHECK(refused.status == 409);
    CHECK(refused.body.find("budget.max_unavailable: 3 -> 5") != std::string::npos);

    addInstances("p", 2);
    createWave("w", "p");
    const std::uint64_t created = repository.wave("w").value().version;
    CHECK(callWave("PauseWave", "w", created).status == 200);
    const auto late = callWave("AbortWave", "w", created);
    CHECK(late.status == 409);
    CHECK(late.body.find("WAVE_STATE_PAUSED -> WAVE_STATE_ABORTING") != std::string::npos);
}

// Guards against a dry run that writes, or whose result differs from that of the real call.
TEST_CASE_FIXTURE(FleetFixture, "a dry run returns the result and writes nothing")
{
    createPool("a", 1);
    createPool("b", 1);
    addInstances("a", 3);
    const std::uint64_t writes = platform->counters().tableWrites;

    v1::MoveInstanceRequest move;
    move.set_id("i1");
    move.set_to_pool("b");
    move.set_dry_run(true);
    v1::Instance moved;
    REQUIRE(moved.ParseFromString(callNew("FleetService", "MoveInstance", move).body));
    CHECK(moved.row().pool() == "b");
    auto update = updateOf("a", 2, 0);
    update.set_dry_run(true);
    v1::Pool updated;
    REQUIRE(updated.ParseFromString(callNew("FleetService", "UpdatePool", update).body));
    CHECK(updated.allowed_disruptions() == 2);
    v1::CreateWaveRequest create;
    create.set_id("w");
    create.set_pool("a");
    create.set_dry_run(true);
    v1::Wave wave;
    REQUIRE(wave.ParseFromString(callNew("WaveService", "CreateWave", create).body));
    CHECK(wave.row().total() == 3);

    CHECK(platform->counters().tableWrites == writes);
    CHECK(repository.instance("i1").value().value.data().pool == "a");
}

// Guards against moving or removing an instance while a wave still holds its grant.
TEST_CASE_FIXTURE(FleetFixture, "an instance under maintenance is neither moved nor removed")
{
    createPool("a", 1);
    createPool("b", 1);
    addInstances("a", 3);
    createWave("w", "a");
    driver.step(clock.now());
    const std::string id = wave("w").active.at(0);
    v1::MoveInstanceRequest move;
    move.set_id(id);
    move.set_to_pool("b");
    CHECK(callNew("FleetService", "MoveInstance", move).status == 412);
    v1::RemoveInstanceRequest remove;
    remove.set_id(id);
    CHECK(callNew("FleetService", "RemoveInstance", remove).status == 412);
}

// Guards against an instance that counts as a member of two pools after it is added twice or moved.
TEST_CASE_FIXTURE(FleetFixture, "adding to a second pool is refused and moving keeps the counts")
{
    createPool("a", 1);
    createPool("b", 1);
    addInstances("a", 2);
    CHECK(addInstance("b", "i0", "z0", "rack0").status == 412);
    v1::MoveInstanceRequest move;
    move.set_id("i0");
    move.set_to_pool("b");
    CHECK(callNew("FleetService", "MoveInstance", move).status == 200);
    CHECK(repository.pool("a").value().value.data().memberCount == 1);
    CHECK(repository.pool("b").value().value.data().memberCount == 1);
    CHECK(addInstance("a", "bad/name", "z0", "rack0").status == 400);
}

// Guards against a wave that stalls when several instances fail at once. Started instances must
// return to service, since they restore capacity.
TEST_CASE_FIXTURE(FleetFixture, "failures stop new grants but not the steps of started instances")
{
    createPool("p", 3);
    addInstances("p", 12);
    createWave("w", "p");
    driver.step(clock.now());
    CHECK(wave("w").active.size() == 3);
    for (int i = 4; i < 8; ++i)
        platform->failInstance("i" + std::to_string(i));
    time->advance(3s);
    CHECK(runUntil(120s, [&] { return wave("w").done == 3; }));
    runFor(60s);
    CHECK(wave("w").done == 3);
    CHECK(wave("w").active.empty());
    CHECK(wave("w").reason.find("0 granted, 4 failed") != std::string::npos);
}

// Guards against grants based on a listing that is too old to show the current health.
TEST_CASE_FIXTURE(FleetFixture, "without a recent instance list no disruption starts")
{
    createPool("p", 3);
    addInstances("p", 6);
    createWave("w", "p");
    platform->setFaults({.list = {.down = true}});
    runFor(60s);
    CHECK(wave("w").active.empty());
    CHECK(wave("w").reason.find("no recent instance list") != std::string::npos);
    platform->setFaults({});
    CHECK(runUntilEnd("w", 300s));
}

} // namespace chicorywick::fleet
