#pragma once

#include "config_view.h"
#include "upstream_probe.h"

#include <chicorywick/daemon/platform_access.h>
#include <chicorywick/fleet/fleet_repository.h>
#include <chicorywick/serving/dispatcher.h>
#include <chicorywick/serving/upstream_directory.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace chicorywick::daemon {

/// @brief Converts a configuration to a policy. Unset fields keep their defaults.
serving::ServicePolicy toPolicy(const v1::ServiceConfig &config);

/// @brief Updates the dispatcher's routing table from the instance list, disruption grants, drain
/// notices of peers, health probes and configuration.
class RoutingUpdater
{
public:
    /// @param onGranted called with each upstream granted a disruption since the previous read
    RoutingUpdater(std::string zone, base::Clock clock, PlatformAccess platform,
                   std::shared_ptr<serving::Dispatcher> dispatcher,
                   std::function<void(const std::string &)> onGranted);

    /// @brief Reads the instance list. Keeps the last one if the read fails.
    void refreshList();
    /// @brief Reads the grants of all pools. Keeps the last ones if the read fails.
    void refreshGrants();
    /// @brief Probes all listed upstreams once.
    void probe();
    /// @brief Drains an upstream whose grant a peer has read, until a later read of the grants here
    /// shows that it has none.
    void applyDrainNotice(const std::string &upstream, base::TimePoint noticedAt);
    void setConfig(const ConfigView &view);
    void setEntryInstancesInZone(unsigned count);

    bool hasList() const;
    serving::RoutingTable table() const;
    std::vector<std::string> services() const;
    std::set<std::string> zones() const;
    std::set<std::string> pools() const;

private:
    void publish();
    void clearOutdatedNotices(base::TimePoint readAt);
    serving::RoutingTable makeTable() const;

    std::string zone_;
    base::Clock clock_;
    PlatformAccess platform_;
    fleet::FleetRepository fleet_;
    std::shared_ptr<serving::Dispatcher> dispatcher_;
    std::function<void(const std::string &)> onGranted_;
    mutable std::mutex mutex_;
    serving::UpstreamDirectory directory_;
    std::map<std::string, serving::ServicePolicy> policies_;
    unsigned entryInstancesInZone_ = 1;
    serving::RoutingTable published_;
    bool hasList_ = false;
    std::set<std::string> zones_;
    std::set<std::string> listedServices_;
    std::set<std::string> granted_;
    std::set<std::string> pools_;
};

} // namespace chicorywick::daemon
