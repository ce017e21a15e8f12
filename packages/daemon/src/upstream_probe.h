#pragma once

#include <chicorywick/daemon/settings.h>

#include <string>
#include <vector>

namespace chicorywick::daemon {

/// @brief An upstream and the address to probe.
struct ProbeTarget
{
    std::string id;
    Endpoint endpoint;

    bool operator==(const ProbeTarget &) const = default;
};

/// @brief A probe passes if the upstream answers GET /healthz with a status below 500.
struct ProbeResult
{
    std::string id;
    bool passed = false;

    bool operator==(const ProbeResult &) const = default;
};

/// @brief Probes all targets once, in parallel.
std::vector<ProbeResult> probeUpstreams(const std::vector<ProbeTarget> &targets,
                                        base::Duration timeout);

} // namespace chicorywick::daemon
