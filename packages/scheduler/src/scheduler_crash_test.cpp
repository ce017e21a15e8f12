#include "crash_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

// Guards against a task that crashes worker after worker until the end of the day.
TEST_CASE("a task that crashes the workers that start it is given up")
{
    CrashFixture fixture;
    fixture.addWorkers(4);
    fixture.submit("good", {step(20)});
    fixture.submit("bad", {step(2)});
    fixture.run(30'000);
    CHECK(fixture.scheduler->stateOf("bad") == JobState::Failed);
    CHECK(fixture.stored["bad"].state == JobState::Failed);
    CHECK(fixture.scheduler->stateOf("good") == JobState::Completed);
    CHECK(fixture.workers.crashesUnder({.job = "bad"}) == 2);
    CHECK(fixture.workers.startsOf({.job = "bad"}) == 2);
    CHECK(fixture.workers.violations().empty());
}

// Guards against jobs that are given up because their tasks are often lost with a worker that
// another task has crashed.
TEST_CASE("tasks beside one that crashes its workers are not given up")
{
    CrashFixture fixture;
    fixture.addWorkers(3);
    for (int i = 0; i < 12; ++i) {
        fixture.submit("good" + std::to_string(i), {step(20), step(4, {0})});
        fixture.submit("bad" + std::to_string(i), {step(3)});
        fixture.run(300);
    }
    fixture.run(100'000);
    for (int i = 0; i < 12; ++i) {
        CAPTURE(i);
        CHECK(fixture.scheduler->stateOf("good" + std::to_string(i)) == JobState::Completed);
        CHECK(fixture.scheduler->stateOf("bad" + std::to_string(i)) == JobState::Failed);
    }
    CHECK(fixture.workers.violations().empty());
}

// Guards against a count of crashes that a new leader begins anew.
TEST_CASE("crashes under a task count across a change of leaders")
{
    for (const Millis firstTermMs : {3'400, 5'000, 7'000}) {
        CAPTURE(firstTermMs);
        CrashFixture fixture;
        fixture.addWorkers(4);
        const JobSpec bad = fixture.spec("bad", {step(1)});
        fixture.scheduler->addJob(bad, std::nullopt);
        fixture.run(firstTermMs);
        for (int term = 0; term < 4; ++term) {
            fixture.changeLeader({bad});
            fixture.run(6'000);
        }
        fixture.run(20'000);
        CHECK(fixture.scheduler->stateOf("bad") == JobState::Failed);
        CHECK(fixture.workers.violations().empty());
    }
}

// Guards against a task that crashes its worker only after it has been seen at work.
TEST_CASE("a task that crashes its workers after a while is given up")
{
    for (const Millis delayMs : {100, 400, 1'500, 4'000}) {
        CAPTURE(delayMs);
        CrashFixture fixture;
        fixture.workers.crashDelayMs = delayMs;
        fixture.workers.workMs = 5'000;
        fixture.addWorkers(4);
        for (int i = 0; i < 30; ++i)
            fixture.submit("good" + std::to_string(i), {step(3)});
        fixture.submit("bad", {step(1)});
        fixture.run(120'000);
        CHECK(fixture.scheduler->stateOf("bad") == JobState::Failed);
        for (int i = 0; i < 30; ++i)
            CHECK(fixture.scheduler->stateOf("good" + std::to_string(i)) == JobState::Completed);
        CHECK(fixture.workers.violations().empty());
    }
}

// Guards against a perpetual job, or a worker that stays away for longer than its lease, for which
// the crashes are not counted.
TEST_CASE("crashes count for perpetual tasks and for workers that are down for long")
{
    for (const Millis downMs : {1'000, 3'200, 6'000, 12'000}) {
        CAPTURE(downMs);
        CrashFixture fixture;
        fixture.workers.downMs = downMs;
        fixture.addWorkers(8);
        StepSpec perpetual = step(2);
        perpetual.isPerpetual = true;
        perpetual.maxPerWorker = 1;
        fixture.submit("bad", {perpetual});
        fixture.run(90'000);
        CHECK(fixture.scheduler->stateOf("bad") == JobState::Failed);
        CHECK(fixture.workers.violations().empty());
    }
}

// Guards against a job that is given up for a start that reached its worker only after the crash.
TEST_CASE("a start without an answer on a crashed worker is no cause to give up a task")
{
    CrashFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.run(500);
    const auto crash = [&fixture] {
        fixture.workers.crash("w0");
        fixture.run(3'000);
        fixture.scheduler->upsertWorker(fixture.workers.add("w0", "s", kWorkerSize));
    };
    fixture.workers.setReachable("w0", false);
    fixture.submit("good", {step(1)});
    fixture.run(100);
    crash();
    fixture.run(150);
    REQUIRE(fixture.workers.startsOf({.job = "good"}) == 1);
    crash();
    fixture.run(500);
    CHECK(fixture.scheduler->stateOf("good") == JobState::Running);
    CHECK(fixture.workers.startsOf({.job = "good"}) == 2);
}

// Guards against planned ends of workers, and cuts, that count as crashes.
TEST_CASE("losses by draining, maintenance and network partitions give up no task")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 20'000;
    fixture.addWorkers(2);
    fixture.submit("a", {step(1)});
    const TaskId task{.job = "a"};
    for (int round = 0; round < 8; ++round) {
        fixture.run(1'000);
        const auto holders = fixture.workers.workersRunning(task);
        REQUIRE(holders.size() == 1);
        if (round % 2 == 0) {
            fixture.scheduler->setCordoned(holders[0], CordonReason::Maintenance, true);
            fixture.scheduler->upsertWorker(fixture.workers.add(holders[0], "s", kWorkerSize));
        } else {
            fixture.workers.setReachable(holders[0], false);
            fixture.run(8'000);
            fixture.workers.setReachable(holders[0], true);
        }
    }
    fixture.run(60'000);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
}

// Guards against starts beyond the limit, and against ordinary jobs that are given up, whatever
// else happens at the same time.
TEST_CASE("under call faults and leader changes, tasks that crash workers are bounded")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        CrashFixture fixture(seed);
        base::Rng rng(seed);
        fixture.workers.crashDelayMs = 5 + static_cast<Millis>(rng.below(40));
        fixture.workers.downMs = 1'000 + static_cast<Millis>(rng.below(5'000));
        fixture.workers.setFaults({.lostReply = 0.02, .lateOrder = 0.0});
        fixture.addWorkers(6);
        std::vector<JobSpec> jobs;
        for (int round = 0; round < 40; ++round) {
            const std::string number = std::to_string(round);
            jobs.push_back(fixture.spec((rng.chance(0.1) ? "bad" : "good") + number,
                                        {step(4), step(2, {0})}));
            fixture.scheduler->addJob(jobs.back(), std::nullopt);
            fixture.run(250);
            if (rng.chance(0.04))
                fixture.changeLeader(jobs);
        }
        fixture.workers.setFaults({});
        fixture.run(120'000);
        for (const std::string &violation : fixture.workers.violations())
            FAIL_CHECK(violation);
        for (const JobSpec &job : jobs) {
            CAPTURE(job.id);
            const bool isBad = job.id.starts_with("bad");
            CHECK(fixture.scheduler->stateOf(job.id)
                  == (isBad ? JobState::Failed : JobState::Completed));
        }
    }
}

} // namespace chicorywick::scheduler
