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

/// @brief The platform reached over Twirp.
struct RemotePlatform
{
    Endpoint endpoint;
    base::Duration callTimeout = std::chrono::seconds(2);

    bool operator==(const RemotePlatform &) const = default;
};

/// @brief The platform in the daemon's own memory, for trying the product with one daemon.
struct EmbeddedPlatform
{
    std::vector<platform::ListedInstance> instances;

    bool operator==(const EmbeddedPlatform &) const = default;
};

/// @brief Settings of one daemon, checked as a whole.
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
    /// Time between failing readiness and refusing requests, for the balancer to notice.
    base::Duration readinessGrace = std::chrono::seconds(2);
    /// Least time between the drain and the reboot of an instance by a wave.
    base::Duration minDrain = std::chrono::seconds(28);
    /// Threads that serve callers; each open connection holds one.
    int callerThreads = 256;

    bool operator==(const Settings &) const = default;
};

/// @brief Parses and checks settings; the error lists every problem with its JSON path, one on each
/// line.
base::Result<Settings> parseSettings(const std::string &json);

/// @brief Reads a settings file.
base::Result<Settings> readSettings(const std::string &path);

} // namespace chicorywick::daemon
