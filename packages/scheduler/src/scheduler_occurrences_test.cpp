#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <limits>

namespace chicorywick::scheduler {

namespace {

JobSpec recurring(SchedulerFixture &fixture, int tasks, std::int64_t count, Millis intervalMs)
{
    JobSpec spec = fixture.spec("a", {step(tasks)});
    spec.repeatCount = count;
    spec.firstStartWall = fixture.loop.now();
    spec.intervalMs = intervalMs;
    return spec;
}

std::size_t openOccurrences(SchedulerFixture &fixture)
{
    const auto progress = fixture.scheduler->progressOf("a");
    return progress ? progress->open.size() : 0;
}

} // namespace

// Guards against a job that takes the memory of each leader of its cell in turn.
TEST_CASE("the number of open occurrences and of their tasks is bounded")
{
    for (const auto &[tasks, expected] :
         {std::pair(1, kMaxOpenOccurrences), std::pair(400, 25), std::pair(kMaxTasksPerJob, 1)}) {
        SchedulerFixture fixture;
        fixture.addWorkers(1);
        fixture.scheduler->addJob(recurring(fixture, tasks, 20'000, 0), std::nullopt);
        CHECK(openOccurrences(fixture) == static_cast<std::size_t>(expected));
        fixture.run(500);
        CHECK(openOccurrences(fixture) <= static_cast<std::size_t>(expected));
    }
}

// Guards against occurrences that are lost or repeated because they had to wait, also after a
// change of leaders between the end of an occurrence and its storing.
TEST_CASE("due occurrences that wait for others all run once")
{
    for (const Millis firstTermMs : {60'000, 1'600, 1'800, 2'000, 2'300, 2'600}) {
        SchedulerFixture fixture;
        fixture.addWorkers(20);
        constexpr int kCount = kMaxOpenOccurrences * 4;
        const JobSpec spec = recurring(fixture, 1, kCount, 0);
        fixture.scheduler->addJob(spec, std::nullopt);
        for (int i = 0; i < 5 && fixture.scheduler->stateOf("a") != JobState::Completed; ++i) {
            // Later terms outlast the leases that the leader before may have granted.
            fixture.run((i == 0 ? firstTermMs : 10'000) - 1'500);
            fixture.isStoreUp = false;
            fixture.run(1'500);
            if (fixture.scheduler->stateOf("a") == JobState::Completed)
                break;
            const std::vector<WorkerEntry> roster = fixture.scheduler->roster();
            fixture.startTerm();
            fixture.isStoreUp = true;
            fixture.scheduler->addInheritedWorkers(roster);
            for (const WorkerEntry &worker : roster)
                fixture.scheduler->upsertWorker(worker);
            fixture.scheduler->addJob(spec, fixture.stored["a"]);
        }
        CHECK(fixture.scheduler->stateOf("a") == JobState::Completed);
        int startedOnce = 0;
        for (int number = 0; number < kCount; ++number)
            startedOnce +=
                    fixture.workers.startsOf({.job = "a", .occurrence = number}) == 1 ? 1 : 0;
        CHECK(startedOnce == kCount);
        CHECK(fixture.workers.violations().empty());
    }
}

// Guards against an occurrence that starts early because its time exceeds the range of a number.
TEST_CASE("an occurrence whose time is out of range never starts")
{
    SchedulerFixture fixture;
    fixture.addWorkers(1);
    fixture.run(1'000);
    fixture.scheduler->addJob(recurring(fixture, 1, 3, std::numeric_limits<Millis>::max()),
                              std::nullopt);
    fixture.run(3'000);
    CHECK(fixture.workers.startsOf({.job = "a", .occurrence = 0}) == 1);
    CHECK(fixture.workers.startsOf({.job = "a", .occurrence = 1}) == 0);
}

} // namespace chicorywick::scheduler
