#include "controller_fixture.h"
#include "fleet_stand_in.h"
#include "pool_balancer.h"
#include "watched_table.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

/// @brief The balancer of a cell with idle machines of a pool that another cell lacks.
struct Fixture
{
    explicit Fixture(int machines = 3, int missing = 1)
        : shortage(missing)
    {
        scheduler.setQueues({policy});
        for (int i = 0; i < machines; ++i)
            fleet.addMachine("m" + std::to_string(i), "r0", "s");
        fleet.load([this](const base::Result<WorkerList> &list) {
            for (const scheduler::WorkerEntry &entry : list.value().present)
                scheduler.upsertWorker(entry);
            scheduler.rosterStored(scheduler.roster());
        });
        ledger->load([] {});
        balancer->configure(
                {.routes = {{.policy = policy}},
                 .services = {{FleetStandIn::kSparePool, {.isSpare = true}}, {"s", {}}}});
        run(600ms); // the machines count as idle
    }
    ~Fixture() { ledger->stop(); }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    void run(std::chrono::milliseconds duration)
    {
        loop.restart();
        loop.run_for(duration);
    }
    void tick(int count)
    {
        for (int i = 0; i < count; ++i) {
            balancer->tick();
            run(50ms);
        }
    }
    std::vector<scheduler::WorkerView> cordoned() const
    {
        auto views = scheduler.workers();
        std::erase_if(views, [](const auto &view) { return !view.isCordoned; });
        return views;
    }

    int shortage;
    const scheduler::QueuePolicy policy{.name = "q", .service = "s"};
    const Cell cell{.layout = CellLayout(2, {{"r0", 0}, {"r1", 1}}), .number = 0};
    boost::asio::io_context loop;
    WatchedTable table{loop};
    FleetStandIn fleet{loop};
    int kept = 0;
    bool mayOrder = true;
    scheduler::Scheduler scheduler{
            fleet, {.clock = systemNow, .maySendOrders = [] { return true; }}, {.fence = 1}};
    std::shared_ptr<MachineLedger> ledger = std::make_shared<MachineLedger>(
            loop, table, cell, 1,
            MachineLedgerHooks{.clock = [] { return systemNow().steady; },
                               .mayWrite = [] { return true; },
                               .onReceived = [] {}});
    MachineInventory inventory{fleet, systemNow, cell, ledger};
    std::shared_ptr<PoolBalancer> balancer = std::make_shared<PoolBalancer>(
            fleet,
            ControllerHooks{
                    .clock = systemNow,
                    .maySendOrders = [this] { return mayOrder; },
                    .otherCells =
                            [this] {
                                return std::vector<CellNeeds>{
                                        {.cell = 1,
                                         .machines = {.shortages = {{"s", {.total = shortage}}}}}};
                            }},
            scheduler, inventory, 1,
            LendingPorts{.ledger = ledger,
                         .maintainedFor = [](const auto &) { return std::set<std::int64_t>(); },
                         .onMachinesKept = [this] { ++kept; }});
};

} // namespace

// Guards against tasks on a worker that joins, or restarts, while its machine is being transferred:
// the other cell would stop them, and they would start twice.
TEST_CASE("a worker that joins a machine during its transfer gets nothing from the former owner")
{
    Fixture fixture;
    fixture.table.fate = WatchedTable::Fate::AnswerLost;
    fixture.tick(4);
    const auto cordoned = fixture.cordoned();
    REQUIRE(cordoned.size() == 1);
    const scheduler::WorkerEntry worker = cordoned[0].entry;
    CHECK(!fixture.balancer->isLeaving(worker));
    scheduler::WorkerEntry restarted = worker;
    ++restarted.incarnation;
    CHECK(fixture.balancer->isLeaving(restarted));
    scheduler::WorkerEntry next = worker;
    next.id = "next";
    CHECK(fixture.balancer->isLeaving(next));
    fixture.scheduler.upsertWorker(next); // as if it had joined just before
    fixture.table.fate = WatchedTable::Fate::Answered;
    fixture.run(200ms);
    fixture.tick(1);
    REQUIRE(fixture.ledger->hasLeft(worker.machine));
    for (const scheduler::WorkerView &view : fixture.scheduler.workers())
        CHECK((view.entry.machine != worker.machine || !view.isUsable));
    CHECK(fixture.kept == 0);
}

// Guards against machines that stand cordoned while their leader may not order any.
TEST_CASE("a machine that waits for its transfer works again when no machine can be ordered")
{
    Fixture fixture;
    fixture.table.fate = WatchedTable::Fate::Rejected;
    fixture.balancer->tick();
    fixture.run(20ms);
    fixture.balancer->tick(); // plans the transfer
    REQUIRE(fixture.cordoned().size() == 1);
    fixture.mayOrder = false;
    fixture.balancer->tick();
    CHECK(fixture.cordoned().empty());
    CHECK(fixture.kept == 1);
}

// Guards against a transfer of so many machines that the store rejects it, again and again.
TEST_CASE("machines that wait for a slow store are transferred in several writes")
{
    constexpr int kMachines = 230;
    constexpr int kMissing = 200;
    constexpr std::size_t kMaxRows = 99; // of a transaction, with one condition
    Fixture fixture(kMachines, kMissing);
    fixture.table.fate = WatchedTable::Fate::Rejected;
    fixture.tick(6);
    fixture.table.fate = WatchedTable::Fate::Answered;
    std::size_t largest = 0;
    for (int i = 0; i < 10; ++i) {
        fixture.tick(2);
        largest = std::max(largest, fixture.table.lastTransaction.writes.size());
    }
    CHECK(largest > 1);
    CHECK(largest <= kMaxRows);
    int left = 0;
    for (int i = 0; i < kMachines; ++i)
        left += fixture.ledger->hasLeft("m" + std::to_string(i)) ? 1 : 0;
    CHECK(left >= kMissing);
}

} // namespace chicorywick::entry
