#pragma once

#include <chicorywick/fleet/fleet_repository.h>
#include <chicorywick/fleet/next_disruptions.h>
#include <chicorywick/platform/instance_control.h>

#include <functional>
#include <map>
#include <optional>

namespace chicorywick::fleet {

/// @brief Bounds and intervals of a wave driver.
struct WaveDriverOptions
{
    /// Time between two reads of the list of waves.
    base::Duration waveListInterval = std::chrono::seconds(10);
    /// Age at which the instance list is read again.
    base::Duration listingInterval = std::chrono::seconds(2);
    /// Least time between the start of a drain and the reboot: 3 s until the last new request has
    /// been sent, and 25 s, the longest deadline of a request. The platform does not see requests.
    base::Duration minDrainTime = std::chrono::seconds(28);
    /// Time that a reboot, and each way back to service, may take before the instance is held.
    base::Duration verifyDeadline = std::chrono::minutes(10);
    /// Time without the table after which started maintenance is brought to a safe end.
    base::Duration tableGrace = std::chrono::seconds(10);
    /// Least time between two writes that change only a wave's reason.
    base::Duration reasonInterval = std::chrono::seconds(10);
    /// Source of the times that step() is given; tells how long a step has been going on.
    base::Clock clock;
    /// Whether this daemon drives a wave; empty means all. A wave driven by several is safe.
    std::function<bool(const std::string &wave)> owns;
};

/// @brief Carries out maintenance waves. Several drivers may drive one wave; a new driver continues
/// where another stopped.
class WaveDriver
{
public:
    WaveDriver(FleetRepository repository, platform::InstanceList list,
               platform::InstanceControl control, WaveDriverOptions options = {});

    /// @brief Takes each wave a bounded number of steps forward. Not thread-safe.
    void step(base::TimePoint now);

private:
    struct Members
    {
        std::uint64_t revision = 0;
        std::vector<PlacedInstance> instances;
    };

    /// One wave during one step; the versions follow the driver's own commits.
    struct Session
    {
        Stored<MaintenanceWave> wave;
        Stored<Pool> pool;
        base::TimePoint now;
        /// Set once an observation that is young enough agrees with the pool row.
        std::optional<PoolHealth> health;
    };

    base::Result<void> refreshWaves(base::TimePoint now);
    base::Result<void> stepWave(const std::string &id, base::TimePoint now);
    base::Result<void> finishWave(Session &session);
    void forgetWave(const std::string &id);
    void noteOutcome(const base::Result<void> &outcome, base::TimePoint now);

    // Steps of one active instance: wave_driver_instance.cpp.
    base::Result<void> stepInstance(Session &session, const std::string &id);
    base::Result<void> stepState(Session &session, const Stored<Instance> &instance);
    base::Result<void> turnBack(Session &session, const Stored<Instance> &instance,
                                const std::string &reason, bool isFailure);
    base::Result<void> stepCordoned(Session &session, const Stored<Instance> &instance);
    base::Result<void> stepDraining(Session &session, const Stored<Instance> &instance);
    base::Result<void> stepRebooting(Session &session, const Stored<Instance> &instance);
    base::Result<void> stepBackToService(Session &session, const Stored<Instance> &instance);
    base::Result<void> hold(Session &session, const Stored<Instance> &instance,
                            const std::string &reason);
    base::Result<void> giveBack(Session &session, const Stored<Instance> &instance);
    base::Result<void> putInstance(const Stored<Instance> &old, const Instance &next);
    /// Writes an instance whose fence has changed together with its grant.
    base::Result<void> putFenced(Session &session, const Stored<Instance> &old,
                                 const Instance &next);
    bool isPastDeadline(const Session &session, const Stored<Instance> &instance,
                        base::Duration deadline) const;

    // Start of further instances: wave_driver_grant.cpp.
    base::Result<void> startInstances(Session &session);
    base::Result<void> observeHealth(Session &session);
    base::Result<std::vector<PlacedInstance>> members(const Session &session);
    base::Result<void> settleBusy(Session &session, const std::vector<NumberedEntry> &entries);
    base::Result<void> passOver(Session &session, const std::vector<NumberedEntry> &entries);
    base::Result<void> grant(Session &session, const std::vector<NumberedEntry> &entries);
    std::string waitingReason(const Session &session, const DisruptionView &view) const;
    base::Result<void> setReason(Session &session, const std::string &reason);
    base::Result<platform::InstanceListing> listing(base::TimePoint now);

    // Without the table: wave_driver_safe_end.cpp.
    void safeEnd();

    FleetRepository repository_;
    platform::InstanceList list_;
    platform::InstanceControl control_;
    WaveDriverOptions options_;

    // Caches; a new driver starts without them.
    std::vector<std::string> waves_;
    base::TimePoint wavesReadAt_{};
    std::map<std::string, WavePlan> plans_;
    std::map<std::string, Members> members_;
    std::map<std::string, Instance> active_;
    std::map<std::string, base::TimePoint> reasonWrittenAt_;
    std::optional<platform::InstanceListing> listing_;
    base::TimePoint listingReadAt_{};
    std::optional<base::TimePoint> tableLostAt_;
};

} // namespace chicorywick::fleet
