#include "crash_fixture.h"

#include <chicorywick/base/rng.h>

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

/// @brief Restarts of a worker that is back within a fraction of a second under its id.
struct RestartFixture : CrashFixture
{
    explicit RestartFixture(std::uint64_t seed = 1)
        : CrashFixture(seed)
    {
        workers.maxLeaseMs = SchedulerSettings().maxLeaseMs;
    }

    Millis downTimeMs = 100;
    Millis discoveryDelayMs = 500; ///< from the return of a worker to its discovery entry
    bool isSilent = false;         ///< connections are not reset

    std::string busiestWorker()
    {
        std::string busiest;
        for (const WorkerEntry &entry : scheduler->roster())
            if (busiest.empty()
                || workers.tasksOn(entry.id).size() > workers.tasksOn(busiest).size())
                busiest = entry.id;
        return busiest;
    }

    void restart(const std::string &id)
    {
        workers.restart(id, downTimeMs, isSilent, [this](const WorkerEntry &entry) {
            loop.after(discoveryDelayMs, [this, entry] { scheduler->upsertWorker(entry); });
        });
    }
};

/// @brief A worker that has restarted while it had a task, so that a renewal meant for its former
/// incarnation has brought it its longest lease, and has got two tasks of a job "a" since.
struct RecentRestartFixture : RestartFixture
{
    JobSpec before;
    JobSpec job;
    std::vector<WorkerEntry> formerRoster; ///< before the restart

