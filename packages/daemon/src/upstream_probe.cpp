#include "upstream_probe.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace chicorywick::daemon {

namespace {

// Enough threads to probe all upstreams of the current deployments within one interval, even if a
// zone is down.
constexpr std::size_t kProbeThreads = 16;
constexpr int kFirstServerError = 500;

bool isHealthy(const Endpoint &endpoint, base::Duration timeout)
{
    httplib::Client client(endpoint.host, endpoint.port);
    client.set_connection_timeout(0, timeout.count());
    client.set_read_timeout(0, timeout.count());
    const auto response = client.Get("/healthz");
    return response && response->status < kFirstServerError;
}

} // namespace

std::vector<ProbeResult> probeUpstreams(const std::vector<ProbeTarget> &targets,
                                        base::Duration timeout)
{
    std::vector<ProbeResult> results(targets.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < targets.size(); i = next++)
            results[i] = {targets[i].id, isHealthy(targets[i].endpoint, timeout)};
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(kProbeThreads, targets.size()); ++i)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
    return results;
}

} // namespace chicorywick::daemon
