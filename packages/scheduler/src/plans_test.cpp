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

// Guards against small tasks spread over all workers: no worker then has capacity for a large task,
// and no machine is empty and can leave the pool.
TEST_CASE("a task is placed on the fullest worker that fits")
{
    const std::vector<PlacementCandidate> candidates{candidate(0, 9'000), candidate(1, 2'000),
                                                     candidate(2, 500)};
    CHECK(choosePlacement(step(1'000), candidates) == 1);
    CHECK(choosePlacement(step(5'000), candidates) == 0);
    CHECK(!choosePlacement(step(10'000), candidates));
}

// Guards against a placement that ignores the preferred rack, a required label or maxPerWorker.
TEST_CASE("placement respects labels, racks and the limit per worker")
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

// Guards against a retry on the worker where the task failed while another one fits, and against a
// task that never runs because only that worker fits.
TEST_CASE("a worker on which the task failed is chosen only if no other fits")
{
    auto failed = candidate(0, 2'000);
    failed.isAvoided = true;
    CHECK(choosePlacement(step(1'000), std::vector{failed, candidate(1, 9'000)}) == 1);
    CHECK(choosePlacement(step(1'000), std::vector{failed}) == 0);
}

// Guards against leftover-CPU tasks that slow down a serving task or wait for CPU to be free.
TEST_CASE("leftover-CPU tasks avoid workers with serving tasks and need no free CPU")
{
    StepSpec leftoverCpu = step(4'000);
    leftoverCpu.usesLeftoverCpu = true;
    auto serving = candidate(0, 9'000);
    serving.servingTasks = 1;
    CHECK(choosePlacement(leftoverCpu, std::vector{serving, candidate(1, 0)}) == 1);
}

// Guards against loans that leave spare machines unused or take machines that a pool still needs.
// The hot pool models a queue at its peak: four times its mean load, more than its pool can run.
TEST_CASE("a pool with a shortage gets spare machines first, then idle ones from a surplus")
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

// Guards against perpetual tasks that stand for a whole peak of another pool, because the machines
// go to the pool with the larger shortage (hhbma-wick-grown, lost machines beside peaks).
TEST_CASE("machines that perpetual tasks wait for come before larger shortages")
{
    const std::vector<PoolDemand> pools{
            {.service = "peak", .machines = 4, .desired = 24},
            {.service = "lasting", .machines = 15, .desired = 21, .urgent = 2}};
    const std::vector<MovableMachine> movable{
            {.machine = "a", .pool = "spare", .isInSparePool = true},
            {.machine = "b", .pool = "spare", .isInSparePool = true},
            {.machine = "c", .pool = "spare", .isInSparePool = true}};
    CHECK(planPoolMoves(pools, movable, "spare", {})
          == std::vector<PoolMove>{{"a", "lasting"}, {"b", "lasting"}, {"c", "peak"}});
}

// Guards against lasting tasks that wait for other cells' shortages, against a small shortage that
// is served before a large one of another cell, and against machines of a wave that change their
// cell.
TEST_CASE("other cells get machines like the own cell, and only those that may leave it")
{
    const std::vector<PoolDemand> pools{
            {.service = "own", .machines = 4, .desired = 6, .urgent = 1},
            {.service = "lasting", .desired = 1, .urgent = 1, .cell = 1},
            {.service = "own", .desired = 3, .cell = 1}};
    std::vector<MovableMachine> movable;
    for (const char *const machine : {"a", "b", "c", "d"})
        movable.push_back({.machine = machine, .pool = "spare", .isInSparePool = true});
    movable[0].isLendable = false;
    CHECK(planPoolMoves(pools, movable, "spare", {})
          == std::vector<PoolMove>{
                  {"a", "own"}, {"b", "lasting", 1}, {"c", "own", 1}, {"d", "own", 1}});
    CHECK(lendableMachines(pools, movable, std::vector<PoolMove>{{"a", "own"}}) == 3);
}

// Guards against a cell whose idle machines of a pool do not help the same pool of another cell.
TEST_CASE("idle machines of a pool help the same pool of another cell first, without a move")
{
    const std::vector<PoolDemand> pools{{.service = "p", .machines = 4, .desired = 1, .minimum = 2},
                                        {.service = "q", .machines = 4, .desired = 1, .minimum = 3},
                                        {.service = "p", .desired = 9, .cell = 1}};
    const std::vector<MovableMachine> movable{{.machine = "a", .pool = "p", .idleMs = 900},
                                              {.machine = "b", .pool = "p", .idleMs = 800},
                                              {.machine = "c", .pool = "p", .idleMs = 700},
                                              {.machine = "d", .pool = "q", .idleMs = 600}};
    CHECK(planPoolMoves(pools, movable, "spare", {})
          == std::vector<PoolMove>{{"a", "p", 1, true}, {"b", "p", 1, true}, {"d", "p", 1}});
}

// Guards against lasting tasks that wait for an idle machine while all machines are busy, and
// against pools that empty machines which they need for lasting tasks themselves.
TEST_CASE("machines with few finite tasks are emptied for perpetual tasks that nothing else serves")
{
    const std::vector<PoolDemand> pools{
            {.service = "lasting", .machines = 4, .desired = 8, .urgent = 4, .blocked = 3},
            {.service = "busy", .machines = 5, .desired = 20, .minimum = 2},
            {.service = "urgent", .machines = 5, .desired = 6, .minimum = 2, .urgent = 1}};
    const std::vector<BusyMachine> busy{{.machine = "a", .pool = "urgent", .tasks = 1},
                                        {.machine = "b", .pool = "busy", .tasks = 9},
                                        {.machine = "c", .pool = "busy", .tasks = 2},
                                        {.machine = "d", .pool = "lasting", .tasks = 1},
                                        {.machine = "e", .pool = "busy", .tasks = 3}};
    CHECK(planEmptying(pools, {}, {}, busy)
          == std::vector<PoolMove>{{"c", "lasting"}, {"e", "lasting"}, {"b", "lasting"}});
    CHECK(planEmptying(pools, std::vector<PoolMove>{{"x", "lasting"}},
                       std::vector<PoolMove>{{"y", "lasting"}}, busy)
          == std::vector<PoolMove>{{"c", "lasting"}});
    std::vector<PoolDemand> small = pools;
    small[1].machines = 3;
    CHECK(planEmptying(small, {}, {}, busy) == std::vector<PoolMove>{{"c", "lasting"}});
}

// Guards against a published shortage that counts machines which are on their way.
TEST_CASE("the remaining shortage leaves out planned moves and other cells")
{
    const std::vector<PoolDemand> pools{
            {.service = "p", .machines = 4, .desired = 9, .urgent = 3, .blocked = 2},
            {.service = "q", .machines = 4, .desired = 4},
            {.service = "p", .desired = 5, .cell = 1}};
    const std::vector<PoolMove> planned{{"a", "p"}, {"b", "p", 1}};
    CHECK(remainingShortages(pools, planned)
          == std::map<std::string, PoolShortage>{{"p", {.total = 4, .urgent = 2, .blocked = 1}}});
}

// Guards against idle machines that stay on, and against a pool that shrinks below its minimum.
TEST_CASE("idle machines above the minimum of a pool move to the spare pool")
{
    const std::vector<PoolDemand> pools{
            {.service = "cold", .machines = 3, .desired = 1, .minimum = 2}};
    const std::vector<MovableMachine> movable{{.machine = "a", .pool = "cold", .idleMs = 9'000},
                                              {.machine = "b", .pool = "cold", .idleMs = 8'000}};
    CHECK(planPoolMoves(pools, movable, "spare", {}) == std::vector<PoolMove>{{"a", "spare"}});
    CHECK(planPoolMoves(pools, movable, "", {}).empty());
}

// Guards against a pool that is too small because tasks of different sizes leave gaps.
TEST_CASE("the number of machines for a load includes a margin for packing")
{
    CHECK(machinesFor(0, 16'000) == 0);
    CHECK(machinesFor(13'600, 16'000) == 1);
    CHECK(machinesFor(16'000, 16'000) == 2);
    CHECK(machinesFor(1'000, 0) == 0);
}

// Guards against a wave that exceeds its limit or drains most of a service at the same time.
TEST_CASE("a wave respects its limit and drains few machines of a service at a time")
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

// Guards against leftover-CPU tasks that keep a serving task above its latency target.
TEST_CASE("the pace drops sharply above the target and rises slowly below it")
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
