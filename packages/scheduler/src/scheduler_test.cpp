#include "scheduler_world.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

TEST_CASE("a job's steps run in order and complete the job")
{
    World world;
    world.addWorkers(2);
    world.submit("a", {step(4), step(2, {0})});
    world.run(300);
    CHECK(world.workers.startsOf({.job = "a", .step = 0, .index = 3}) == 1);
    CHECK(world.workers.startsOf({.job = "a", .step = 1, .index = 0}) == 0);
    world.run(1'500);
    CHECK(world.scheduler->stateOf("a") == JobState::Completed);
    CHECK(world.workers.acknowledgedEnds() == 6);
    CHECK(world.workers.violations().empty());
}

// Guards against an end that is acknowledged and then lost with the driver.
TEST_CASE("ends are acknowledged only once they are stored")
{
    World world;
    world.addWorkers(1);
    world.isStoreUp = false;
    world.submit("a", {step(2)});
    world.run(3'000);
    CHECK(world.workers.acknowledgedEnds() == 0);
    world.isStoreUp = true;
    world.run(1'000);
    CHECK(world.workers.acknowledgedEnds() == 2);
}

TEST_CASE("a task that fails is tried elsewhere, and the job fails after its attempts")
{
    World world;
    world.addWorkers(2);
    world.workers.outcome = [](const TaskId &task, std::int64_t) {
        return task.job == "bad" ? EndKind::Failed : EndKind::Done;
    };
    world.submit("bad", {step(1)});
    world.submit("good", {step(1)});
    world.run(3'000);
    CHECK(world.scheduler->stateOf("bad") == JobState::Failed);
    CHECK(world.workers.startsOf({.job = "bad"}) == 2);
    CHECK(world.scheduler->stateOf("good") == JobState::Completed);
}

TEST_CASE("a cancelled job's tasks are stopped and none is started")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(1);
    world.submit("a", {step(40)});
    world.run(500);
    CHECK(world.workers.runningCount() > 0);
    world.scheduler->cancelJob("a");
    world.run(1'000);
    CHECK(world.workers.runningCount() == 0);
    CHECK(world.scheduler->stateOf("a") == JobState::Cancelled);
}

// Guards against a second run while a worker that cannot be reached may still run the first.
TEST_CASE("tasks of an unreachable worker start elsewhere only after its lease")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(2);
    world.submit("a", {step(1)});
    world.run(500);
    const auto places = world.workers.placesOf({.job = "a"});
    REQUIRE(places.size() == 1);
    world.workers.setReachable(places[0], false);
    // The last renewal was at most one renewal's wait ago.
    const SchedulerSettings settings;
    world.run(settings.leaseMs - settings.renewWaitMs - 100);
    CHECK(world.workers.startsOf({.job = "a"}) == 1);
    world.run(6'000);
    CHECK(world.workers.startsOf({.job = "a"}) == 2);
    CHECK(world.workers.violations().empty());
}

// Guards against a second perpetual task that is stopped for maintenance while the first one, moved
// a moment before, still starts up elsewhere.
TEST_CASE("a moved perpetual task counts as away until its start-up is over")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(3);
    StepSpec perpetual = step(2);
    perpetual.isPerpetual = true;
    perpetual.maxPerWorker = 1;
    perpetual.maxUnavailable = 1;
    perpetual.estimatedMs = 900;
    world.submit("a", {perpetual});
    world.run(4'000);
    const TaskId first{.job = "a", .index = 0};
    const TaskId second{.job = "a", .index = 1};
    REQUIRE(world.workers.placesOf(first).size() == 1);
    const std::string left = world.workers.placesOf(first)[0];
    world.scheduler->setCordoned(left, CordonReason::Maintenance, true);
    world.run(300);
    REQUIRE(world.workers.startsOf(first) == 2);
    world.scheduler->setCordoned(left, CordonReason::Maintenance, false);
    world.scheduler->setCordoned(world.workers.placesOf(second)[0], CordonReason::Maintenance,
                                 true);
    world.run(1'400);
    CHECK(world.workers.startsOf(second) == 1);
    world.run(3'000);
    CHECK(world.workers.startsOf(second) == 2);
}

// Guards against an old end, listed again after a take-over, that ends the run in hand, and against
// one of a higher run elsewhere that makes the run in hand look foreign.
TEST_CASE("ends of other runs leave the run in hand alone")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(2);
    const JobSpec spec = world.spec("a", {step(1)});
    const auto roster = world.scheduler->roster();
    world.run(100);
    const TaskId task{.job = "a"};
    const auto ignore = [](const OrderReply &) {};
    const auto startAndStop = [&](const std::string &worker, std::int64_t run, bool stops) {
        const WorkerAddress address{.id = worker, .address = "10.0.0.1:80"};
        world.workers.start(
                address,
                {.task = task, .run = run, .leaseUntil = world.loop.now() + 5'000, .fence = 1},
                ignore);
        world.run(100);
        if (stops)
            world.workers.stop(address, {.task = task, .run = run, .fence = 1}, ignore);
        world.run(200);
    };
    world.mayOrder = false; // the first driver acknowledges nothing more
    startAndStop("w1", 7, true);
    startAndStop("w0", 1, true);
    startAndStop("w0", 2, false);
    world.mayOrder = true;
    world.lead();
    world.scheduler->expectWorkers(roster);
    world.scheduler->addJob(spec, JobProgress{});
    for (const WorkerEntry &entry : roster)
        world.scheduler->upsertWorker(entry);
    world.run(4'000);
    CHECK(world.workers.startsOf(task) == 3);
    CHECK(world.workers.placesOf(task) == std::vector<std::string>{"w0"});
    CHECK(world.workers.violations().empty());
}

// Guards against starts that are repeated as fast as a dead worker refuses them: a machine that
// went down for its upkeep got 400 of them for one task.
TEST_CASE("a worker that cannot be reached gets no start after the first until it answers")
{
    World world;
    world.workers.workMs = 0;
    world.addWorkers(1);
    world.run(300);
    world.workers.crash("w0");
    world.submit("a", {step(1)});
    world.run(2'000);
    CHECK(world.workers.ordersSent() <= 3);
}

// Plays lost answers, late orders, crashes and cuts; no task may run twice or after its end.
TEST_CASE("faults of calls and workers make no task run twice and lose no job")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        World world(seed);
        base::Rng rng(seed);
        world.workers.setFaults({.lostAnswer = 0.05, .lateOrder = 0.03});
        world.addWorkers(5);
        int jobs = 0;
        for (int round = 0; round < 60; ++round) {
            world.submit("j" + std::to_string(jobs++), {step(3), step(2, {0})});
            const std::string victim = "w" + std::to_string(rng.below(5));
            const double dice = rng.uniform();
            if (dice < 0.03) {
                world.workers.crash(victim);
                world.scheduler->upsertWorker(world.workers.add(victim, "s", kWorkerSize));
            } else if (dice < 0.08) {
                world.workers.setReachable(victim, false);
            } else if (dice < 0.3) {
                for (int i = 0; i < 5; ++i)
                    world.workers.setReachable("w" + std::to_string(i), true);
            }
            world.isStoreUp = rng.uniform() > 0.1;
            world.run(200);
        }
        for (int i = 0; i < 5; ++i)
            world.workers.setReachable("w" + std::to_string(i), true);
        world.isStoreUp = true;
        world.workers.setFaults({});
        world.run(40'000);
        for (const std::string &violation : world.workers.violations())
            FAIL_CHECK(violation);
        for (int job = 0; job < jobs; ++job) {
            CAPTURE(job);
            CHECK(world.scheduler->stateOf("j" + std::to_string(job)) == JobState::Completed);
        }
    }
}

// Guards against a driver that falls behind when queues are long: at 350 workers and full queues,
// passes over all services for each end took all of its processor time.
TEST_CASE("the work for an end does not grow with the waiting tasks or other services' workers")
{
    World world;
    const auto workPerTask = [&world](int jobs, int otherWorkers) {
        for (int i = 0; i < otherWorkers; ++i)
            world.scheduler->upsertWorker(
                    world.workers.add("o" + std::to_string(i), "other", kWorkerSize));
        const std::uint64_t before = world.scheduler->examinedWorkers();
        for (int i = 0; i < jobs; ++i)
            world.submit("j" + std::to_string(otherWorkers) + "-" + std::to_string(i), {step(8)});
        world.run(20'000);
        return static_cast<double>(world.scheduler->examinedWorkers() - before) / (jobs * 8);
    };
    world.addWorkers(20);
    const double few = workPerTask(100, 0);
    const double many = workPerTask(1'000, 300);
    // A full service costs one fruitless look at its workers for each arrival, end and tick.
    CHECK(few < 3 * 20);
    CHECK(many < 3 * 20);
}

// Guards against a task that waits for a held renewal, and then for its stop's, after a start that
// got no answer: with a third of the orders late, a deploy day served 0.59 of its callers.
TEST_CASE("a start that was not carried out is repeated soon, and its late order is refused")
{
    World world;
    world.addWorkers(2);
    world.run(500);
    world.workers.setFaults({.lateOrder = 1.0});
    world.submit("a", {step(1)});
    world.run(10);
    world.workers.setFaults({});
    // The order's time-out of 700 ms, a few round trips, the work itself, and the store.
    constexpr Millis kSoonMs = 700 + 50 + 500 + 50;
    world.run(kSoonMs);
    CHECK(world.scheduler->stateOf("a") == JobState::Completed);
    world.run(10'000);
    CHECK(world.workers.violations().empty());
    CHECK(world.workers.startsOf({.job = "a"}) == 1);
}

} // namespace chicorywick::scheduler
