#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/result.h>
#include <chicorywick/platform/instance_list.h>

#include <string>
#include <variant>
#include <vector>

namespace chicorywick::daemon {

/// @brief An IP address and port.
struct Endpoint
{
    std::string host;
    int port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// @brief A platform accessed over Twirp.
struct RemotePlatform
{
    Endpoint endpoint;
    base::Duration callTimeout = std::chrono::seconds(2);

    bool operator==(const RemotePlatform &) const = default;
};

/// @brief A platform in the daemon's memory, for evaluation with a single daemon.
struct EmbeddedPlatform
{
    std::vector<platform::ListedInstance> instances;

    bool operator==(const EmbeddedPlatform &) const = default;
};

/// @brief Validated settings of a daemon.
struct Settings
{
    std::string deployment;
    std::string memberId;
    std::string zone;
    Endpoint callers;
    Endpoint operators;
    Endpoint health;
    Endpoint peers;
    std::string operatorTokenFile;
    std::variant<EmbeddedPlatform, RemotePlatform> platform;
    /// Time between failing readiness and rejecting requests, so that the load balancer can react.
    base::Duration readinessGrace = std::chrono::seconds(2);
    /// Minimum time between the drain and the reboot of an instance by a wave.
    base::Duration minDrain = std::chrono::seconds(28);
    /// Threads that serve callers. Each request that is read, queued or in flight uses one.
    int callerThreads = 256;

    bool operator==(const Settings &) const = default;
};

/// @brief Parses and validates settings. The error lists every problem with its JSON path, one per
/// line.
base::Result<Settings> parseSettings(const std::string &json);

/// @brief Reads, parses and validates a settings file.
base::Result<Settings> readSettings(const std::string &path);

} // namespace chicorywick::daemon
