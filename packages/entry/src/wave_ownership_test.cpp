#include "controller_fixture.h"
#include "fleet_stand_in.h"
#include "machine_ledger.h"
#include "watched_table.h"
#include "wave_runner.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kWave = 1;

/// @brief The ledgers of two cells, and the wave runner of the second one.
struct Fixture
{
    Fixture()
    {
        fleet.addSpareMachine("m", "r0");
        lender->load([] {});
        borrower->load([] {});
        run(100ms);
    }
    ~Fixture()
    {
        lender->stop();
        borrower->stop();
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    std::shared_ptr<MachineLedger> ledgerOf(int cell)
    {
        return std::make_shared<MachineLedger>(
                loop, table, Cell{.layout = layout, .number = cell}, cell + 1,
                MachineLedgerHooks{.clock = [] { return systemNow().steady; },
                                   .mayWrite = [] { return true; },
                                   .onReceived = [] {}});
    }
    void run(std::chrono::milliseconds duration)
    {
        loop.restart();
        loop.run_for(duration);
    }
    bool isStoredAsDone() const
    {
        const auto row = table.rows.find(CellRows(1, layout.count()).waveRow(kWave));
        if (row == table.rows.end())
            return false;
        const auto progress = decodeWaveProgress(row->second.value);
        return progress && progress.value().isDone;
    }

    CellLayout layout{2, {{"r0", 0}, {"r1", 1}}};
    boost::asio::io_context loop;
    WatchedTable table{loop};
    FleetStandIn fleet{loop};
    SilentOperators operators;
    std::shared_ptr<MachineLedger> lender = ledgerOf(0);
    std::shared_ptr<MachineLedger> borrower = ledgerOf(1);
    scheduler::Scheduler scheduler{
            fleet, {.clock = systemNow, .maySendOrders = [] { return true; }}, {.fence = 2}};
    MachineInventory inventory{fleet, systemNow, Cell{.layout = layout, .number = 1}, borrower};
    std::shared_ptr<WaveRunner> runner = std::make_shared<WaveRunner>(
            WaveRunnerPorts{.machines = &fleet, .operators = &operators, .table = &table},
            ControllerHooks{.clock = systemNow, .maySendOrders = [] { return true; }}, scheduler,
            inventory, Cell{.layout = layout, .number = 1}, 2, borrower);
};

} // namespace

// Guards against a wave that is completed without the maintenance of a machine that another cell
// has just transferred to this one.
TEST_CASE("a cell does not finish a wave before the machines that it receives are maintained")
{
    Fixture fixture;
    fixture.inventory.refresh(0);
    fixture.run(50ms);
    fixture.lender->transfer({{"m", {.cell = 1, .pool = "s", .minFence = 10}}}, [](bool) {});
    REQUIRE(!fixture.borrower->owns("m", "r0")); // its watch has not shown the transfer yet
    fixture.runner->setWaves(
            {{.number = kWave, .machines = {"m"}, .durationMs = 60'000, .maxAtOnce = 2}});
    constexpr int kTicks = 80;
    for (int tick = 0; tick < kTicks && !fixture.isStoredAsDone(); ++tick) {
        fixture.runner->tick();
        if (fixture.isStoredAsDone())
            CHECK(fixture.fleet.maintained.contains("m"));
        fixture.run(100ms);
    }
    CHECK(fixture.isStoredAsDone());
    CHECK(fixture.fleet.maintained.contains("m"));
    fixture.runner->tick();
    CHECK(!fixture.runner->isInOpenWave("m"));
}

// Guards against a wave that never ends, and a machine that is drained again, because a maintained
// machine has changed its cell.
TEST_CASE("a machine that was maintained before it changed its cell is not maintained again")
{
    Fixture fixture;
    fixture.inventory.refresh(0);
    fixture.run(50ms);
    fixture.lender->transfer(
            {{"m", {.cell = 1, .pool = "s", .minFence = 10, .maintainedFor = {kWave}}}},
            [](bool) {});
    fixture.run(100ms);
    REQUIRE(fixture.borrower->owns("m", "r0"));
    fixture.runner->setWaves(
            {{.number = kWave, .machines = {"m"}, .durationMs = 60'000, .maxAtOnce = 2}});
    constexpr int kTicks = 5;
    for (int tick = 0; tick < kTicks; ++tick) {
        fixture.runner->tick();
        fixture.run(50ms);
    }
    CHECK(fixture.isStoredAsDone());
    CHECK(fixture.fleet.maintained.empty());
    CHECK(fixture.runner->maintainedFor("m") == std::set<std::int64_t>{kWave});
}

} // namespace chicorywick::entry
