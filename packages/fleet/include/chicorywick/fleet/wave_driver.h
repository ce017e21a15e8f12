#pragma once

#include <chicorywick/fleet/fleet_repository.h>
#include <chicorywick/fleet/next_disruptions.h>
#include <chicorywick/platform/instance_control.h>

#include <functional>
#include <map>
#include <optional>

namespace chicorywick::fleet {

/// @brief Limits and intervals of a wave driver.
struct WaveDriverOptions
{
    /// Time between two reads of the list of waves.
    base::Duration waveListInterval = std::chrono::seconds(10);
    /// Age at which the instance list is read again.
    base::Duration listingInterval = std::chrono::seconds(2);
    /// Minimum time between the start of a drain and the reboot: 3 s until the last new request has
    /// been sent, and 25 s, the longest request deadline. The platform cannot observe requests.
    base::Duration minDrainTime = std::chrono::seconds(28);
    /// Maximum duration of a reboot, and of each return to service, before the instance is held.
    base::Duration verifyDeadline = std::chrono::minutes(10);
    /// Time without the table after which the driver finishes or reverts started maintenance.
    base::Duration tableGrace = std::chrono::seconds(10);
    /// Minimum time between two writes that change only a wave's reason.
    base::Duration reasonInterval = std::chrono::seconds(10);
    /// Clock of the times passed to step(). Measures how long a step has been running.
    base::Clock clock;
    /// Whether this daemon drives a wave; empty means all waves. Several daemons may safely drive
    /// the same wave.
    std::function<bool(const std::string &wave)> owns;
};

/// @brief Runs maintenance waves. Several drivers may drive one wave; a new driver continues where
/// another stopped.
class WaveDriver
{
public:
    WaveDriver(FleetRepository repository, platform::InstanceList list,
               platform::InstanceControl control, WaveDriverOptions options = {});

    /// @brief Advances each wave by a bounded number of steps. Not thread-safe.
    void step(base::TimePoint now);

private:
    struct Members
    {
        std::uint64_t revision = 0;
        std::vector<PlacedInstance> instances;
    };

    /// State of one wave during one step. The driver's own commits update the versions.
    struct Session
    {
        Stored<MaintenanceWave> wave;
        Stored<Pool> pool;
        base::TimePoint now;
        /// Set once a recent observation is consistent with the pool row.
        std::optional<PoolHealth> health;
    };

    base::Result<void> refreshWaves(base::TimePoint now);
    base::Result<void> stepWave(const std::string &id, base::TimePoint now);
    base::Result<void> finishWave(Session &session);
    void evictWave(const std::string &id);
    void updateTableState(const base::Result<void> &outcome, base::TimePoint now);

    // Steps of one active instance: wave_driver_instance.cpp.
    base::Result<void> stepInstance(Session &session, const std::string &id);
    base::Result<void> stepState(Session &session, const Stored<Instance> &instance);
    base::Result<void> cancelMaintenance(Session &session, const Stored<Instance> &instance,
                                         const std::string &reason, bool isFailure);
    base::Result<void> stepCordoned(Session &session, const Stored<Instance> &instance);
    base::Result<void> stepDraining(Session &session, const Stored<Instance> &instance);
    base::Result<void> stepRebooting(Session &session, const Stored<Instance> &instance);
    base::Result<void> stepReturnToService(Session &session, const Stored<Instance> &instance);
    base::Result<void> hold(Session &session, const Stored<Instance> &instance,
                            const std::string &reason);
    base::Result<void> releaseGrant(Session &session, const Stored<Instance> &instance);
    base::Result<void> putInstance(const Stored<Instance> &old, const Instance &next);
    /// Writes an instance with a new fence and its grant in one transaction.
    base::Result<void> putInstanceAndGrant(Session &session, const Stored<Instance> &old,
                                           const Instance &next);
    bool isPastDeadline(const Session &session, const Stored<Instance> &instance,
                        base::Duration deadline) const;

    // Starting further instances: wave_driver_grant.cpp.
    base::Result<void> startInstances(Session &session);
    base::Result<void> observeHealth(Session &session);
    base::Result<std::vector<PlacedInstance>> members(const Session &session);
    base::Result<void> handleBusyEntries(Session &session, const std::vector<PlanEntry> &entries);
    base::Result<void> skipEntries(Session &session, const std::vector<PlanEntry> &entries);
    base::Result<void> grant(Session &session, const std::vector<PlanEntry> &entries);
    std::string waitingReason(const Session &session, const DisruptionView &view) const;
    base::Result<void> setReason(Session &session, const std::string &reason);
    base::Result<platform::InstanceListing> listing(base::TimePoint now);

    // While the table is unavailable: wave_driver_fail_safe.cpp.
    void applyFailSafe();

    FleetRepository repository_;
    platform::InstanceList list_;
    platform::InstanceControl control_;
    WaveDriverOptions options_;

    // Caches; empty in a new driver.
    std::vector<std::string> waves_;
    base::TimePoint wavesReadAt_{};
    std::map<std::string, WavePlan> plans_;
    std::map<std::string, Members> members_;
    std::map<std::string, Instance> active_;
    std::map<std::string, base::TimePoint> reasonWrittenAt_;
    std::optional<platform::InstanceListing> listing_;
    base::TimePoint listingReadAt_{};
    std::optional<base::TimePoint> tableUnavailableSince_;
};

} // namespace chicorywick::fleet
