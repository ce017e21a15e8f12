#include "scheduler_fixture.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::scheduler {

namespace {

// Time from an acknowledged cancellation to the last start of a task of the job.
constexpr Millis kCancelMs = 3'000;
const Millis kMaxAgeMs = SchedulerSettings().maxJobsAgeMs;

int runningTasks(const SchedulerFixture &fixture)
{
    int tasks = 0;
    for (const WorkerView &worker : fixture.scheduler->workers())
        tasks += worker.tasks;
    return tasks;
}

/// @brief Jobs and cancellations whose watch falls silent for seconds. New jobs are announced; the
/// announcements of cancellations are lost.
class SilentWatchRun
{
public:
    explicit SilentWatchRun(std::uint64_t seed)
        : rng(seed)
        , fixture_(seed)
    {
        fixture_.workers.onStarted = [this](const std::string & /*worker*/, const TaskId &task,
                                            bool isLate) { checkStart(task, isLate); };
        fixture_.workers.setFaults({.lostReply = 0.1, .lateOrder = 0.05});
        // Too small for all jobs, so that tasks wait and steps start long after their job.
        fixture_.addWorkers(2, {.cpuMillis = 5'000, .memoryMib = 32'768});
    }

    base::Rng rng;
    std::vector<std::string> violations;
    int cancellations = 0;

    void submit() { fixture_.submit("j" + std::to_string(jobs_++), {step(3), step(2, {0})}); }

    void cancelAny()
    {
        const std::string id = "j" + std::to_string(rng.below(static_cast<std::uint64_t>(jobs_)));
        if (!cancelledAt_.emplace(id, fixture_.loop.now()).second)
            return;
        ++cancellations;
        if (fixture_.jobsKnownUntil)
            unknown_.push_back(id);
        else
            fixture_.scheduler->cancelJob(id);
    }

    void silenceWatch(Millis duration)
    {
        if (fixture_.jobsKnownUntil)
            return;
        fixture_.jobsKnownUntil = fixture_.loop.now();
        fixture_.loop.after(duration, [this] {
            fixture_.jobsKnownUntil.reset();
            for (const std::string &id : std::exchange(unknown_, {}))
                fixture_.scheduler->cancelJob(id);
        });
    }

    void run(Millis duration) { fixture_.run(duration); }

private:
    void checkStart(const TaskId &task, bool isLate)
    {
        const auto cancelled = cancelledAt_.find(task.job);
        if (isLate || cancelled == cancelledAt_.end())
            return;
        const Millis passed = fixture_.loop.now() - cancelled->second;
        if (passed > kCancelMs)
            violations.push_back(task.text() + " started " + std::to_string(passed)
                                 + " ms after its cancellation");
    }

    SchedulerFixture fixture_;
    int jobs_ = 0;
    std::map<std::string, Millis> cancelledAt_;
    std::vector<std::string> unknown_; ///< cancelled jobs, for the end of the silence
};

} // namespace

// Guards against starts after an acknowledged cancellation, however long the leader's watch is
// silent.
TEST_CASE("while a watch is silent, tasks of cancelled jobs do not start late")
{
    int cancellations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SilentWatchRun run(seed);
        for (int round = 0; round < 100; ++round) {
            run.submit();
            if (run.rng.chance(0.6))
                run.cancelAny();
            if (run.rng.chance(0.1))
                run.silenceWatch(static_cast<Millis>(run.rng.below(8'000)));
            run.run(200);
        }
        run.run(10'000);
        for (const std::string &violation : run.violations)
            FAIL_CHECK(violation);
        cancellations += run.cancellations;
    }
    CHECK(cancellations > 500);
}

// Guards against tasks of cancelled jobs that start because a successor step is unblocked on an old
// view.
TEST_CASE("on an old view of the stored jobs, tasks end and no task starts")
{
    SchedulerFixture fixture;
    fixture.addWorkers(1);
    fixture.run(500);
    fixture.submit("j", {step(2), step(2, {0})});
    fixture.run(100);
    REQUIRE(runningTasks(fixture) == 2);
    fixture.jobsKnownUntil = fixture.loop.now() - kMaxAgeMs - 1;
    fixture.run(3'000);
    CHECK(runningTasks(fixture) == 0);
    CHECK(fixture.scheduler->stateOf("j") == JobState::Running);
    fixture.jobsKnownUntil.reset();
    fixture.run(3'000);
    CHECK(fixture.scheduler->stateOf("j") == JobState::Completed);
}

// Guards against tasks of cancelled jobs that run on while the view is old.
TEST_CASE("on an old view of the stored jobs, stops are sent and leases are renewed")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 60'000;
    fixture.addWorkers(1);
    fixture.run(500);
    fixture.submit("a", {step(1)});
    fixture.submit("b", {step(1)});
    fixture.run(500);
    fixture.jobsKnownUntil = fixture.loop.now() - kMaxAgeMs - 1;
    fixture.scheduler->cancelJob("a");
    fixture.run(10'000);
    CHECK(runningTasks(fixture) == 1);
    CHECK(fixture.scheduler->stateOf("b") == JobState::Running);
}

} // namespace chicorywick::scheduler
