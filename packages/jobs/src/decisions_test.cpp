#include <chicorywick/jobs/attempt_decision.h>
#include <chicorywick/jobs/placement.h>
#include <chicorywick/jobs/scheduling.h>
#include <chicorywick/jobs/usage_model.h>

#include <doctest/doctest.h>

#include <algorithm>

namespace chicorywick::jobs {

using namespace std::chrono_literals;

namespace {

const base::TimePoint kNow = base::fromMillis(1'000'000'000);

JobSpec makeSpec(bool idempotent)
{
    return {.pool = "p",
            .id = "j",
            .team = "t",
            .kind = "k",
            .resources = {1000, 1024, 0},
            .idempotent = idempotent};
}

Job runningJob(bool idempotent)
{
    return Job::accept(makeSpec(idempotent), kNow)
            .value()
            .start({"w", {1000, 1024, 0}, kNow + 180s}, kNow)
            .value()
            .confirmRunning(1)
            .value();
}

AttemptEnd endOf(AttemptOutcome outcome)
{
    return {.attempt = 1, .outcome = outcome};
}

QueueEntry entry(std::size_t job, const std::string &team, JobClass jobClass,
                 base::Duration age = 0s)
{
    return {.job = job,
            .team = team,
            .jobClass = jobClass,
            .requested = {1000, 1024, 0},
            .acceptedAt = kNow - age};
}

} // namespace

// Guards against a second completion, or a completion by an attempt that has been replaced.
TEST_CASE("only the current attempt of an unfinished job can complete it")
{
    const Job job = runningJob(true);
    AttemptEnd stale = endOf(AttemptOutcome::Succeeded);
    stale.attempt = 2;
    CHECK(job.endAttempt(stale, kNow).error().code == base::Code::StaleAttempt);
    const Job done = job.endAttempt(endOf(AttemptOutcome::Succeeded), kNow).value();
    CHECK(done.state() == JobState::Succeeded);
    CHECK(done.endAttempt(endOf(AttemptOutcome::Failed), kNow).error().code
          == base::Code::JobAlreadyFinished);
    CHECK(done.requestCancel(kNow).error().code == base::Code::JobAlreadyFinished);
    CHECK(job.start({"w2", {}, kNow + 180s}, kNow).error().code == base::Code::InvalidTransition);
}

// Guards against a second run of a job that must run at most once.
TEST_CASE("a non-idempotent job is retried only if its task was never started")
{
    const Job job = runningJob(false);
    const auto stateAfter = [&](AttemptOutcome outcome) {
        return job.endAttempt(endOf(outcome), kNow).value().state();
    };
    CHECK(stateAfter(AttemptOutcome::NeverStarted) == JobState::Queued);
    CHECK(stateAfter(AttemptOutcome::Lost) == JobState::FateUnknown);
    CHECK(stateAfter(AttemptOutcome::LeaseExpired) == JobState::FateUnknown);
    CHECK(stateAfter(AttemptOutcome::Failed) == JobState::Failed);
    CHECK(stateAfter(AttemptOutcome::Interrupted) == JobState::Failed);
    CHECK(stateAfter(AttemptOutcome::Checkpointed) == JobState::Failed);
}

// Guards against a renewal that extends a worker's lease beyond the row's lease end, and against an
// attempt that is declared lost while it may run.
TEST_CASE("worker leases stay within the row's lease and an attempt is lost only after it expired")
{
    const LeaseTimes times;
    const Job job = runningJob(true);
    AttemptObservation observed{.pollResult = PollResult::Running};
    CHECK(decideAttempt(job, observed, times, kNow + 80s).command == TaskCommand::Renew);
    CHECK(decideAttempt(job, observed, times, kNow + 91s).command != TaskCommand::Renew);
    CHECK(decideAttempt(job, observed, times, kNow + 61s).extendTo.has_value());
    observed.tableDown = true;
    CHECK(decideAttempt(job, observed, times, kNow + 91s).command == TaskCommand::Checkpoint);
    observed.pollResult = PollResult::Unreachable;
    CHECK_FALSE(decideAttempt(job, observed, times, kNow + 242s).end.has_value());
    CHECK(decideAttempt(job, observed, times, kNow + 243s).end->outcome == AttemptOutcome::Lost);
}

// Guards against a task that keeps using resources reserved by other tasks of its worker.
TEST_CASE("a task that exceeds its reservation is throttled, then checkpointed, then stopped")
{
    AttemptObservation observed{
            .pollResult = PollResult::Running, .overuse = 1s, .renewedAt = kNow};
    CHECK(decideAttempt(runningJob(true), observed, {}, kNow).command == TaskCommand::Throttle);
    observed.overuse = 11s;
    CHECK(decideAttempt(runningJob(true), observed, {}, kNow).command == TaskCommand::Checkpoint);
    CHECK(decideAttempt(runningJob(false), observed, {}, kNow).command == TaskCommand::Throttle);
    observed.overuse = 31s;
    CHECK(decideAttempt(runningJob(false), observed, {}, kNow).command == TaskCommand::Stop);
}

// Guards against archive jobs that never get a place and against a team that gets all places.
TEST_CASE("the queue is ordered by class, share and age, within quotas")
{
    std::vector<QueueEntry> queue;
    for (std::size_t i = 0; i < 40; ++i)
        queue.push_back(entry(i, i % 2 == 0 ? "a" : "b", JobClass::Normal));
    queue.push_back(entry(40, "c", JobClass::Archive));
    queue.push_back(entry(41, "c", JobClass::Urgent));
    TeamShares shares;
    shares.quotas["a"] = {.team = "a", .cpuMillis = 0, .accelerators = 0, .weight = 3};
    shares.quotas["b"] = {.team = "b", .cpuMillis = 2000, .accelerators = 0, .weight = 1};
    const auto order = orderQueue(queue, shares, kNow, 22);
    CHECK(order[0].job == 41);
    const auto count = [&](const std::string &team) {
        return std::count_if(order.begin(), order.end(),
                             [&](const QueueEntry &item) { return item.team == team; });
    };
    CHECK(count("b") == 2);
    CHECK(count("c") == 2);
    const std::vector<QueueEntry> aged{entry(0, "a", JobClass::Normal),
                                       entry(1, "b", JobClass::Archive, 31min)};
    CHECK(orderQueue(aged, {}, kNow, 2).size() == 2);
}

// Guards against reserving the declared size of a kind that is known to need less or more.
TEST_CASE("learned sizes are bounded and limited to the capacities of the workers")
{
    UsageModel model;
    const JobSpec spec = makeSpec(true);
    CHECK(model.predict(spec).resources == spec.resources);
    for (int i = 0; i < 20; ++i)
        model.recordUsage("k", {300, 100'000});
    const UsagePrediction learned = model.predict(spec);
    CHECK(learned.resources.cpuMillis == 300);
    CHECK(learned.resources.memoryMib == 4096);
    const std::vector<platform::Capacity> workers{{4000, 2048, 0}};
    CHECK(placeableSize(learned.resources, spec.resources, workers)->memoryMib == 2048);
    CHECK_FALSE(placeableSize({1, 1, 1}, {1, 1, 1}, workers).has_value());
    for (int i = 0; i < 10'000; ++i)
        model.recordRunTime("kind" + std::to_string(i), 1s);
    CHECK(model.size() <= 4096);
}

// Guards against placing all attempts of a kind on one rack, whose loss would end them all.
TEST_CASE("attempts of a kind are spread over racks and zones")
{
    std::vector<WorkerView> workers;
    for (int i = 0; i < 6; ++i)
        workers.push_back({.id = "w" + std::to_string(i),
                           .zone = "z" + std::to_string(i / 2),
                           .rack = "r" + std::to_string(i / 2),
                           .capacity = {16000, 16384, 0}});
    KindSpread spread{.racks = {{"r0", 1}}, .zones = {{"z0", 1}}, .total = 1};
    const auto picked = pickWorker({.requested = {1000, 1024, 0}, .spread = &spread}, workers);
    CHECK(workers[*picked].rack != "r0");
}

} // namespace chicorywick::jobs