    explicit RecentRestartFixture(bool isSilentRestart)
    {
        isSilent = isSilentRestart;
        discoveryDelayMs = 50;
        workers.workMs = 0;
        workers.holdsRenewalsWhileDown = true;
        addWorkers(1);
        run(60'000); // the clock of the former incarnation is far ahead
        before = spec("before", {step(1)});
        scheduler->addJob(before, std::nullopt);
        run(500);
        REQUIRE(workers.tasksOn("w0").size() == 1);
        formerRoster = scheduler->roster();
        restart("w0");
        run(isSilent ? 1'500 : 500);
        job = spec("a", {step(2)});
        scheduler->addJob(job, std::nullopt);
        run(200);
        REQUIRE(workers.startsOf({.job = "a", .index = 1}) == 1);
    }

    // Begins a new term that inherits a stored roster and the jobs.
    void changeLeader(const std::vector<WorkerEntry> &roster)
    {
        const auto discovered = scheduler->roster();
        previousLeaseMs = SchedulerSettings().leaseMs;
        startTerm();
        scheduler->addInheritedWorkers(roster);
        for (const JobSpec &each : {before, job}) {
            const auto found = stored.find(each.id);
            scheduler->addJob(each, found != stored.end() ? found->second : JobProgress{});
        }
        for (const WorkerEntry &entry : discovered)
            scheduler->upsertWorker(entry);
    }

    // The worker is cut off for good, and its tasks start elsewhere once their lease has ended.
    void checkTasksMoveOnce()
    {
        workers.setReachable("w0", false);
        scheduler->upsertWorker(workers.add("w1", "s", kWorkerSize));
        run(8'000);
        CHECK(workers.violations().empty());
        CHECK(workers.startsOf({.job = "a"}) == 2);
        CHECK(workers.startsOf({.job = "a", .index = 1}) == 2);
    }
};

} // namespace

// Guards against a second start of tasks that a worker took, or finished, between its restart and
// the time at which the scheduler learned of it (review/5).
TEST_CASE("tasks taken by a worker that has restarted under its id start nowhere else")
{
    constexpr int kWorkers = 5;
    constexpr std::uint64_t kSeeds = 30;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        RestartFixture fixture(seed);
        base::Rng rng(seed);
        fixture.isSilent = seed % 2 == 0;
        // Every third seed, discovery shows the restart before any reply of the worker does.
        fixture.discoveryDelayMs = seed % 3 == 0 ? 1 : 500;
        fixture.addWorkers(kWorkers);
        int jobs = 0;
        for (int restart = 0; restart < 10; ++restart) {
            for (int i = 0; i < 40; ++i) {
                fixture.workers.workMs = rng.chance(0.5) ? 30 : 700;
                fixture.submit("job" + std::to_string(jobs++), {step(1)});
                fixture.run(10 + static_cast<Millis>(rng.below(100)));
            }
            fixture.downTimeMs = 5 + static_cast<Millis>(rng.below(200));
            fixture.restart(fixture.busiestWorker());
            // A start that is refused while the worker is down keeps others away until it replies.
            fixture.run(static_cast<Millis>(rng.below(2)) * fixture.downTimeMs);
        }
        fixture.run(20'000);
        CHECK(fixture.workers.violations().empty());
        for (int job = 0; job < jobs; ++job) {
            CAPTURE(job);
            CHECK(fixture.scheduler->stateOf("job" + std::to_string(job)) == JobState::Completed);
        }
    }
}

// Guards against acknowledgements with the end numbers of the former incarnation: the new one
// forgets ends that nobody has read.
TEST_CASE("ends of the former incarnation are not acknowledged to the new one")
{
    RestartFixture fixture;
    fixture.workers.workMs = 20;
    fixture.addWorkers(1);
    for (int job = 0; job < 30; ++job)
        fixture.submit("before" + std::to_string(job), {step(1)});
    fixture.run(1'000);
    REQUIRE(fixture.workers.acknowledgedEnds() == 30);
    fixture.downTimeMs = 10;
    fixture.restart("w0");
    fixture.run(20);
    for (int job = 0; job < 10; ++job) {
        fixture.submit("after" + std::to_string(job), {step(1)});
        fixture.run(30);
    }
    fixture.run(10'000);
    CHECK(fixture.workers.violations().empty());
    for (int job = 0; job < 10; ++job) {
        CAPTURE(job);
        const std::string id = "after" + std::to_string(job);
        CHECK(fixture.scheduler->stateOf(id) == JobState::Completed);
        CHECK(fixture.workers.startsOf({.job = id}) == 1);
    }
}

// Guards against a new leader that takes the tasks of a restarted worker for lost, because the
// roster that it has read names the former incarnation.
TEST_CASE("a new leader adopts the tasks of a worker that has restarted under its id")
{
    for (const bool isDiscoveredFirst : {false, true}) {
        CAPTURE(isDiscoveredFirst);
        RestartFixture fixture;
        fixture.addWorkers(1);
        const auto formerRoster = fixture.scheduler->roster();
        fixture.restart("w0");
        fixture.run(2'000);
        fixture.workers.workMs = 0;
        std::vector<JobSpec> jobs;
        for (int job = 0; job < 5; ++job) {
            jobs.push_back(fixture.spec("job" + std::to_string(job), {step(1)}));
            fixture.scheduler->addJob(jobs.back(), std::nullopt);
        }
        fixture.run(500);
        REQUIRE(fixture.workers.runningCount() == 5);
        const auto currentRoster = fixture.scheduler->roster();
        fixture.workers.setReachable("w0", !isDiscoveredFirst);
        fixture.startTerm();
        fixture.scheduler->addInheritedWorkers(formerRoster);
        for (const JobSpec &job : jobs)
            fixture.scheduler->addJob(job, JobProgress{});
        fixture.scheduler->upsertWorker(fixture.workers.add("w1", "s", kWorkerSize));
        fixture.run(isDiscoveredFirst ? 0 : 300);
        for (const WorkerEntry &entry : currentRoster)
            fixture.scheduler->upsertWorker(entry);
        fixture.run(300);
        fixture.workers.setReachable("w0", true);
        fixture.run(8'000);
        CHECK(fixture.workers.violations().empty());
        CHECK(fixture.workers.runningCount() == 5);
    }
}

// Guards against a perpetual task that stands because the scheduler believes that the restarted
// worker still runs it.
TEST_CASE("a perpetual task that was lost in a restart is back within a second")
{
    for (const Millis discoveryDelayMs : {1, 500}) {
        CAPTURE(discoveryDelayMs);
        RestartFixture fixture;
        fixture.discoveryDelayMs = discoveryDelayMs;
        fixture.workers.workMs = 0;
        fixture.addWorkers(2);
        StepSpec perpetual = step(4);
        perpetual.isPerpetual = true;
        fixture.submit("a", {perpetual});
        fixture.run(5'000);
        REQUIRE(fixture.workers.runningCount() == 4);
        fixture.restart(fixture.workers.workersRunning({.job = "a"}).front());
        fixture.run(1'000);
        CHECK(fixture.workers.runningCount() == 4);
        CHECK(fixture.workers.violations().empty());
    }
}

// Guards against a lease that is taken to end on the clock of the former incarnation: a worker that
// falls silent for good after its restart would hold its tasks for the length of its former life.
TEST_CASE("tasks of a restarted worker that falls silent are lost when its longest lease has ended")
{
    RestartFixture fixture;
    fixture.discoveryDelayMs = 30'000;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.run(60'000);
    fixture.isSilent = true;
    fixture.restart("w0");
    fixture.run(110);
    fixture.submit("a", {step(1)});
    fixture.run(3);
    REQUIRE(fixture.workers.runningCount() == 1);
    fixture.workers.setReachable("w0", false);
    fixture.scheduler->upsertWorker(fixture.workers.add("w1", "s", kWorkerSize));
    fixture.run(9'000);
    CHECK(fixture.workers.startsOf({.job = "a"}) == 2);
    CHECK(fixture.workers.violations().empty());
}

// Guards against crashes that no longer count when the worker is back at once.
TEST_CASE("a task that crashes workers which restart at once is given up")
{
    for (const Millis downMs : {50, 100, 400}) {
        CAPTURE(downMs);
        RestartFixture fixture;
        fixture.workers.downMs = downMs;
        fixture.addWorkers(4);
        fixture.submit("good", {step(20)});
        fixture.submit("bad", {step(2)});
        fixture.run(30'000);
        CHECK(fixture.scheduler->stateOf("bad") == JobState::Failed);
        CHECK(fixture.scheduler->stateOf("good") == JobState::Completed);
        CHECK(fixture.workers.crashesUnder({.job = "bad"}) <= 3);
        CHECK(fixture.workers.violations().empty());
    }
}

// Guards against a perpetual task that stands for longer than the 9 s that the pages allow after
// its last run, because it waits for evidence about a worker that never returns.
TEST_CASE("a perpetual task with a crash behind it is back soon after its worker is gone for good")
{
    constexpr Millis kMaxPauseMs = 9'000;
    RestartFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(4);
    StepSpec perpetual = step(1);
    perpetual.isPerpetual = true;
    fixture.submit("a", {perpetual});
    fixture.run(1'000);
    const TaskId task{.job = "a"};
    const auto holder = [&] { return fixture.workers.workersRunning(task).front(); };
    REQUIRE(fixture.workers.workersRunning(task).size() == 1);
    fixture.restart(holder());
    fixture.run(2'000);
    REQUIRE(fixture.workers.workersRunning(task).size() == 1);
    REQUIRE(fixture.workers.startsOf(task) == 2);
    fixture.workers.crash(holder());
    fixture.run(kMaxPauseMs);
    CHECK(fixture.workers.startsOf(task) == 3);
    CHECK(fixture.workers.violations().empty());
}

// Guards against a crash of the leader: the indices by service and machine lacked the new entry.
TEST_CASE("a restarted worker may show another machine and service at its address")
{
    SchedulerFixture fixture;
    fixture.addWorkers(1);
    fixture.run(500);
    WorkerEntry entry = fixture.workers.add("w0", "t", kWorkerSize);
    entry.machine = "other";
    entry.incarnation = fixture.loop.now();
    fixture.scheduler->upsertWorker(entry);
    fixture.scheduler->setQueues({{.name = "q", .service = "t"}});
    fixture.submit("a", {step(1)});
    fixture.run(2'000);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
}

// Guards against tasks that run twice because a worker holds its lease for longer than the leader
// counts: a renewal that was meant for its former incarnation carried a lease end on the clock of
// that one (hhbma-wick: restarts under the old id, and a cut soon after).
TEST_CASE("tasks of a worker that is cut off soon after its restart wait for its longest lease")
{
    for (const bool isSilent : {false, true}) {
        CAPTURE(isSilent);
        RecentRestartFixture fixture(isSilent);
        fixture.checkTasksMoveOnce();
    }
}

// Guards against the same under a new leader, which counts the leases that its predecessor has
// granted.
TEST_CASE("a new leader waits for the longest lease of a worker that has restarted before")
{
    for (const bool isSilent : {false, true}) {
        CAPTURE(isSilent);
        RecentRestartFixture fixture(isSilent);
        fixture.workers.setReachable("w0", false);
        fixture.changeLeader(fixture.scheduler->roster());
        fixture.checkTasksMoveOnce();
    }
}

// Guards against the same if the worker is cut off once the new leader has renewed its lease.
TEST_CASE("a new leader counts the longest lease of a worker that it has found restarted")
{
    for (const bool isSilent : {false, true}) {
        CAPTURE(isSilent);
        RecentRestartFixture fixture(isSilent);
        fixture.changeLeader(fixture.scheduler->roster());
        fixture.run(100);
        fixture.checkTasksMoveOnce();
    }
}

// Guards against the same if the former leader ended before it could store the new incarnation.
TEST_CASE("a new leader learns from discovery that a worker has restarted")
{
    RecentRestartFixture fixture(false);
    fixture.workers.setReachable("w0", false);
    fixture.changeLeader(fixture.formerRoster);
    fixture.checkTasksMoveOnce();
}

// Guards against a long wait for each silent worker after a change of leaders.
TEST_CASE("a new leader waits for the granted lease only if no worker has restarted lately")
{
    RestartFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    const JobSpec job = fixture.spec("a", {step(2)});
    fixture.scheduler->addJob(job, std::nullopt);
    fixture.run(500);
    const auto roster = fixture.scheduler->roster();
    fixture.workers.setReachable("w0", false);
    fixture.previousLeaseMs = SchedulerSettings().leaseMs;
    fixture.startTerm();
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(job, fixture.stored["a"]);
    fixture.scheduler->upsertWorker(fixture.workers.add("w1", "s", kWorkerSize));
    fixture.run(4'500);
    CHECK(fixture.workers.tasksOn("w1").size() == 2);
    CHECK(fixture.workers.violations().empty());
}

} // namespace chicorywick::scheduler
