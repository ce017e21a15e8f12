#include "jobs_test_support.h"

#include <doctest/doctest.h>

namespace chicorywick::jobs {

using namespace std::chrono_literals;

// Guards against a job that is accepted but never run.
TEST_CASE_FIXTURE(JobFixture, "a submitted job runs to completion")
{
    addWorkers(2);
    REQUIRE(submit(spec("a")) == 200);
    CHECK(job("a").state() == JobState::Queued);
    run(5s);
    CHECK(job("a").state() == JobState::Succeeded);
    CHECK(platform->taskRuns().size() == 1);
}

// Guards against a large payload that is truncated or rejected.
TEST_CASE_FIXTURE(JobFixture, "a large payload is passed through the object store")
{
    addWorkers(1);
    std::string received;
    platform->setTaskBehaviour([&](const platform::TaskStart &start) {
        received = start.payload;
        return platform::TaskBehaviour{};
    });
    const std::string payload(200'000, 'x');
    REQUIRE(submit(spec("large", payload)) == 200);
    CHECK(job("large").spec().payload.empty());
    run(5s);
    CHECK(job("large").state() == JobState::Succeeded);
    CHECK(received == payload);
}

// Guards against a submission that is reported as accepted although nothing was written. The table
// or the object store is down during the call.
TEST_CASE_FIXTURE(JobFixture, "a submission is rejected while the job cannot be stored")
{
    platform->setFaults({.table = {.down = true}});
    std::string body;
    v1::SubmitJobRequest request;
    request.set_request_id("r");
    *request.mutable_spec() = spec("a");
    CHECK(call("SubmitJob", request, &body) == 503);
    CHECK(body.find("6001") != std::string::npos);
    platform->setFaults({.objects = {.down = true}});
    request.mutable_spec()->set_payload(std::string(100'000, 'x'));
    CHECK(call("SubmitJob", request) == 503);
    platform->setFaults({});
    CHECK_FALSE(repository.get(jobKey("p", "a")).value().has_value());
}

// Guards against a cancelled job that keeps running, and against one that succeeded but is reported
// as cancelled.
TEST_CASE_FIXTURE(JobFixture, "a running job is cancelled once its attempt has ended")
{
    addWorkers(1);
    REQUIRE(submit(spec("long", "{\"run_ms\": 60000}")) == 200);
    REQUIRE(submit(spec("short", "{\"run_ms\": 900}")) == 200);
    run(1s);
    REQUIRE(cancel("long") == 200);
    REQUIRE(cancel("short") == 200);
    CHECK_FALSE(isTerminal(job("long").state()));
    run(5s);
    CHECK(job("long").state() == JobState::Cancelled);
    CHECK(job("short").state() == JobState::Succeeded);
    CHECK(cancel("long") == 412);
}

// Guards against a second run of a non-idempotent job whose first run may have taken effect. The
// worker becomes unreachable while it runs the job.
TEST_CASE_FIXTURE(JobFixture, "a non-idempotent job on an unreachable worker ends as fate-unknown")
{
    addWorkers(1);
    v1::JobSpec message = spec("once", "{\"run_ms\": 60000}");
    message.set_idempotent(false);
    REQUIRE(submit(message) == 200);
    run(2s);
    platform->setWorkerPartitioned("w0", true);
    run(5min);
    CHECK(job("once").state() == JobState::FateUnknown);
    CHECK(platform->taskRuns().size() == 1);
}

// Guards against a job that stays queued for ever because no worker is large enough.
TEST_CASE_FIXTURE(JobFixture, "a job too large for every worker fails with that reason")
{
    addWorkers(2);
    v1::JobSpec message = spec("huge");
    message.mutable_resources()->set_accelerators(1);
    REQUIRE(submit(message) == 200);
    run(9min, 5s);
    CHECK(job("huge").state() == JobState::Queued);
    run(2min, 5s);
    CHECK(job("huge").state() == JobState::Failed);
    CHECK(job("huge").reason().find("no worker of the pool") != std::string::npos);
}

// Guards against an urgent job that waits for long jobs to finish.
TEST_CASE_FIXTURE(JobFixture,
                  "an urgent job preempts another job, which resumes from its checkpoint")
{
    addWorkers(1, {2000, 2048, 0});
    std::vector<std::string> checkpoints;
    platform->setTaskBehaviour([&](const platform::TaskStart &start) {
        checkpoints.push_back(start.checkpoint);
        return platform::TaskBehaviour{.runTime = 20s};
    });
    REQUIRE(submit(spec("slow")) == 200);
    run(3s);
    v1::JobSpec urgent = spec("urgent");
    urgent.set_job_class(v1::JOB_CLASS_URGENT);
    REQUIRE(submit(urgent) == 200);
    run(8s);
    CHECK(isActive(job("urgent").state()));
    CHECK(job("slow").state() == JobState::Queued);
    run(60s);
    CHECK(job("urgent").state() == JobState::Succeeded);
    CHECK(job("slow").state() == JobState::Succeeded);
    REQUIRE(checkpoints.size() == 3);
    CHECK_FALSE(checkpoints[2].empty());
}

// Guards against starting more jobs on a worker that fails all of them, and against a worker that
// is quarantined because of a job that fails everywhere.
TEST_CASE_FIXTURE(JobFixture,
                  "a failing worker is quarantined and a job that fails on every worker fails")
{
    addWorkers(8);
    platform->setTaskBehaviour([](const platform::TaskStart &start) {
        return platform::TaskBehaviour{.runTime = 200ms,
                                       .succeeds = start.worker != "w3"
                                                   && !start.task.ends_with("impossible")};
    });
    for (int i = 0; i < 120; ++i) {
        v1::JobSpec message = spec("j" + std::to_string(i));
        message.mutable_resources()->set_cpu_millis(12000);
        REQUIRE(submit(message) == 200);
        if (i == 60)
            REQUIRE(submit(spec("impossible")) == 200);
        if (i % 8 == 7)
            run(1s);
    }
    run(60s);
    for (int i = 0; i < 120; ++i)
        CHECK(job("j" + std::to_string(i)).state() == JobState::Succeeded);
    CHECK(job("impossible").state() == JobState::Failed);
    CHECK(job("impossible").reason().find("several healthy workers") != std::string::npos);
    const auto workers = repository.workers().value();
    REQUIRE(workers.size() == 1);
    CHECK(workers[0].worker.id == "w3");
    CHECK(workers[0].worker.quarantined);
    v1::WorkerRequest release;
    release.set_request_id("release");
    release.set_id("w3");
    CHECK(call("ReleaseWorker", release) == 200);
    CHECK_FALSE(repository.worker("w3").value()->worker.quarantined);
}

} // namespace chicorywick::jobs
