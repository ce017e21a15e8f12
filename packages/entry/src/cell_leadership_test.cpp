#include "cell_leadership.h"
#include "controller_fixture.h"

#include <chicorywick/entry/layout.h>

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

/// @brief One cell that another daemon leads.
struct Fixture
{
    boost::asio::io_context loop;
    FakeTable table;
    RecordingWorkers workers{loop};
    FakeDiscovery discovery;
    SilentMachines machines;
    SilentOperators operators;
    std::shared_ptr<PeerClient> peers = std::make_shared<PeerClient>(loop, "10.0.0.2:1");
    std::shared_ptr<CellLeadership> cells = std::make_shared<CellLeadership>(
            NodeSettings{.name = "own", .peers = {.host = "10.0.0.2", .port = 1}},
            ControllerPorts{.loop = &loop,
                            .table = &table,
                            .discovery = &discovery,
                            .orders = &workers,
                            .machines = &machines,
                            .operators = &operators},
            peers, "1");

    void store(const RowKey &key, const std::string &value)
    {
        table.transact({.writes = {{.key = key, .value = value}}}, 1ms, [](const auto &) {});
    }

    void storeLeader(int waitingJobs)
    {
        store(layout::leaderRow(0), encode(LeaderRecord{.holder = "other#1",
                                                        .peerAddress = "10.0.0.1:1",
                                                        .term = 1,
                                                        .waitingJobs = {{"q", waitingJobs}}}));
    }

    void run(std::chrono::milliseconds duration)
    {
        loop.restart();
        loop.run_for(duration);
    }
};

} // namespace

// Guards against messages to a former leader because the connection of the watch is silent.
TEST_CASE("a changed leader row is read while the watch of the rows has no answer")
{
    Fixture fixture;
    fixture.store(layout::cellLayoutRow(), encode(CellLayout()));
    fixture.storeLeader(3);
    fixture.cells->start([](const CellLayout &) {});
    REQUIRE(fixture.cells->waitingJobs("q") == 3);
    fixture.storeLeader(5);
    fixture.run(1'300ms);
    CHECK(fixture.cells->waitingJobs("q") == 5);
}

} // namespace chicorywick::entry
