#include "fleet_fixture.h"

#include <chicorywick/fleet/buffer_driver.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

namespace chicorywick::fleet {

using namespace std::chrono_literals;

namespace {

struct BufferFixture : FleetFixture
{
    std::shared_ptr<BufferInputs> inputs = std::make_shared<BufferInputs>();
    BufferDriver first = makeDriver();
    BufferDriver second = makeDriver();

    BufferFixture()
    {
        v1::CreatePoolRequest spare;
        spare.set_name("spare");
        spare.set_spare(true);
        spare.mutable_budget()->set_max_unavailable(1);
        callNew("FleetService", "CreatePool", spare);
        createPool("p", 1);
        addInstances("spare", 6);
        inputs->demands = {{"spare", 2, 2}, {"p", 0, 0}};
        inputs->minMoveInterval = 60s;
    }

    BufferDriver makeDriver() const
    {
        return {repository, list, {.inputs = [shared = inputs] { return *shared; }}};
    }

    void setDemand(std::uint32_t instances) { inputs->demands[1] = {"p", instances, instances}; }

    std::size_t sizeOf(const std::string &pool) const
    {
        const std::size_t members = repository.members(pool).value().size();
        CHECK(repository.pool(pool).value().value.data().memberCount == members);
        return members;
    }
};

} // namespace

// Guards against a loan that never returns, returns before the minimum interval between moves, or
// leaves the member count of a pool row wrong.
TEST_CASE_FIXTURE(BufferFixture, "the driver lends needed instances and reclaims them later")
{
    setDemand(3);
    CHECK(first.step(clock.now()).value() == 3);
    CHECK(sizeOf("p") == 3);
    setDemand(0);
    time->advance(50s);
    CHECK(first.step(clock.now()).value() == 0);
    time->advance(10s);
    CHECK(second.step(clock.now()).value() == 3);
    CHECK(sizeOf("spare") == 6);
}

// Guards against excess loans when two drivers act on the same shortage at the same time.
TEST_CASE_FIXTURE(BufferFixture, "two concurrent drivers lend no more than is needed")
{
    for (int round = 0; round < 20; ++round) {
        setDemand(round % 2 == 0 ? 3 : 0);
        std::thread other([&] { static_cast<void>(second.step(clock.now())); });
        static_cast<void>(first.step(clock.now()));
        other.join();
        CHECK(sizeOf("p") <= 3);
        CHECK(sizeOf("p") + sizeOf("spare") == 6);
        time->advance(70s);
    }
}

// Guards against early returns after a restart. A new driver must read the time of the last move
// from the table.
TEST_CASE_FIXTURE(BufferFixture, "a new driver respects the moves that another has recorded")
{
    setDemand(2);
    CHECK(first.step(clock.now()).value() == 2);
    CHECK(second.step(clock.now()).value() == 0);
    setDemand(0);
    time->advance(30s);
    CHECK(makeDriver().step(clock.now()).value() == 0);
    time->advance(30s);
    CHECK(makeDriver().step(clock.now()).value() == 2);
}

// Guards against lending an instance that a wave is maintaining, and against exceeding the spare
// pool's budget.
TEST_CASE_FIXTURE(BufferFixture, "unavailable instances are not lent")
{
    createWave("w", "spare");
    driver.step(clock.now());
    const std::vector<Grant> grants = repository.pool("spare").value().value.data().grants;
    REQUIRE(grants.size() == 1);
    setDemand(5);
    CHECK(first.step(clock.now()).value() == 3);
    CHECK(repository.instance(grants[0].instance.id).value().value.data().pool == "spare");
    CHECK(sizeOf("spare") == 3);
}

// Guards against a driver that reverts an operator's move because the instance still has a loan
// row.
TEST_CASE_FIXTURE(BufferFixture, "an instance that an operator has moved is not reclaimed")
{
    setDemand(1);
    CHECK(first.step(clock.now()).value() == 1);
    const std::string id = repository.members("p").value().at(0).value.data().place.id;
    createPool("q", 1);
    v1::MoveInstanceRequest move;
    move.set_id(id);
    move.set_to_pool("q");
    CHECK(callNew("FleetService", "MoveInstance", move).status == 200);
    setDemand(0);
    time->advance(1h);
    CHECK(first.step(clock.now()).value() == 0);
    CHECK(sizeOf("q") == 1);
}

// Guards against moves based on an outdated instance list, which does not show the current health.
TEST_CASE_FIXTURE(BufferFixture, "an old instance list stops all moves")
{
    setDemand(3);
    const base::TimePoint later = clock.now() + 1h;
    CHECK(first.step(later).value() == 0);
    CHECK(sizeOf("p") == 0);
}

} // namespace chicorywick::fleet
