#pragma once

#include "chicorywick/v1/fleet_service.pb.h"

#include <chicorywick/fleet/fleet_services.h>
#include <chicorywick/fleet/wave_driver.h>
#include <chicorywick/platform/memory_platform.h>

namespace chicorywick::fleet {

/// @brief In-memory platform in virtual time with one wave driver and the fleet services.
struct FleetFixture
{
    static constexpr const char *kZone = "z0";

    std::shared_ptr<base::ManualTime> time = std::make_shared<base::ManualTime>();
    base::Clock clock{time};
    std::shared_ptr<platform::MemoryPlatform> platform =
            std::make_shared<platform::MemoryPlatform>(platform::MemoryPlatformOptions{
                    .clock = clock, .seed = 3, .tableWritesPerSecond = 1e6});
    platform::Table table{platform::MemoryAccess{platform, kZone}};
    platform::InstanceList list{platform::MemoryAccess{platform, kZone}};
    platform::InstanceControl control{platform::MemoryAccess{platform, kZone}};
    FleetRepository repository{table};
    WaveDriver driver{repository, list, control, {.minDrainTime = {}, .clock = clock}};
    twirp::Router router;
    int requests = 0;

    FleetFixture() { addFleetServices(router, {table, list, control, clock}); }

    twirp::HttpReply call(const std::string &service, const std::string &method,
                          const google::protobuf::Message &request) const
    {
        return router.handle({"/twirp/chicorywick.v1." + service + "/" + method,
                              "application/protobuf",
                              request.SerializeAsString(),
                              {method, "local", "tester"}});
    }

    template <typename Request>
    twirp::HttpReply callNew(const std::string &service, const std::string &method, Request request)
    {
        request.set_request_id("r" + std::to_string(++requests));
        return call(service, method, request);
    }

    twirp::HttpReply createPool(const std::string &name, std::uint32_t maxUnavailable)
    {
        v1::CreatePoolRequest request;
        request.set_name(name);
        request.mutable_budget()->set_max_unavailable(maxUnavailable);
        return callNew("FleetService", "CreatePool", request);
    }

    twirp::HttpReply addInstance(const std::string &pool, const std::string &id,
                                 const std::string &zone, const std::string &rack)
    {
        v1::AddInstanceRequest request;
        request.set_id(id);
        request.set_pool(pool);
        request.set_zone(zone);
        request.set_rack(rack);
        return callNew("FleetService", "AddInstance", request);
    }

    /// @brief Adds i0, i1, ... to the pool and the platform, in racks of four. Two consecutive
    /// racks share a zone; the zones repeat after z2.
    void addInstances(const std::string &pool, int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string id = "i" + std::to_string(i);
            const std::string rack = "rack" + std::to_string(i / 4);
            const std::string zone = "z" + std::to_string(i / 8 % 3);
            platform->addInstance({.id = id,
                                   .kind = platform::InstanceKind::Worker,
                                   .address = "127.0.0.1:1",
                                   .zone = zone,
                                   .rack = rack,
                                   .service = {},
                                   .leaving = false,
                                   .capacity = {}});
            addInstance(pool, id, zone, rack);
        }
        time->advance(std::chrono::seconds(10));
    }

    twirp::HttpReply createWave(const std::string &id, const std::string &pool,
                                std::uint32_t haltAfterFailures = 0)
    {
        v1::CreateWaveRequest request;
        request.set_id(id);
        request.set_pool(pool);
        request.set_halt_after_failures(haltAfterFailures);
        return callNew("WaveService", "CreateWave", request);
    }

    twirp::HttpReply callWave(const std::string &method, const std::string &id,
                              std::uint64_t expectedVersion = 0)
    {
        v1::WaveRequest request;
        request.set_id(id);
        request.set_expected_version(expectedVersion);
        return callNew("WaveService", method, request);
    }

    WaveData wave(const std::string &id) const { return repository.wave(id).value().value.data(); }

    /// @brief Steps the driver once a second until the condition holds; false if it does not hold
    /// within the bound.
    template <typename IsDone>
    bool runUntil(base::Duration bound, IsDone isDone)
    {
        const base::TimePoint end = clock.now() + bound;
        while (clock.now() < end) {
            driver.step(clock.now());
            if (isDone())
                return true;
            time->advance(std::chrono::seconds(1));
        }
        return false;
    }

    void runFor(base::Duration duration)
    {
        runUntil(duration, [] { return false; });
    }

    bool runUntilEnd(const std::string &id, base::Duration bound)
    {
        return runUntil(bound, [&] { return repository.wave(id).value().value.hasEnded(); });
    }
};

} // namespace chicorywick::fleet
