#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

constexpr int kWorkers = 20;
constexpr int kWaitingJobs = 20;
// Workers that one pass examines if each waiting job has a demand of its own that fits nowhere.
constexpr std::uint64_t kExaminedPerPass = kWorkers * (kWaitingJobs + 1);
// An end listed alone, the ends listed after it, and two of ticks.
constexpr std::uint64_t kMaxPassesPerRound = 4;

int runningTasks(const SchedulerFixture &fixture)
{
    int tasks = 0;
    for (const WorkerView &worker : fixture.scheduler->workers())
        tasks += worker.tasks;
    return tasks;
}

// The first jobs need more memory and the later ones more processors, so that no demand covers
// another.
StepSpec waitingStep(int number)
{
    StepSpec waiting = step(1);
    waiting.demand = {.cpuMillis = 3'000 + number, .memoryMib = 30'000 - number};
    return waiting;
}

void fillWorkers(SchedulerFixture &fixture)
{
    fixture.addWorkers(kWorkers, {.cpuMillis = 4'000, .memoryMib = 32'768});
    fixture.run(500);
    fixture.submit("full", {step(kWorkers * 4)});
    fixture.run(50);
}

void submitWaitingJobs(SchedulerFixture &fixture)
{
    for (int number = 0; number < kWaitingJobs; ++number)
        fixture.submit("waiting" + std::to_string(number), {waitingStep(number)});
}

} // namespace

// Guards against a placement pass for each job of a page of stored jobs.
TEST_CASE("jobs that arrive together share a placement pass")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 60'000;
    fillWorkers(fixture);
    const std::uint64_t before = fixture.scheduler->examinedWorkers();
    submitWaitingJobs(fixture);
    fixture.run(1);
    const std::uint64_t examined = fixture.scheduler->examinedWorkers() - before;
    CHECK(examined > 0);
    CHECK(examined <= kExaminedPerPass);
}

// Guards against a placement pass for each worker whose renewal is answered at the same time.
TEST_CASE("renewals that are answered together share a placement pass")
{
    SchedulerFixture fixture;
    fillWorkers(fixture);
    submitWaitingJobs(fixture);
    fixture.run(400);
    const std::uint64_t before = fixture.scheduler->examinedWorkers();
    fixture.run(60); // all tasks end half a second after their start
    const std::uint64_t examined = fixture.scheduler->examinedWorkers() - before;
    CHECK(runningTasks(fixture) == kWaitingJobs);
    CHECK(examined > 0);
    CHECK(examined <= kMaxPassesPerRound * kExaminedPerPass);
}

} // namespace chicorywick::scheduler
