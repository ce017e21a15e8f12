#pragma once

#include "chicorywick/v1/job_service.pb.h"

#include <chicorywick/jobs/job_driver.h>
#include <chicorywick/jobs/job_services.h>
#include <chicorywick/platform/memory_platform.h>

namespace chicorywick::jobs {

/// @brief An in-memory platform, a driver of pool "p" and the job service.
struct JobFixture
{
    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    base::Clock clock{time};
    std::shared_ptr<platform::MemoryPlatform> platform = std::make_shared<platform::MemoryPlatform>(
            platform::MemoryPlatformOptions{.clock = clock, .seed = 5});
    platform::MemoryAccess access{platform, "z1"};
    platform::Table table{access};
    JobRepository repository{table, platform::ObjectStore(access)};
    JobDriver driver = makeDriver(1);
    twirp::Router router = makeRouter();
    int calls = 0;

    JobDriver makeDriver(std::uint64_t seed)
    {
        JobDriver created({table, platform::ObjectStore(access), platform::InstanceList(access),
                           platform::Workers(access)},
                          {.clock = clock, .defaultPool = "p", .seed = seed});
        created.setPools({"p"});
        return created;
    }

    twirp::Router makeRouter()
    {
        twirp::Router created;
        addJobServices(created, {repository, clock, nullptr});
        return created;
    }

    void addWorkers(int count, platform::Capacity capacity = {16000, 32768, 0})
    {
        for (int i = 0; i < count; ++i)
            platform->addInstance({.id = "w" + std::to_string(i),
                                   .kind = platform::InstanceKind::Worker,
                                   .address = "10.0.0.1:1",
                                   .zone = "z" + std::to_string(i % 3 + 1),
                                   .rack = "r" + std::to_string(i / 4),
                                   .service = "",
                                   .capacity = capacity});
    }

    v1::JobSpec spec(const std::string &id, const std::string &payload = "{\"run_ms\": 500}")
    {
        v1::JobSpec message;
        message.set_pool("p");
        message.set_id(id);
        message.set_team("t");
        message.set_kind("k");
        message.mutable_resources()->set_cpu_millis(2000);
        message.mutable_resources()->set_memory_mib(1024);
        message.set_idempotent(true);
        message.set_payload(payload);
        return message;
    }

    int call(const std::string &method, const google::protobuf::Message &request,
             std::string *body = nullptr)
    {
        const auto reply = router.handle({.path = "/twirp/chicorywick.v1.JobService/" + method,
                                          .contentType = "application/protobuf",
                                          .body = request.SerializeAsString(),
                                          .context = {}});
        if (body != nullptr)
            *body = reply.body;
        return reply.status;
    }

    int submit(const v1::JobSpec &message)
    {
        v1::SubmitJobRequest request;
        request.set_request_id("submit-" + std::to_string(++calls));
        *request.mutable_spec() = message;
        return call("SubmitJob", request);
    }

    int cancel(const std::string &id)
    {
        v1::JobRequest request;
        request.set_request_id("cancel-" + std::to_string(++calls));
        request.set_pool("p");
        request.set_id(id);
        return call("CancelJob", request);
    }

    Job job(const std::string &id) const { return repository.get(jobKey("p", id)).value()->job; }

    void run(base::Duration duration, base::Duration tick = std::chrono::milliseconds(500))
    {
        for (base::Duration elapsed{}; elapsed < duration; elapsed += tick) {
            driver.step(clock.now());
            time->advance(tick);
        }
    }
};

} // namespace chicorywick::jobs
