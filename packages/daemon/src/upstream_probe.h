#pragma once

#include <chicorywick/daemon/settings.h>

#include <string>
#include <vector>

namespace chicorywick::daemon {

/// @brief An upstream to probe.
struct ProbeTarget
{
    std::string id;
    Endpoint endpoint;

    bool operator==(const ProbeTarget &) const = default;
};

/// @brief Whether an upstream answered GET /healthz with a status below 500.
struct ProbeResult
{
    std::string id;
    bool passed = false;

    bool operator==(const ProbeResult &) const = default;
};

/// @brief Probes all targets once, several at a time.
std::vector<ProbeResult> probeUpstreams(const std::vector<ProbeTarget> &targets,
                                        base::Duration timeout);

} // namespace chicorywick::daemon
