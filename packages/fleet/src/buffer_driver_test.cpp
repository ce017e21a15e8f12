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
        inputs->minStay = 60s;
    }

    BufferDriver makeDriver() const
    {
        return {repository, list, {.inputs = [shared = inputs] { return *shared; }}};
    }

    void need(std::uint32_t instances) { inputs->demands[1] = {"p", instances, instances}; }

    std::size_t sizeOf(const std::string &pool) const
    {
        const std::size_t members = repository.members(pool).value().size();
        CHECK(repository.pool(pool).value().value.data().memberCount == members);
        return members;
    }
};

} // namespace

// Guards against a loan that never returns, returns early, or leaves a pool row behind.
TEST_CASE_FIXTURE(BufferFixture, "the driver lends what is needed and takes it back later")
{
    need(3);
    CHECK(first.step(clock.now()).value() == 3);
    CHECK(sizeOf("p") == 3);
    need(0);
    time->advance(50s);
    CHECK(first.step(clock.now()).value() == 0);
    time->advance(10s);
    CHECK(second.step(clock.now()).value() == 3);
    CHECK(sizeOf("spare") == 6);
}

// Guards against two drivers that both answer the same lack.
TEST_CASE_FIXTURE(BufferFixture, "two drivers at once lend no more than is needed")
{
    for (int round = 0; round < 20; ++round) {
        need(round % 2 == 0 ? 3 : 0);
        std::thread other([&] { static_cast<void>(second.step(clock.now())); });
        static_cast<void>(first.step(clock.now()));
        other.join();
        CHECK(sizeOf("p") <= 3);
        CHECK(sizeOf("p") + sizeOf("spare") == 6);
        time->advance(70s);
    }
}

// Guards against a hysteresis that a restarted driver does not know of.
TEST_CASE_FIXTURE(BufferFixture, "a driver restarts with the moves that another has recorded")
{
    need(2);
    CHECK(first.step(clock.now()).value() == 2);
    CHECK(second.step(clock.now()).value() == 0);
    need(0);
    time->advance(30s);
    CHECK(makeDriver().step(clock.now()).value() == 0);
    time->advance(30s);
    CHECK(makeDriver().step(clock.now()).value() == 2);
}

// Guards against lending failed or granted instances and against broken budgets.
TEST_CASE_FIXTURE(BufferFixture, "unavailable instances are not lent")
{
    createWave("w", "spare");
    driver.step(clock.now());
    const std::vector<Grant> grants = repository.pool("spare").value().value.data().grants;
    REQUIRE(grants.size() == 1);
    need(5);
    CHECK(first.step(clock.now()).value() == 3);
    CHECK(repository.instance(grants[0].instance.id).value().value.data().pool == "spare");
    CHECK(sizeOf("spare") == 3);
}

// Guards against an operator's move that the driver undoes.
TEST_CASE_FIXTURE(BufferFixture, "an instance that an operator has moved is not taken back")
{
    need(1);
    CHECK(first.step(clock.now()).value() == 1);
    const std::string id = repository.members("p").value().at(0).value.data().place.id;
    createPool("q", 1);
    v1::MoveInstanceRequest move;
    move.set_id(id);
    move.set_to_pool("q");
    CHECK(callNew("FleetService", "MoveInstance", move).status == 200);
    need(0);
    time->advance(1h);
    CHECK(first.step(clock.now()).value() == 0);
    CHECK(sizeOf("q") == 1);
}

// Guards against decisions on a fleet whose state is not known.
TEST_CASE_FIXTURE(BufferFixture, "an old instance list stops all moves")
{
    need(3);
    const base::TimePoint later = clock.now() + 1h;
    CHECK(first.step(later).value() == 0);
    CHECK(sizeOf("p") == 0);
}

} // namespace chicorywick::fleet
