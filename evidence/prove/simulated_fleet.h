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

/// @brief Snapshot of the fleet's rows, read without faults.
struct FleetRows
{
    std::map<std::string, v1::PoolRow> pools;
    std::map<std::string, std::uint64_t> poolVersions;
    std::map<std::string, v1::InstanceRow> instances;
    std::map<std::string, std::uint64_t> instanceVersions;
    std::map<std::string, v1::WaveRow> waves;
};

/// @brief The fleet service on a simulated platform, with drivers and operators that make one
/// platform call at a time.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(std::uint64_t seed);

    base::Rng &rng() { return rng_; }
    platform::MemoryPlatform &platform() { return *platform_; }
    const platform::MemoryPlatform &platform() const { return *platform_; }
    base::TimePoint now() const { return clock_.now(); }
    void advance(base::Duration by) { time_->advance(by); }

    /// @brief Makes an operator call that is not interleaved with other threads. Returns the HTTP
    /// status.
    int setUp(const std::string &service, const std::string &method,
              const google::protobuf::Message &request);
    void createPool(const std::string &name, const v1::Budget &budget);
    void createWave(const std::string &id, const std::string &pool,
                    const std::vector<std::string> &instances = {});

    /// @brief Adds an instance to the platform and, unless the pool is empty, to the fleet.
    void addInstance(const std::string &id, const std::string &pool, const std::string &zone,
                     const std::string &rack);

    /// @brief Creates a driver on its own thread, without state of earlier drivers.
    std::unique_ptr<SteppedThread> makeDriver();

    /// @brief Creates an operator that repeats an activity on its own thread.
    std::unique_ptr<SteppedThread> makeOperator(std::function<void()> activity);

    /// @brief Makes an operator call from within an activity.
    twirp::HttpReply call(const std::string &service, const std::string &method,
                          const google::protobuf::Message &request) const;
    std::string newRequestId() { return "r" + std::to_string(++requests_); }

    FleetRows rows() const;

    /// @brief Draws random faults of table, list and control, possibly none.
    platform::FaultPlan drawFaults();

    /// @brief Appends a line to the trace, which keeps the newest lines for the violation text.
    void addTraceLine(const std::string &line);
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

/// @brief Describes the changes between two snapshots, one line per change.
std::vector<std::string> describeChanges(const FleetRows &before, const FleetRows &after);

} // namespace chicorywick::prove
