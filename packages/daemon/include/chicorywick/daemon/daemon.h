#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/daemon/settings.h>

#include <memory>

namespace chicorywick::daemon {

/// @brief Ports and addresses that a daemon listens on.
struct DaemonPorts
{
    int callers = 0;
    int operators = 0;
    int health = 0;
    /// As host:port.
    std::string peers;

    bool operator==(const DaemonPorts &) const = default;
};

/// @brief An entry instance: its listeners and background tasks.
class Daemon
{
public:
    /// @brief Opens all listeners and starts the background tasks.
    static base::Result<std::unique_ptr<Daemon>> start(const Settings &settings);

    /// @brief Calls stop() if it was not called before.
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    DaemonPorts ports() const;

    /// @brief Fails readiness, rejects new requests after Settings::readinessGrace, completes the
    /// requests in flight and closes all listeners.
    void stop();

private:
    class Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace chicorywick::daemon
