#pragma once

#include "health_listener.h"
#include "metrics.h"
#include "remote_loads.h"
#include "report_services.h"
#include "routing_updater.h"

#include <chicorywick/base/rcu_cell.h>
#include <chicorywick/cluster/config_service.h>
#include <chicorywick/cluster/peer_node.h>
#include <chicorywick/daemon/daemon.h>
#include <chicorywick/daemon/periodic_task.h>
#include <chicorywick/fleet/fleet_services.h>
#include <chicorywick/fleet/wave_driver.h>
#include <chicorywick/jobs/job_driver.h>
#include <chicorywick/jobs/job_services.h>
#include <chicorywick/report/burn_recorder.h>
#include <chicorywick/serving/caller_proxy.h>
#include <chicorywick/twirp/listener.h>

#include <atomic>

namespace chicorywick::daemon {

/// @brief The parts of a daemon and how they are wired. Destroyed in reverse order of construction.
class Daemon::Impl
{
public:
    explicit Impl(Settings settings);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    base::Result<void> start();
    void stop();
    DaemonPorts ports() const;

private:
    base::Result<void> startPeers();
    base::Result<void> startServing();
    base::Result<void> startOperators();
    base::Result<void> startHealth();
    void startTasks();

    cluster::PeerCallbacks peerCallbacks();
    twirp::Router operatorRouter();
    void onConfig(const cluster::ConfigApplier &config);
    void onFinished(const serving::FinishedRequest &request);
    void stepWaves();
    void stepJobs();
    void spreadBurn();
    void spreadLoad();
    void updateMembers();
    void removeExpiredRows();
    void updateMetrics();
    bool isReady() const;
    v1::BurnReport burnReport() const;
    v1::StatusResponse status() const;

    Settings settings_;
    base::Clock clock_;
    std::string token_;
    PlatformAccess platform_;
    Metrics metrics_;
    report::BurnRecorder recorder_;
    report::BurnAggregator ledger_;
    RemoteLoads remoteLoads_;
    std::shared_ptr<serving::Dispatcher> dispatcher_;
    std::shared_ptr<serving::IdempotencyStore> claims_;
    std::shared_ptr<base::TokenBucket> jobWrites_;
    RoutingUpdater routing_;
    base::RcuCell<ConfigView> config_{std::make_unique<const ConfigView>()};
    std::atomic<bool> isDraining_{false};
    std::atomic<bool> isStopped_{false};
    std::unique_ptr<cluster::PeerNode> peers_;
    std::unique_ptr<fleet::WaveDriver> waves_;
    std::unique_ptr<jobs::JobDriver> jobs_;
    std::unique_ptr<serving::CallerProxy> proxy_;
    std::unique_ptr<twirp::Listener> operators_;
    std::unique_ptr<HealthListener> health_;
    std::vector<std::unique_ptr<PeriodicTask>> tasks_;
    base::TimePoint burnSpreadAt_{};
    std::string claimsCursor_;
    std::string operationsCursor_;
};

} // namespace chicorywick::daemon
