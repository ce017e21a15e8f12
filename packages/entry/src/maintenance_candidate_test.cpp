#include "maintenance_candidate.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

const Machine kListed{
        .name = "m", .pool = "s", .workerId = "old", .state = MachineState::Up, .rack = "r"};

scheduler::WorkerView view(const std::string &id, scheduler::Millis incarnation, int tasks)
{
    return {.entry = {.id = id, .service = "s", .machine = "m", .incarnation = incarnation},
            .tasks = tasks,
            .isUsable = true,
            .isCordoned = true};
}

std::optional<scheduler::MaintenanceCandidate>
candidateWith(const std::vector<scheduler::WorkerView> &views, const Machine &machine = kListed,
              bool isPoolUnused = false)
{
    return maintenanceCandidate(machine, latestWorkers(views), isPoolUnused);
}

} // namespace

// Guards against maintenance of a machine whose tasks run on a worker that the list does not show:
// the list is older than a move, or the registration of the worker has lapsed.
TEST_CASE("the latest worker on a machine decides whether the machine is empty")
{
    scheduler::WorkerView old = view("old", 1, 0);
    old.isUsable = false;
    const auto moved = candidateWith({old, view("new", 2, 3)});
    REQUIRE(moved);
    CHECK(moved->workerId == "new");
    CHECK(moved->tasks == 3);
    Machine unregistered = kListed;
    unregistered.workerId.clear();
    CHECK(candidateWith({view("new", 2, 3)}, unregistered)->tasks == 3);
    CHECK(candidateWith({view("new", 2, 0)})->tasks == 0);
}

// Guards against maintenance of a machine whose worker has not told a new leader what it runs.
TEST_CASE("a machine that may run unknown tasks is no candidate")
{
    scheduler::WorkerView silent = view("old", 1, 0);
    silent.isUsable = false;
    silent.mayRunUnknownTasks = true;
    CHECK(!candidateWith({silent}));
    CHECK(!candidateWith({}));
    CHECK(candidateWith({}, kListed, true));
}

// Guards against maintenance that ends a start in flight.
TEST_CASE("an empty worker counts as busy until it is cordoned")
{
    scheduler::WorkerView idle = view("old", 1, 0);
    idle.isCordoned = false;
    CHECK(candidateWith({idle})->tasks == 1);
    idle.isUsable = false;
    CHECK(candidateWith({idle})->tasks == 0);
}

} // namespace chicorywick::entry
