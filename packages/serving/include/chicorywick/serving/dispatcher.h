#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/permit.h>
#include <chicorywick/serving/routing_table.h>
#include <chicorywick/serving/slot_sharing.h>
#include <chicorywick/serving/waiter.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::serving {

/// @brief Own load of one upstream, for the hints to peers.
struct UpstreamLoadView
{
    std::string id;
    std::string service;
    unsigned inFlight = 0;

    bool operator==(const UpstreamLoadView &) const = default;
};

/// @brief Chooses upstreams and admits requests to their slots.
class Dispatcher
{
public:
    Dispatcher(base::Clock clock, std::uint64_t seed, SlotSharing sharing = {});
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// @brief Publishes a routing table. Load and ejection state of kept upstreams survives.
    void update(const RoutingTable &table);

    /// @brief Blocks until a slot is free, the deadline has passed, or the request is rejected.
    base::Result<Permit> acquire(const AdmissionRequest &request);

    /// @brief The event-driven form of acquire. The answer comes before submit returns, or from a
    /// later call of any thread.
    void submit(const AdmissionRequest &request, AdmissionCallback answer);

    /// @brief Does what time alone brings about: rejects requests whose deadline has passed and
    /// starts those for which an ejection has ended or a probe is due. acquire calls it as it
    /// waits.
    void poll();

    /// @brief Takes one retry from the service's retry budget.
    bool tryRetry(const std::string &service);

    /// @brief Records the load that the other entry instances together put on an upstream.
    void reportRemoteLoad(const std::string &upstream, unsigned inFlight);

    /// @brief Rejects new requests from now on.
    void stopAdmission();

    std::size_t inFlight() const;
    std::size_t queued() const;

    /// @brief Time after which a rejected caller may find a free slot.
    base::Duration retryAfter(const std::string &service) const;

    std::vector<UpstreamLoadView> loads() const;

private:
    std::shared_ptr<DispatcherCore> core_;
};

} // namespace chicorywick::serving
