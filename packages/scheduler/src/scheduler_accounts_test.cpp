#include "scheduler_fixture.h"

#include <doctest/doctest.h>

namespace chicorywick::scheduler {

namespace {

constexpr Resources cpuLimit(std::int64_t cpuMillis)
{
    return {.cpuMillis = cpuMillis,
            .memoryMib = Resources::kUnlimited,
            .accelerators = Resources::kUnlimited};
}

struct AccountFixture : SchedulerFixture
{
    using SchedulerFixture::SchedulerFixture;

    JobSpec specOf(const std::string &account, const std::string &id, std::vector<StepSpec> steps)
    {
        JobSpec job = spec(id, std::move(steps));
        job.account = account;
        return job;
    }
    void submitFor(const std::string &account, const std::string &id, std::vector<StepSpec> steps)
    {
        scheduler->addJob(specOf(account, id, std::move(steps)), std::nullopt);
    }
    std::int64_t runningCpu(const std::string &account) const
    {
        const auto loads = scheduler->accountLoads();
        const auto load = loads.find(account);
        return load != loads.end() ? load->second.running.cpuMillis : 0;
    }
};

} // namespace

// Guards against an account that takes more than its limit, and against one that is held back below
// it or holds back others.
TEST_CASE("the tasks of an account run within its limit, those of others as before")
{
    AccountFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(4);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(5'500)}});
    fixture.submitFor("a", "a1", {step(20)});
    fixture.submitFor("b", "b1", {step(20)});
    fixture.submit("c1", {step(10)});
    fixture.run(1'000);
    CHECK(fixture.workers.runningCount() == 5 + 20 + 10);
    CHECK(fixture.runningCpu("a") == 5'000);
    CHECK(fixture.scheduler->accountLoads()["a"].waiting.cpuMillis == 15'000);
}

// Guards against tasks that wait although a run of their account has ended, its limit has grown, or
// another account's long queue stands before theirs.
TEST_CASE("waiting tasks start as soon as the limit allows it")
{
    AccountFixture fixture;
    fixture.addWorkers(4);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(2'000)}, {"b", cpuLimit(0)}});
    for (int job = 0; job < 500; ++job)
        fixture.submitFor("b", "b" + std::to_string(job), {step(1)});
    fixture.submitFor("a", "a1", {step(8)});
    fixture.run(1'500);
    CHECK(fixture.scheduler->stateOf("a1") == JobState::Running);
    CHECK(fixture.runningCpu("b") == 0);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(8'000)}, {"b", cpuLimit(0)}});
    fixture.run(1'500);
    CHECK(fixture.scheduler->stateOf("a1") == JobState::Completed);
}

// Guards against runs that are stopped by a limit that falls, and against starts before the runs
// have ended.
TEST_CASE("a limit that falls stops nothing and starts nothing")
{
    AccountFixture fixture;
    fixture.addWorkers(2);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(6'000)}});
    fixture.submitFor("a", "a1", {step(12)});
    fixture.run(100);
    REQUIRE(fixture.runningCpu("a") == 6'000);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(1'000)}});
    fixture.run(200);
    CHECK(fixture.runningCpu("a") == 6'000);
    fixture.run(500);
    CHECK(fixture.runningCpu("a") <= 1'000);
    fixture.run(6'000);
    CHECK(fixture.scheduler->stateOf("a1") == JobState::Completed);
}

// Guards against machines that are moved to a pool for tasks that may not start there.
TEST_CASE("tasks that the limit of their account holds back do not call for machines")
{
    AccountFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(1);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(10'000)}});
    fixture.submitFor("a", "a1", {step(100)});
    fixture.run(2'000);
    const ServiceLoad load = fixture.scheduler->loads()["s"];
    CHECK(load.runningCpuMillis == 10'000);
    CHECK(load.waitingCpuMillis == 0);
    CHECK(load.extraWorkers == 0);
}

// Guards against an account that exceeds its limit because a run on a silent worker, or one whose
// start had no answer, does not count.
TEST_CASE("runs of unknown fate count until their lease has expired")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        AccountFixture fixture(seed);
        fixture.workers.setFaults({.lostReply = 0.2, .lateOrder = 0.1, .lateRenewal = 0.05});
        fixture.addWorkers(4);
        fixture.scheduler->setAccountLimits({{"a", cpuLimit(7'000)}});
        std::size_t most = 0;
        fixture.workers.onStarted = [&](const auto &, const auto &, bool) {
            most = std::max(most, static_cast<std::size_t>(fixture.workers.runningCount()));
        };
        for (int job = 0; job < 12; ++job)
            fixture.submitFor("a", "a" + std::to_string(job), {step(6)});
        for (int second = 0; second < 40; ++second) {
            if (second % 8 == 3)
                fixture.workers.setReachable("w1", false);
            if (second % 8 == 6)
                fixture.workers.setReachable("w1", true);
            fixture.run(1'000);
        }
        CHECK(most <= 7);
        fixture.workers.setFaults({});
        fixture.run(40'000);
        for (int job = 0; job < 12; ++job)
            CHECK(fixture.scheduler->stateOf("a" + std::to_string(job)) == JobState::Completed);
    }
}

// Guards against a new leader that starts tasks up to the limit while runs of its predecessor go on
// where it cannot see them.
TEST_CASE("a new leader counts what may run on silent workers")
{
    AccountFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(3);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(9'000)}});
    const JobSpec job = fixture.specOf("a", "a1", {step(8)});
    fixture.scheduler->addJob(job, std::nullopt);
    fixture.run(1'000);
    REQUIRE(fixture.workers.runningCount() == 8);
    const auto roster = fixture.scheduler->roster();
    for (const WorkerEntry &entry : roster)
        fixture.workers.setReachable(entry.id, false);
    fixture.startTerm();
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(9'000)}});
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(job, JobProgress{});
    for (const WorkerEntry &entry : roster)
        fixture.scheduler->upsertWorker(entry);
    fixture.scheduler->upsertWorker(fixture.workers.add("new", "s", kWorkerSize));
    fixture.submitFor("a", "a2", {step(8)});
    fixture.run(1'500);
    CHECK(fixture.workers.runningCount() <= 9);
    CHECK(fixture.workers.runningCount() > 8);
    for (const WorkerEntry &entry : roster)
        fixture.workers.setReachable(entry.id, true);
    fixture.run(3'000);
    CHECK(fixture.workers.runningCount() == 9);
    CHECK(fixture.workers.violations().empty());
}

// Guards against a gang that starts in part, or beyond the limit, because its members are counted
// one by one.
TEST_CASE("a gang starts as a whole within the limit or not at all")
{
    AccountFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(2);
    StepSpec gang = step(6);
    gang.isGang = true;
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(5'000)}});
    fixture.submitFor("a", "a1", {gang});
    fixture.run(500);
    CHECK(fixture.workers.runningCount() == 0);
    fixture.scheduler->setAccountLimits({{"a", cpuLimit(6'000)}});
    fixture.run(500);
    CHECK(fixture.workers.runningCount() == 6);
}

} // namespace chicorywick::scheduler
