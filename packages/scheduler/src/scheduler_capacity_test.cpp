#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

constexpr Resources kSmallWorker{.cpuMillis = 4'000, .memoryMib = 8'000, .accelerators = 4};
const std::string kAddress = "10.0.0.1:80";

// One task that needs a whole small worker.
StepSpec wholeWorkerStep()
{
    StepSpec whole = step(1);
    whole.demand = kSmallWorker;
    return whole;
}

void addUnguardedWorkers(SchedulerFixture &fixture, int count)
{
    for (int i = 0; i < count; ++i) {
        const std::string id = "w" + std::to_string(i);
        const WorkerEntry entry = fixture.workers.add(id, "s", kSmallWorker);
        fixture.workers.setGuardsCapacity(id, false);
        fixture.scheduler->upsertWorker(entry);
    }
}

void extendLease(SchedulerFixture &fixture, const std::string &worker)
{
    fixture.workers.renew({.id = worker, .address = kAddress},
                          {.leaseUntil = fixture.loop.now() + 60'000, .fence = fixture.term},
                          [](const RenewReply &) {});
    fixture.run(10);
}

// Starts a task past the scheduler, as an earlier leader did, and begins a new term.
void inheritRun(SchedulerFixture &fixture, const TaskId &task)
{
    fixture.workers.start({.id = "w0", .address = kAddress},
                          {.task = task,
                           .run = 1,
                           .leaseUntil = fixture.loop.now() + 60'000,
                           .fence = fixture.term},
                          [](const OrderReply &) {});
    fixture.run(10);
    REQUIRE(fixture.workers.runningCount() == 1);
    const auto roster = fixture.scheduler->roster();
    fixture.startTerm();
    fixture.scheduler->addInheritedWorkers(roster);
    for (const WorkerEntry &entry : roster)
        fixture.scheduler->upsertWorker(entry);
}

} // namespace

