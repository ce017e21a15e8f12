#include "cell_leadership.h"
#include "controller_fixture.h"
#include "fleet_stand_in.h"
#include "watched_table.h"

#include <chicorywick/entry/layout.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr scheduler::Resources kSmall{.cpuMillis = 1'000, .memoryMib = 100};

/// @brief One daemon that leads all cells of a layout, over a fleet of three services.
struct Fixture
{
    explicit Fixture(const CellLayout &cellLayout)
        : layout(cellLayout)
    {
        store(layout::cellLayoutRow(), encode(layout));
    }

    void start()
    {
        Configuration configuration{.version = 1,
                                    .services = {{FleetStandIn::kSparePool, {.isSpare = true}}}};
        for (const char *const service : {"s", "t"}) {
            configuration.routes.push_back({.host = "h", .policy = policyOf(service)});
            configuration.services[service] = {};
        }
        cells->configure(configuration);
        cells->setReady(true);
        cells->start([](const CellLayout &) {});
    }

    static scheduler::QueuePolicy policyOf(const std::string &service)
    {
        return {.name = "q-" + service, .service = service, .maxAttempts = 3};
    }

    /// @brief Stores a job whose id belongs to a cell; returns the id.
    std::string addJob(int cell, const std::string &service, const scheduler::StepSpec &step)
    {
        std::string id;
        do
            id = "job" + std::to_string(++jobs);
        while (layout.cellOfJob(id) != cell);
        scheduler::JobSpec spec{.id = id,
                                .queue = "q-" + service,
                                .payload = "p",
                                .steps = {step},
                                .submittedWall = systemNow().wall,
                                .acceptedPolicy = policyOf(service)};
        const RowKey key = CellRows(cell, layout.count()).jobRow(id);
        store(key, encode(spec));
        cells->applyStored(cell, table.rows.at(key));
        return id;
    }

    /// @brief A job that lasts, with one task a worker.
    std::string addLastingJob(int cell, const std::string &service, int tasks)
    {
        return addJob(cell, service,
                      {.taskCount = tasks,
                       .demand = kSmall,
                       .isPerpetual = true,
                       .maxPerWorker = 1,
                       .maxUnavailable = 1});
    }

    Row storedCancellation(int cell, const std::string &job)
    {
        const RowKey key = CellRows(cell, layout.count()).cancelRow(job);
        store(key, "{}");
        return table.rows.at(key);
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

    CellLayout layout;
    boost::asio::io_context loop;
    WatchedTable table{loop};
    FleetStandIn fleet{loop};
    SilentOperators operators;
    int jobs = 0;
    std::shared_ptr<PeerClient> peers = std::make_shared<PeerClient>(loop, "10.0.0.2:1");
    std::shared_ptr<CellLeadership> cells = std::make_shared<CellLeadership>(
            NodeSettings{.name = "own", .peers = {.host = "10.0.0.2", .port = 1}},
            ControllerPorts{.loop = &loop,
                            .table = &table,
                            .discovery = &fleet,
                            .orders = &fleet,
                            .machines = &fleet,
                            .operators = &operators},
            peers, "1");
};

} // namespace

// Guards against lasting tasks that wait for an idle machine while other pools are busy.
TEST_CASE("a lasting task gets a machine although no machine of its cell becomes idle")
{
    Fixture fixture(CellLayout(1, {{"r", 0}}));
    for (const char *const machine : {"a", "b"})
        fixture.fleet.addMachine(machine, "r", "s");
    for (const char *const machine : {"c", "d", "e", "f"})
        fixture.fleet.addMachine(machine, "r", "t");
    fixture.start();
    const std::string finite =
            fixture.addJob(0, "t", {.taskCount = 4'000, .demand = kSmall, .estimatedMs = 200});
    fixture.fleet.durations[finite] = 200;
    const std::string lasting = fixture.addLastingJob(0, "s", 3);
    CHECK(fixture.runUntil(10s, [&] { return fixture.fleet.runningTasks(lasting) == 3; }));
    CHECK(fixture.fleet.doubleRuns().empty());
}

// Guards against lasting tasks that wait in one cell while another cell has machines without work
// (LOST on hhbma-wick-grown).
TEST_CASE("a lasting task gets a machine of another cell that its own cell does not have")
{
    Fixture fixture(CellLayout(2, {{"r0", 0}, {"r1", 1}}));
    std::string idlePool;
    int returnedTasks = 0; // two machines stay in each pool of a cell
    SUBCASE("from the pool of its service")
    {
        idlePool = "s";
        returnedTasks = 6;
    }
    SUBCASE("from another pool")
    {
        idlePool = "t";
        returnedTasks = 4;
    }
    for (const char *const machine : {"a", "b", "c", "d", "e", "f"})
        fixture.fleet.addMachine(machine, "r0", idlePool);
    for (const char *const machine : {"x", "y"})
        fixture.fleet.addMachine(machine, "r1", "s");
    fixture.start();
    const std::string lasting = fixture.addLastingJob(1, "s", 4);
    CHECK(fixture.runUntil(15s, [&] { return fixture.fleet.runningTasks(lasting) == 4; }));
    // The machines come back for a job of their former cell, with higher fencing tokens.
    fixture.cells->applyStored(1, fixture.storedCancellation(1, lasting));
    const std::string returned = fixture.addLastingJob(0, "s", returnedTasks);
    CHECK(fixture.runUntil(20s,
                           [&] { return fixture.fleet.runningTasks(returned) == returnedTasks; }));
    CHECK(fixture.fleet.doubleRuns().empty());
    CHECK(!fixture.fleet.hasLowerFence());
}

} // namespace chicorywick::entry
