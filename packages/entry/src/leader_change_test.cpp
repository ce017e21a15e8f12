#include "cell_leadership.h"
#include "controller_fixture.h"
#include "fleet_stand_in.h"
#include "watched_table.h"

#include <chicorywick/entry/layout.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr int kSpareMachines = 12;
constexpr scheduler::Millis kTaskMs = 30'000;

/// @brief Daemons that take turns in leading one cell of two services and a spare pool.
struct Fixture
{
    Fixture()
    {
        store(layout::cellLayoutRow(), encode(CellLayout()));
        for (const char *const machine : {"a", "b"})
            fleet.addMachine(machine, "r", "s");
        for (const char *const machine : {"c", "d"})
            fleet.addMachine(machine, "r", "t");
        for (int i = 0; i < kSpareMachines; ++i)
            fleet.addSpareMachine("spare" + std::to_string(i), "r");
    }

    std::shared_ptr<CellLeadership> startDaemon(const std::string &name)
    {
        auto cells = std::make_shared<CellLeadership>(
                NodeSettings{.name = name, .peers = {.host = "10.0.0.2", .port = 1}},
                ControllerPorts{.loop = &loop,
                                .table = &table,
                                .discovery = &fleet,
                                .orders = &fleet,
                                .machines = &fleet,
                                .operators = &operators},
                std::make_shared<PeerClient>(loop, "10.0.0.2:1"), "1");
        Configuration configuration{.version = 1,
                                    .services = {{FleetStandIn::kSparePool, {.isSpare = true}}}};
        for (const char *const service : {"s", "t"}) {
            configuration.routes.push_back({.host = "h", .policy = policyOf(service)});
            configuration.services[service] = {};
        }
        cells->configure(configuration);
        cells->setReady(true);
        cells->start([](const CellLayout &) {});
        return cells;
    }

    static scheduler::QueuePolicy policyOf(const std::string &service)
    {
        return {.name = "q-" + service, .service = service, .maxAttempts = 3};
    }

    /// @brief Stores a job each of whose tasks needs a whole machine.
    void addJob(const std::string &id, const std::string &service, int tasks)
    {
        fleet.durations[id] = kTaskMs;
        const scheduler::JobSpec spec{.id = id,
                                      .queue = "q-" + service,
                                      .payload = "p",
                                      .steps = {{.taskCount = tasks,
                                                 .demand = FleetStandIn::kMachineSize,
                                                 .estimatedMs = kTaskMs}},
                                      .submittedWall = systemNow().wall,
                                      .acceptedPolicy = policyOf(service)};
        store(CellRows(0, 1).jobRow(id), encode(spec));
    }

    void store(const RowKey &key, const std::string &value)
    {
        table.transact({.writes = {{.key = key, .value = value}}}, 1ms, [](const auto &) {});
    }

    /// @brief Runs until a condition holds; returns false if it does not within the time limit.
    bool runUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(20ms);
        }
        return condition();
    }

    std::size_t movesTo(const std::string &pool) const
    {
        return static_cast<std::size_t>(
                std::count_if(fleet.moves.begin(), fleet.moves.end(),
                              [&pool](const auto &move) { return move.pool == pool; }));
    }

    /// @brief The shortest time between two leaders' orders for one machine.
    scheduler::Millis shortestTurn() const
    {
        scheduler::Millis shortest = std::numeric_limits<scheduler::Millis>::max();
        for (const auto &first : fleet.moves)
            for (const auto &second : fleet.moves)
                if (first.machine == second.machine && first.fence < second.fence)
                    shortest = std::min(shortest, second.at - first.at);
        return shortest;
    }

    boost::asio::io_context loop;
    WatchedTable table{loop};
    FleetStandIn fleet{loop};
    SilentOperators operators;
};

} // namespace

// Guards against a queue that peaks at a change of leaders and stays without machines (SHORT on
// hhbma-wick).
TEST_CASE("a new leader moves machines at once that its predecessor has not ordered")
{
    Fixture fixture;
    const auto former = fixture.startDaemon("former");
    fixture.addJob("first", "s", 6);
    REQUIRE(fixture.runUntil(6s, [&] { return fixture.fleet.runningTasks("first") == 6; }));
    const auto successor = fixture.startDaemon("successor");
    fixture.runUntil(300ms, [] { return false; });
    former->release();
    fixture.addJob("second", "t", 6);
    CHECK(fixture.runUntil(1s, [&] { return fixture.movesTo("t") >= 4; }));
    CHECK(fixture.runUntil(2s, [&] { return fixture.fleet.runningTasks("second") == 6; }));
    CHECK(fixture.shortestTurn() >= 3'000);
}

// Guards against a wait that begins anew with each of several changes of leaders in a row.
TEST_CASE("machines move while leaders change every second")
{
    Fixture fixture;
    auto leader = fixture.startDaemon("leader0");
    fixture.addJob("first", "s", 4);
    REQUIRE(fixture.runUntil(6s, [&] { return fixture.fleet.runningTasks("first") == 4; }));
    for (int change = 1; change <= 3; ++change) {
        const auto next = fixture.startDaemon("leader" + std::to_string(change));
        fixture.runUntil(200ms, [] { return false; });
        leader->release();
        leader = next;
        if (change == 1)
            fixture.addJob("second", "t", 8);
        fixture.runUntil(800ms, [] { return false; });
    }
    CHECK(fixture.movesTo("t") >= 6);
    CHECK(fixture.shortestTurn() >= 3'000);
}

} // namespace chicorywick::entry