// Guards against a start beside a run of a forgotten job, whose size is unknown, while it stops.
TEST_CASE("a worker gets no start while a run of an unknown job is being stopped")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    addUnguardedWorkers(fixture, 1);
    fixture.run(100);
    fixture.workers.setDemand("forgotten", {.cpuMillis = 3'500});
    fixture.workers.setDemand("b", step(1).demand);
    inheritRun(fixture, {.job = "forgotten"});
    fixture.submit("b", {step(1)});
    fixture.run(1'000);
    CHECK(fixture.workers.violations().empty());
    CHECK(fixture.workers.workersRunning({.job = "b"}).size() == 1);
}

// Guards against a start beside a run of a task that is already done, while that run stops.
TEST_CASE("a run of a finished task reserves its capacity until it has ended")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    addUnguardedWorkers(fixture, 1);
    fixture.run(100);
    StepSpec large = step(1);
    large.demand.cpuMillis = 3'000;
    const JobSpec finished = fixture.spec("a", {large, step(1, {0})});
    for (const char *job : {"b", "c"})
        fixture.workers.setDemand(job, step(1).demand);
    fixture.workers.setDemand("a", large.demand);
    inheritRun(fixture, {.job = "a"});
    fixture.scheduler->addJob(finished, JobProgress{.state = JobState::Running,
                                                    .begunOccurrences = 1,
                                                    .open = {{.number = 0, .doneTasks = {{0}}}}});
    fixture.scheduler->cancelJob("a");
    fixture.submit("b", {step(1)});
    fixture.submit("c", {step(1)});
    fixture.run(20);
    // The size of the finished task is known, so the rest of the worker stays usable.
    CHECK(fixture.workers.runningCount() == 2);
    fixture.run(1'000);
    CHECK(fixture.workers.violations().empty());
    CHECK(fixture.workers.runningCount() == 2);
}

// Guards against a start beside the second run of a task whose first run, on a worker that was
// silent, turns out to be done.
TEST_CASE("a run stopped because its task is done elsewhere reserves its capacity until it ends")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    addUnguardedWorkers(fixture, 2);
    for (const char *job : {"a", "b"})
        fixture.workers.setDemand(job, kSmallWorker);
    fixture.submit("a", {wholeWorkerStep()});
    fixture.run(300);
    const auto first = fixture.workers.workersRunning({.job = "a"});
    REQUIRE(first.size() == 1);
    const std::string second = first[0] == "w0" ? "w1" : "w0";
    fixture.workers.setReachable(first[0], false);
    while (fixture.workers.startsOf({.job = "a"}) < 2)
        fixture.run(10);
    fixture.run(100);
    fixture.submit("b", {wholeWorkerStep()});
    fixture.run(10);
    SUBCASE("shown by stored progress")
    {
        fixture.scheduler->mergeStoredProgress(
                "a", {.state = JobState::Completed, .begunOccurrences = 1});
    }
    SUBCASE("while stops get lost")
    {
        fixture.workers.setFaults({.lateOrder = 1});
        fixture.scheduler->mergeStoredProgress(
                "a", {.state = JobState::Completed, .begunOccurrences = 1});
        fixture.run(500);
        fixture.workers.setFaults({});
    }
    fixture.run(3'000);
    CHECK(fixture.workers.violations().empty());
    CHECK(fixture.workers.workersRunning({.job = "b"}) == std::vector{second});
}

// Guards against an end under a run number that two leaders have given to runs on two workers: the
// run that goes on was neither stopped nor counted.
TEST_CASE("an end on another worker with an equal run number stops the current run")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    addUnguardedWorkers(fixture, 2);
    for (const char *job : {"a", "b"})
        fixture.workers.setDemand(job, kSmallWorker);
    fixture.workers.workMs = 1'000;
    const JobSpec spec = fixture.spec("a", {wholeWorkerStep()});
    fixture.scheduler->addJob(spec, std::nullopt);
    fixture.run(300);
    const auto first = fixture.workers.workersRunning({.job = "a"});
    REQUIRE(first.size() == 1);
    fixture.workers.setReachable(first[0], false);
    fixture.workers.workMs = 0;
    const auto roster = fixture.scheduler->roster();
    fixture.startTerm();
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(spec, JobProgress{});
    for (const WorkerEntry &entry : roster)
        fixture.scheduler->upsertWorker(entry);
    while (fixture.workers.startsOf({.job = "a"}) < 2)
        fixture.run(10);
    fixture.run(10);
    fixture.submit("b", {wholeWorkerStep()});
    fixture.workers.setReachable(first[0], true);
    // The waiting job can only go to the worker of the second run.
    fixture.scheduler->setCordoned(first[0], CordonReason::Move, true);
    while (fixture.scheduler->stateOf("a") != JobState::Completed)
        fixture.run(1);
    fixture.run(200);
    CHECK(fixture.workers.violations().empty());
    CHECK(fixture.workers.workersRunning({.job = "a"}).empty());
    CHECK(fixture.workers.workersRunning({.job = "b"}).size() == 1);
}

// Guards against a start beside the second run of a perpetual task that stays on its former worker.
TEST_CASE("a run stopped because its task returned to its former worker reserves its capacity")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    addUnguardedWorkers(fixture, 2);
    StepSpec perpetual = step(1);
    perpetual.isPerpetual = true;
    perpetual.estimatedMs = 2'000;
    fixture.workers.setDemand("a", perpetual.demand);
    fixture.workers.setDemand("b", kSmallWorker);
    fixture.submit("a", {perpetual});
    fixture.run(2'000);
    const TaskId task{.job = "a"};
    const auto former = fixture.workers.workersRunning(task);
    REQUIRE(former.size() == 1);
    extendLease(fixture, former[0]);
    fixture.workers.setReachable(former[0], false);
    while (fixture.workers.startsOf(task) < 2)
        fixture.run(50);
    const auto violationsBefore = fixture.workers.violations();
    fixture.submit("b", {wholeWorkerStep()});
    fixture.run(50);
    fixture.workers.setReachable(former[0], true);
    fixture.run(3'000);
    REQUIRE(fixture.workers.workersRunning(task) == former);
    CHECK(fixture.workers.violations() == violationsBefore);
    CHECK(fixture.workers.workersRunning({.job = "b"}).size() == 1);
}

// Guards against a second start on a worker that may still carry out one whose answer was lost.
TEST_CASE("a cancelled start without an answer reserves its capacity until the worker rejects it")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    addUnguardedWorkers(fixture, 1);
    fixture.run(100);
    for (const char *job : {"a", "b"})
        fixture.workers.setDemand(job, kSmallWorker);
    fixture.workers.setFaults({.lateOrder = 1});
    fixture.submit("a", {wholeWorkerStep()});
    fixture.submit("b", {wholeWorkerStep()});
    fixture.run(10);
    SUBCASE("cancelled at once")
    {
        fixture.scheduler->cancelJob("a");
    }
    SUBCASE("cancelled after the time-out")
    {
        fixture.run(800);
        fixture.scheduler->cancelJob("a");
    }
    fixture.run(300);
    CHECK(fixture.workers.ordersSent() > 0);
    fixture.workers.setFaults({});
    fixture.run(8'000);
    CHECK(fixture.workers.violations().empty());
    CHECK(fixture.workers.workersRunning({.job = "b"}).size() == 1);
}

// Guards against a start on a worker that may still carry out one for a task that is done by now:
// neither the start nor the stop was answered, and the worker lists no run.
TEST_CASE("an unanswered start of a task done elsewhere reserves its capacity until its stop")
{
    // The delays of the two orders and the time until the worker's next list differ by seed.
    constexpr std::uint64_t kSeeds = 20;
    constexpr Millis kPhaseMs = 60;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        SchedulerFixture fixture(seed);
        fixture.workers.workMs = 0;
        addUnguardedWorkers(fixture, 1);
        fixture.run(300 + kPhaseMs * static_cast<Millis>(seed));
        for (const char *job : {"a", "b"})
            fixture.workers.setDemand(job, kSmallWorker);
        fixture.workers.setFaults({.lateOrder = 1});
        fixture.submit("a", {wholeWorkerStep()});
        fixture.submit("b", {wholeWorkerStep()});
        fixture.run(10);
        fixture.scheduler->mergeStoredProgress(
                "a", {.state = JobState::Completed, .begunOccurrences = 1});
        fixture.run(10);
        fixture.workers.setFaults({});
        fixture.run(9'000);
        CHECK(fixture.workers.violations().empty());
        CHECK(fixture.workers.startsOf({.job = "a"}) == 0);
        CHECK(fixture.workers.workersRunning({.job = "b"}).size() == 1);
    }
}

// Guards against starts for the former capacity of a worker, and against stops of what runs there.
TEST_CASE("a worker that has shrunk below its load keeps its tasks and gets no others")
{
    Resources shrunk = kSmallWorker;
    SUBCASE("processor")
    {
        shrunk.cpuMillis = 1'000;
    }
    SUBCASE("memory")
    {
        shrunk.memoryMib = 1'000;
    }
    SUBCASE("accelerators")
    {
        shrunk.accelerators = 1;
    }
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    addUnguardedWorkers(fixture, 1);
    StepSpec accelerated = step(2);
    accelerated.demand.accelerators = 1;
    fixture.workers.setDemand("a", accelerated.demand);
    fixture.workers.setDemand("b", step(1).demand);
    fixture.submit("a", {accelerated});
    fixture.run(300);
    REQUIRE(fixture.workers.runningCount() == 2);
    fixture.scheduler->upsertWorker(fixture.workers.setCapacity("w0", shrunk));
    StepSpec leftover = step(1);
    leftover.usesLeftoverCpu = true;
    fixture.submit("b", {step(1), leftover});
    fixture.run(6'000);
    CHECK(fixture.workers.workersRunning({.job = "a", .index = 1}).size() == 1);
    CHECK(fixture.workers.runningCount() == 2);
    fixture.scheduler->upsertWorker(fixture.workers.setCapacity("w0", kSmallWorker));
    fixture.run(10);
    CHECK(fixture.workers.runningCount() == 4);
    CHECK(fixture.workers.violations().empty());
}

// Guards against waiting tasks that are placed only at the next tick after a capacity has grown,
// and against a back-off for the former capacity.
TEST_CASE("a capacity that grows is used at once")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1, {.cpuMillis = 500, .memoryMib = 8'000});
    fixture.submit("a", {step(1)});
    fixture.run(3 * kTickMs + 1);
    REQUIRE(fixture.workers.runningCount() == 0);
    fixture.scheduler->upsertWorker(fixture.workers.setCapacity("w0", kSmallWorker));
    fixture.run(5);
    CHECK(fixture.workers.runningCount() == 1);
}

// Guards against a waiting task that looks too large for its pool because one worker has shrunk.
TEST_CASE("a task calls for an empty worker while a worker of its service is shrunk")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(2, kSmallWorker);
    StepSpec spread = step(2);
    spread.maxPerWorker = 1;
    fixture.submit("a", {spread});
    fixture.run(500);
    REQUIRE(fixture.workers.runningCount() == 2);
    Resources shrunk = kSmallWorker;
    shrunk.cpuMillis = 1'000;
    fixture.scheduler->upsertWorker(fixture.workers.setCapacity("w0", shrunk));
    SUBCASE("one of them") {}
    SUBCASE("all of them")
    {
        fixture.scheduler->upsertWorker(fixture.workers.setCapacity("w1", shrunk));
    }
    fixture.submit("b", {wholeWorkerStep()});
    fixture.submit("larger than any worker",
                   {StepSpec{.taskCount = 1, .demand = {.cpuMillis = 5'000}, .estimatedMs = 500}});
    fixture.run(1'000);
    CHECK(fixture.scheduler->loads()["s"].extraWorkers == 1);
}

// Guards against a pool plan that divides the work of a service by the size of a shrunk worker, or
// of one that is known only from a stored roster.
TEST_CASE("the machine size of a service is that of its largest worker before it shrank")
{
    SchedulerFixture fixture;
    fixture.addWorkers(2, kSmallWorker);
    fixture.run(300);
    for (const char *id : {"w0", "w1"})
        fixture.scheduler->upsertWorker(fixture.workers.setCapacity(id, {.cpuMillis = 0}));
    fixture.scheduler->addInheritedWorkers({{.id = "x", .service = "s", .address = kAddress}});
    CHECK(fixture.scheduler->loads()["s"].machineCpuMillis == kSmallWorker.cpuMillis);
}

// Guards against tasks that wait for accelerators and call for no machine because they need hardly
// any processor.
TEST_CASE("tasks that wait for accelerators call for as many workers as these fill")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1, kSmallWorker);
    StepSpec accelerated = step(8);
    accelerated.demand = {.cpuMillis = 100, .accelerators = 2};
    fixture.workers.setDemand("a", accelerated.demand);
    fixture.submit("a", {accelerated});
    fixture.run(1'000);
    REQUIRE(fixture.workers.runningCount() == 2);
    CHECK(fixture.scheduler->loads()["s"].extraWorkers == 3);
}

} // namespace chicorywick::scheduler
