#pragma once

#include <chicorywick/base/clock.h>

#include <map>
#include <string>
#include <vector>

namespace chicorywick::serving {

/// @brief Address of one upstream instance.
struct UpstreamTarget
{
    std::string id;
    std::string host;
    int port = 0;
    std::string zone;

    bool operator==(const UpstreamTarget &) const = default;
};

/// @brief Limits of one service.
struct ServicePolicy
{
    unsigned slotsPerUpstream = 8;
    unsigned connectionsPerUpstream = 64;
    unsigned queueLimit = 256;
    unsigned queueLimitPerCaller = 64;
    /// Minimum share of starts for archive requests while quick requests wait.
    unsigned archiveSharePercent = 10;
    /// Retries allowed per 100 first attempts.
    unsigned retryPercent = 10;
    base::Duration defaultDeadline = std::chrono::seconds(10);

    bool operator==(const ServicePolicy &) const = default;
};

/// @brief An upstream and its routing state.
struct RoutedUpstream
{
    UpstreamTarget target;
    bool leaving = false;
    bool healthy = true;

    bool operator==(const RoutedUpstream &) const = default;
};

/// @brief Policy and upstreams of one service.
struct ServiceRoute
{
    ServicePolicy policy;
    std::vector<RoutedUpstream> upstreams;

    bool operator==(const ServiceRoute &) const = default;
};

/// @brief Complete input of routing; published as a whole.
struct RoutingTable
{
    std::string localZone;
    unsigned entryInstancesInZone = 1;
    std::map<std::string, ServiceRoute> services;

    bool operator==(const RoutingTable &) const = default;
};

} // namespace chicorywick::serving
