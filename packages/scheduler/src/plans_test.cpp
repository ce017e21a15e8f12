#include <chicorywick/scheduler/maintenance_plan.h>
#include <chicorywick/scheduler/pacing.h>
#include <chicorywick/scheduler/placement.h>
#include <chicorywick/scheduler/pool_plan.h>

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

const std::vector<std::string> kRackOne{"a", "r1"};
const std::vector<std::string> kRackTwo{"a", "r2"};

PlacementCandidate candidate(std::size_t index, std::int64_t freeCpu,
                             const std::vector<std::string> *labels = &kRackOne)
{
    return {.index = index, .free = {.cpuMillis = freeCpu, .memoryMib = 10'000}, .labels = labels};
}

StepSpec step(std::int64_t cpu)
{
    return {.taskCount = 1, .demand = {.cpuMillis = cpu, .memoryMib = 100}};
}

} // namespace

// Guards against small tasks spread over all workers, which leave no room for wide ones and no
// machine free to leave.
TEST_CASE("a task goes to the fullest worker that fits")
{
    const std::vector<PlacementCandidate> candidates{candidate(0, 9'000), candidate(1, 2'000),
                                                     candidate(2, 500)};
    CHECK(choosePlacement(step(1'000), candidates) == 1);
    CHECK(choosePlacement(step(5'000), candidates) == 0);
    CHECK(!choosePlacement(step(10'000), candidates));
}

TEST_CASE("labels, spread and racks constrain a placement")
{
    StepSpec remote = step(1'000);
    remote.preferredRack = "r2";
    const std::vector<PlacementCandidate> racks{candidate(0, 2'000),
                                                candidate(1, 9'000, &kRackTwo)};
    CHECK(choosePlacement(remote, racks) == 1);
    StepSpec labelled = step(1'000);
    labelled.requiredLabel = "b";
    CHECK(!choosePlacement(labelled, racks));
    StepSpec spread = step(1'000);
    spread.maxPerWorker = 1;
    auto occupied = candidate(0, 9'000);
    occupied.tasksOfStep = 1;
    CHECK(!choosePlacement(spread, std::vector{occupied}));
}

TEST_CASE("a worker on which the task failed is the last choice")
{
    auto failed = candidate(0, 2'000);
    failed.isAvoided = true;
    CHECK(choosePlacement(step(1'000), std::vector{failed, candidate(1, 9'000)}) == 1);
    CHECK(choosePlacement(step(1'000), std::vector{failed}) == 0);
}

TEST_CASE("tasks on left-over processor time avoid serving neighbours and need no free processors")
{
    StepSpec leftoverCpu = step(4'000);
    leftoverCpu.usesLeftoverCpu = true;
    auto serving = candidate(0, 9'000);
    serving.servingTasks = 1;
    CHECK(choosePlacement(leftoverCpu, std::vector{serving, candidate(1, 0)}) == 1);
}

// The load is that of a queue in its turn: four times its mean, beyond its own pool.
TEST_CASE("a pool in need gets parked machines first, then idle ones of pools with a surplus")
{
    const std::vector<PoolDemand> pools{
            {.service = "hot", .machines = 9, .desired = 13, .minimum = 2},
            {.service = "cold", .machines = 9, .desired = 3, .minimum = 2},
            {.service = "tight", .machines = 4, .desired = 4, .minimum = 2}};
    const std::vector<MovableMachine> movable{
            {.machine = "idle", .pool = "cold", .idleMs = 1'000},
            {.machine = "fresh", .pool = "cold", .idleMs = 0},
            {.machine = "needed", .pool = "tight", .idleMs = 5'000},
            {.machine = "parked", .pool = "spare", .isInSparePool = true}};
    const auto moves = planPoolMoves(pools, movable, "spare", {.returnAfterMs = 4'000});
    CHECK(moves == std::vector<PoolMove>{{"parked", "hot"}, {"idle", "hot"}});
}

TEST_CASE("idle machines beyond what a pool keeps are parked after a while")
{
    const std::vector<PoolDemand> pools{
            {.service = "cold", .machines = 3, .desired = 1, .minimum = 2}};
    const std::vector<MovableMachine> movable{{.machine = "a", .pool = "cold", .idleMs = 9'000},
                                              {.machine = "b", .pool = "cold", .idleMs = 8'000}};
    CHECK(planPoolMoves(pools, movable, "spare", {}) == std::vector<PoolMove>{{"a", "spare"}});
    CHECK(planPoolMoves(pools, movable, "", {}).empty());
}

TEST_CASE("a load is turned into machines with room for uneven tasks")
{
    CHECK(machinesFor(0, 16'000) == 0);
    CHECK(machinesFor(13'600, 16'000) == 1);
    CHECK(machinesFor(16'000, 16'000) == 2);
    CHECK(machinesFor(1'000, 0) == 0);
}

TEST_CASE("a wave keeps its limit and empties few machines of a service at a time")
{
    std::vector<MaintenanceCandidate> candidates;
    for (int i = 0; i < 6; ++i)
        candidates.push_back({.machine = "m" + std::to_string(i),
                              .workerId = "w" + std::to_string(i),
                              .service = "s",
                              .tasks = i < 3 ? 0 : 2});
    const auto plan = planMaintenance(candidates, {.maxAtOnce = 3, .downNow = 1});
    CHECK(plan.begin == std::vector<std::string>{"m0", "m1"});
    CHECK(plan.cordoned.size() == 2);
    CHECK(planMaintenance(candidates, {.maxAtOnce = 3, .downNow = 3}).begin.empty());
}

// Guards against filler work that holds a serving task over its target.
TEST_CASE("pace falls sharply over the target and rises slowly below it")
{
    int percent = 100;
    for (int i = 0; i < 3; ++i)
        percent = nextPace(percent, std::vector<ServingLoad>{{.tailMs = 120, .targetMs = 100}});
    CHECK(percent == 0);
    CHECK(nextPace(0, std::vector<ServingLoad>{{.tailMs = 50, .targetMs = 100}}) > 0);
    CHECK(nextPace(40, std::vector<ServingLoad>{{.tailMs = 80, .targetMs = 100}}) == 40);
    CHECK(nextPace(40, {}) > 40);
}

} // namespace chicorywick::scheduler
