#include "crash_fixture.h"

#include <chicorywick/base/rng.h>

#include <doctest/doctest.h>

#include <set>

namespace chicorywick::scheduler {

namespace {

StepSpec perpetualStep(int tasks)
{
    StepSpec perpetual = step(tasks);
    perpetual.isPerpetual = true;
    return perpetual;
}

// A job with the policy under which its submission was accepted.
JobSpec acceptedJob(SchedulerFixture &fixture, const std::string &id, std::vector<StepSpec> steps)
{
    JobSpec spec = fixture.spec(id, std::move(steps));
    spec.acceptedPolicy = {.name = spec.queue, .service = "s", .maxAttempts = 2};
    return spec;
}

} // namespace

// Guards against a leader that crashes, and its successors after it, when maintenance drains a
// worker with a perpetual task whose queue was removed (review/2).
TEST_CASE("a worker is drained while it runs a perpetual task of a removed queue")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(2);
    fixture.submit("a", {perpetualStep(1)});
    fixture.run(5'000);
    const TaskId task{.job = "a"};
    const auto former = fixture.workers.workersRunning(task);
    REQUIRE(former.size() == 1);
    fixture.scheduler->setQueues({});
    fixture.scheduler->setCordoned(former[0], CordonReason::Maintenance, true);
    fixture.run(5'000);
    // Without a known policy no worker can be chosen, so the task keeps running.
    CHECK(fixture.workers.workersRunning(task) == former);
}

// Guards against accepted jobs that stand still once the operator removes their queue.
TEST_CASE("accepted jobs of a removed queue run to their end, also under a new leader")
{
    SchedulerFixture fixture;
    fixture.workers.outcome = [](const TaskId &task, std::int64_t) {
        return task.job == "lasting" ? EndKind::Failed : EndKind::Done;
    };
    fixture.addWorkers(2);
    const JobSpec finite = acceptedJob(fixture, "finite", {step(40), step(2, {0})});
    const JobSpec lasting = acceptedJob(fixture, "lasting", {perpetualStep(2)});
    fixture.scheduler->addJob(finite, std::nullopt);
    fixture.scheduler->addJob(lasting, std::nullopt);
    fixture.run(200);
    fixture.scheduler->setQueues({});
    // Perpetual tasks fail after half a second here and start again.
    fixture.run(5'000);
    CHECK(fixture.scheduler->stateOf("finite") == JobState::Completed);
    CHECK(fixture.workers.workersRunning({.job = "lasting"}).size() == 1);

    const auto roster = fixture.scheduler->roster();
    fixture.startTerm();
    fixture.scheduler->setQueues({});
    fixture.scheduler->addInheritedWorkers(roster);
    fixture.scheduler->addJob(lasting, fixture.stored["lasting"]);
    for (const WorkerEntry &entry : roster)
        fixture.scheduler->upsertWorker(entry);
    fixture.run(5'000);
    CHECK(fixture.workers.workersRunning({.job = "lasting"}).size() == 1);
    CHECK(fixture.workers.violations().empty());
}

// Guards against a perpetual task that keeps a machine from its upkeep after its queue was removed.
TEST_CASE("a perpetual task of a removed queue moves to another worker for maintenance")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.addWorkers(2);
    fixture.scheduler->addJob(acceptedJob(fixture, "a", {perpetualStep(1)}), std::nullopt);
    fixture.run(5'000);
    const TaskId task{.job = "a"};
    const auto former = fixture.workers.workersRunning(task);
    REQUIRE(former.size() == 1);
    fixture.scheduler->setQueues({});
    fixture.scheduler->setCordoned(former[0], CordonReason::Maintenance, true);
    fixture.run(5'000);
    const auto current = fixture.workers.workersRunning(task);
    REQUIRE(current.size() == 1);
    CHECK(current != former);
}

// Guards against a task that is started again beyond its attempts, because it used them up while
// its queue had no route.
TEST_CASE("attempts count while the queue of a job is removed")
{
    SchedulerFixture fixture;
    fixture.addWorkers(1);
    fixture.workers.outcome = [](const TaskId &, std::int64_t) { return EndKind::Failed; };
    fixture.scheduler->addJob(acceptedJob(fixture, "a", {step(1)}), std::nullopt);
    fixture.run(100);
    fixture.scheduler->setQueues({});
    fixture.run(3'000);
    CHECK(fixture.scheduler->stateOf("a") == JobState::Failed);
    CHECK(fixture.workers.startsOf({.job = "a"}) == 2);
}

// Guards against crashes, second runs, lost jobs and starts on a wrong service when queues are
// removed, added again or moved to another service while their jobs wait, run, are cancelled, are
// drained from their workers, or are on trial.
TEST_CASE("jobs end while queues are removed, added again and moved to other services")
{
    constexpr std::uint64_t kSeeds = 40;
    constexpr int kJobs = 60;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        CrashFixture fixture(seed);
        base::Rng rng(seed);
        fixture.addWorkers(4);
        for (int i = 4; i < 8; ++i)
            fixture.scheduler->upsertWorker(
                    fixture.workers.add("w" + std::to_string(i), "t", kWorkerSize));
        std::set<std::string> cancelled;
        for (int job = 0; job < kJobs; ++job) {
            const bool isDeadly = rng.chance(0.05);
            const std::string id = (isDeadly ? "bad" : "job") + std::to_string(job);
            const bool isPerpetual = rng.chance(0.2);
            JobSpec spec = acceptedJob(fixture, id,
                                       isPerpetual ? std::vector{perpetualStep(2)}
                                                   : std::vector{step(4), step(2, {0})});
            fixture.scheduler->addJob(spec, std::nullopt);
            if (isPerpetual || rng.chance(0.1))
                cancelled.insert(id);
            if (rng.chance(0.4)) {
                const bool isRemoved = rng.chance(0.5);
                const char *const service = rng.chance(0.5) ? "s" : "t";
                fixture.scheduler->setQueues(
                        isRemoved ? std::vector<QueuePolicy>()
                                  : std::vector<QueuePolicy>{
                                          {.name = "q", .service = service, .maxAttempts = 2}});
            }
            if (rng.chance(0.3))
                fixture.scheduler->setCordoned("w" + std::to_string(rng.below(8)),
                                               CordonReason::Maintenance, rng.chance(0.5));
            if (rng.chance(0.3) && !cancelled.empty())
                fixture.scheduler->cancelJob(*cancelled.begin());
            fixture.run(static_cast<Millis>(rng.below(300)));
        }
        for (int i = 0; i < 8; ++i)
            fixture.scheduler->setCordoned("w" + std::to_string(i), CordonReason::Maintenance,
                                           false);
        for (const std::string &id : cancelled)
            fixture.scheduler->cancelJob(id);
        fixture.run(60'000);
        CHECK(fixture.workers.violations().empty());
        CHECK(fixture.workers.runningCount() == 0);
        for (int job = 0; job < kJobs; ++job)
            for (const std::string prefix : {"job", "bad"}) {
                const auto state = fixture.scheduler->stateOf(prefix + std::to_string(job));
                if (!state)
                    continue;
                CAPTURE(prefix);
                CAPTURE(job);
                CHECK(isTerminal(*state));
                CHECK((prefix == "bad" || state != JobState::Failed));
            }
    }
}

// Guards against a second start of tasks that still run on workers of a service which their queue
// used before: after a change of leaders only the workers of its present service were waited for
// (review/6).
TEST_CASE("tasks on a former service of their queue start nowhere else under a new leader")
{
    // Moved once, moved twice, and moved away and back.
    for (const std::vector<const char *> &services :
         std::vector<std::vector<const char *>>{{"t"}, {"t", "u"}, {"t", "s"}}) {
        CAPTURE(services.back());
        CrashFixture fixture;
        fixture.workers.workMs = 0;
        const auto useService = [&fixture](const char *service) {
            fixture.scheduler->setQueues({{.name = "q", .service = service, .maxAttempts = 2}});
        };
        for (const std::string service : {"s", "t", "u"})
            fixture.scheduler->upsertWorker(
                    fixture.workers.add("w-" + service, service, kWorkerSize));
        const JobSpec spec = acceptedJob(fixture, "a", {step(20)});
        fixture.scheduler->addJob(spec, std::nullopt);
        fixture.run(1'000);
        REQUIRE(fixture.workers.tasksOn("w-s").size() == 16);
        // The tasks that found no room start on the next service.
        for (const char *const service : services) {
            useService(service);
            fixture.run(1'000);
        }
        REQUIRE(fixture.workers.tasksOn("w-t").size() == 4);
        const auto roster = fixture.scheduler->roster();
        // Workers of the present service answer at once, those of the former ones later.
        std::set<std::string> silent{"w-s", "w-t"};
        silent.erase(std::string("w-") + services.back());
        for (const std::string &worker : silent)
            fixture.workers.setReachable(worker, false);
        fixture.startTerm();
        useService(services.back());
        fixture.scheduler->addInheritedWorkers(roster);
        fixture.scheduler->addJob(spec, fixture.stored["a"]);
        for (const WorkerEntry &entry : roster)
            fixture.scheduler->upsertWorker(entry);
        fixture.scheduler->upsertWorker(fixture.workers.add("w-new", services.back(), kWorkerSize));
        fixture.run(1'000);
        for (const std::string &worker : silent)
            fixture.workers.setReachable(worker, true);
        fixture.run(5'000);
        CHECK(fixture.workers.violations().empty());
        CHECK(fixture.workers.runningCount() == 20);
    }
}

// Guards against a task that runs on a service which the next leader does not know of: its start
// went out before the service was stored with the job.
TEST_CASE("a job waits until the new service of its queue is stored with it")
{
    SchedulerFixture fixture;
    fixture.workers.workMs = 0;
    fixture.scheduler->upsertWorker(fixture.workers.add("w-t", "t", kWorkerSize));
    fixture.scheduler->addJob(acceptedJob(fixture, "a", {step(1)}), std::nullopt);
    fixture.run(500);
    fixture.isStoreUp = false;
    fixture.scheduler->setQueues({{.name = "q", .service = "t", .maxAttempts = 2}});
    fixture.run(1'000);
    CHECK(fixture.workers.runningCount() == 0);
    fixture.isStoreUp = true;
    fixture.run(500);
    CHECK(fixture.workers.runningCount() == 1);
    CHECK(fixture.stored["a"].services == std::set<std::string>{"t"});
}

} // namespace chicorywick::scheduler
