#pragma once

#include "chicorywick/v1/fleet_service.pb.h"
#include "evidence/prove/stepped_thread.h"

#include <chicorywick/base/rng.h>
#include <chicorywick/fleet/fleet_services.h>
#include <chicorywick/fleet/wave_driver.h>
#include <chicorywick/platform/memory_platform.h>

#include <deque>
#include <map>
#include <set>

namespace chicorywick::prove {

/// @brief The fleet's rows at one moment, read without faults.
struct FleetRows
{
    std::map<std::string, v1::PoolRow> pools;
    std::map<std::string, std::uint64_t> poolVersions;
    std::map<std::string, v1::InstanceRow> instances;
    std::map<std::string, std::uint64_t> instanceVersions;
    std::map<std::string, v1::WaveRow> waves;
};

/// @brief A simulated platform with drivers and operators that run one call at a time.
class FleetWorld
{
public:
    explicit FleetWorld(std::uint64_t seed);

    base::Rng &rng() { return rng_; }
    platform::MemoryPlatform &platform() { return *platform_; }
    const platform::MemoryPlatform &platform() const { return *platform_; }
    base::TimePoint now() const { return clock_.now(); }
    void advance(base::Duration by) { time_->advance(by); }

    /// @brief Operator call outside the interleaving, with faults off; returns the HTTP status.
    int setUp(const std::string &service, const std::string &method,
              const google::protobuf::Message &request);
    void createPool(const std::string &name, const v1::Budget &budget);
    void createWave(const std::string &id, const std::string &pool,
                    const std::vector<std::string> &instances = {});

    /// @brief Adds an instance to the platform and, if it names a pool, to the fleet.
    void addInstance(const std::string &id, const std::string &pool, const std::string &zone,
                     const std::string &rack);

    /// @brief A driver without memory of earlier ones, on its own thread.
    std::unique_ptr<SteppedThread> makeDriver();

    /// @brief An operator who repeats an activity on its own thread.
    std::unique_ptr<SteppedThread> makeOperator(std::function<void()> activity);

    /// @brief Operator call from within an activity.
    twirp::HttpReply call(const std::string &service, const std::string &method,
                          const google::protobuf::Message &request) const;
    std::string newRequestId() { return "r" + std::to_string(++requests_); }

    FleetRows rows() const;

    /// @brief Random faults of table, list and control for a while, or none.
    platform::FaultPlan drawFaults();

    /// @brief Keeps the newest lines of what happened, for the violation text.
    void note(const std::string &line);
    std::string trace() const;

private:
    base::Rng rng_;
    std::shared_ptr<base::ManualTime> time_ = std::make_shared<base::ManualTime>();
    base::Clock clock_{time_};
    std::shared_ptr<platform::MemoryPlatform> platform_;
    platform::Table table_;
    platform::InstanceList list_;
    platform::InstanceControl control_;
    twirp::Router router_;
    std::uint64_t requests_ = 0;
    std::deque<std::string> trace_;
};

/// @brief What changed from one state of the rows to the next, one line a change.
std::vector<std::string> describeChanges(const FleetRows &before, const FleetRows &after);

} // namespace chicorywick::prove
