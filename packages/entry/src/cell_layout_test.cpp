#include <chicorywick/base/rng.h>
#include <chicorywick/entry/layout.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace chicorywick::entry {

namespace {

// A fleet with racks of eight machines in five pools and five zones.
std::vector<CellMachine> makeFleet(int machines)
{
    constexpr int kRackSize = 8;
    std::vector<CellMachine> fleet;
    for (int i = 0; i < machines; ++i) {
        const int rack = i / kRackSize;
        fleet.push_back({.rack = "r" + std::to_string(rack),
                         .pool = "p" + std::to_string(rack % 5),
                         .zone = "z" + std::to_string(rack / 5 % 5)});
    }
    return fleet;
}

} // namespace

// Guards against a cell that gets far more machines, or far fewer machines of a pool, than the
// others: jobs are spread evenly over the cells.
TEST_CASE("cells have similar sizes and similar shares of every pool and zone")
{
    for (const int machines : {1'100, 2'400, 7'400}) {
        CAPTURE(machines);
        const auto fleet = makeFleet(machines);
        const CellLayout layout = planCells(fleet, 280);
        std::map<int, int> sizes;
        std::map<std::pair<int, std::string>, int> shares;
        for (const CellMachine &machine : fleet) {
            const int cell = layout.cellOfRack(machine.rack);
            ++sizes[cell];
            ++shares[{cell, machine.pool}];
            ++shares[{cell, machine.zone}];
        }
        REQUIRE(static_cast<int>(sizes.size()) == layout.count());
        const int mean = machines / layout.count();
        for (const auto &[cell, size] : sizes)
            CHECK(std::abs(size - mean) <= 16);
        for (const auto &[key, share] : shares)
            CHECK(share >= mean / 5 - 24);
    }
}

// Guards against small fleets that are split, and against more tables than the platform allows.
TEST_CASE("the number of cells follows the size of the fleet")
{
    CHECK(planCells({}, 280).count() == 1);
    CHECK(planCells(makeFleet(49), 280).count() == 1);
    CHECK(planCells(makeFleet(280), 280).count() == 1);
    CHECK(planCells(makeFleet(350), 280).count() == 2);
    CHECK(planCells(makeFleet(1'100), 280).count() == 4);
    CHECK(planCells(makeFleet(7'400), 280).count() == 27);
    CHECK(planCells(makeFleet(30'000), 280).count() == 80);
}

// Guards against a machine that belongs to two cells, or to none, because its rack joined later or
// a stored layout names a cell that does not exist.
TEST_CASE("a rack that is not in the layout belongs to one fixed cell")
{
    const CellLayout layout(7, {{"known", 3}, {"broken", 9}});
    CHECK(layout.cellOfRack("known") == 3);
    for (const char *rack : {"new", "broken", ""}) {
        const int cell = layout.cellOfRack(rack);
        CHECK(cell >= 0);
        CHECK(cell < 7);
        CHECK(cell == CellLayout(7, {}).cellOfRack(rack));
    }
    scheduler::WorkerEntry worker{.machine = "m", .labels = {"kind", "known"}};
    CHECK(layout.cellOfWorker(worker) == 3);
    worker.labels = {"kind"};
    CHECK(layout.cellOfWorker(worker) == layout.cellOfRack("m"));
}

// Guards against jobs that gather in a few cells or parts. The store runs the transactions of a
// part one after another.
TEST_CASE("jobs spread over all cells and over all parts of a cell")
{
    const CellLayout layout(7, {});
    std::map<std::string, int> jobsOfPart;
    constexpr int kJobs = 21'000;
    for (int i = 0; i < kJobs; ++i) {
        const std::string id = "job" + std::to_string(i);
        const int cell = layout.cellOfJob(id);
        ++jobsOfPart[CellRows(cell, layout.count()).jobRow(id).part];
    }
    CHECK(jobsOfPart.size() == 21);
    for (const auto &[part, jobs] : jobsOfPart)
        CHECK(std::abs(jobs - 1'000) < 200);
}

// Guards against a wave with more machines down than its limit, and against a cell that never gets
// a place. Each cell knows only which cells before it have finished.
TEST_CASE("the cells of a wave never use more places than it has, and all of them finish")
{
    for (int cells = 1; cells <= 24; ++cells)
        for (int limit = 1; limit <= 30; ++limit) {
            CAPTURE(cells);
            CAPTURE(limit);
            base::Rng rng(static_cast<std::uint64_t>(cells * 100 + limit));
            std::set<int> finished;
            while (static_cast<int>(finished.size()) < cells) {
                int used = 0;
                std::vector<int> working;
                for (int cell = 0; cell < cells; ++cell) {
                    const WavePlaces places = wavePlaces(limit, cell, cells);
                    const bool mayWork = std::all_of(
                            places.predecessors.begin(), places.predecessors.end(),
                            [&finished](int other) { return finished.contains(other); });
                    if (!mayWork || finished.contains(cell))
                        continue;
                    used += places.count;
                    working.push_back(cell);
                }
                CHECK(used <= limit);
                REQUIRE(!working.empty());
                finished.insert(working[rng.below(working.size())]);
            }
        }
}

} // namespace chicorywick::entry
