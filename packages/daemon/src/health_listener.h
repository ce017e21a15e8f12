#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/daemon/settings.h>

#include <functional>
#include <memory>

namespace chicorywick::daemon {

/// @brief Serves /healthz, /readyz and /metrics on a separate listener.
class HealthListener
{
public:
    struct Handlers
    {
        std::function<bool()> isReady;
        std::function<std::string()> metrics;
    };

    static base::Result<std::unique_ptr<HealthListener>> open(const Endpoint &endpoint,
                                                              Handlers handlers);
    ~HealthListener();
    HealthListener(const HealthListener &) = delete;
    HealthListener &operator=(const HealthListener &) = delete;

    int port() const;
    void stop();

private:
    struct Impl;
    explicit HealthListener(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace chicorywick::daemon
