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

/// @brief The configured policy of a service; unset fields keep their defaults.
serving::ServicePolicy toPolicy(const v1::ServiceConfig &config);

/// @brief Keeps the dispatcher's routing table up to date from list, grants, notices, probes and
/// configuration.
class RoutingUpdater
{
public:
    /// @param onGranted called with each upstream that newly holds a disruption grant
    RoutingUpdater(std::string zone, base::Clock clock, PlatformAccess platform,
                   std::shared_ptr<serving::Dispatcher> dispatcher,
                   std::function<void(const std::string &)> onGranted);

    /// @brief Reads the instance list; keeps the last one while it is unreachable.
    void refreshList();
    /// @brief Reads the grants of all pools; keeps the last ones while the table is unreachable.
    void refreshGrants();
    /// @brief Probes all listed upstreams once.
    void probe();
    /// @brief A peer has read a grant; the notice holds until the grants read here say otherwise.
    void noteDrain(const std::string &upstream, base::TimePoint stamp);
    void setConfig(const ConfigView &view);
    void setEntryInstancesInZone(unsigned count);

    bool hasList() const;
    serving::RoutingTable table() const;
    std::vector<std::string> services() const;
    std::set<std::string> zones() const;
    std::set<std::string> pools() const;

private:
    void publish();
    void endOldNotices(base::TimePoint readAt);
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
