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

/// @brief In-flight requests of this entry instance at one upstream, reported to peers.
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

    /// @brief Publishes a routing table. Upstreams that stay listed keep their load and ejection
    /// state.
    void update(const RoutingTable &table);

    /// @brief Blocks until a slot is free, the deadline has passed, or the request is rejected.
    base::Result<Permit> acquire(const AdmissionRequest &request);

    /// @brief Asynchronous form of acquire. The callback runs before submit returns, or later on
    /// any thread that polls, updates the routing table, queues a request or releases a slot.
    void submit(const AdmissionRequest &request, AdmissionCallback callback);

    /// @brief Handles time-based changes: rejects requests whose deadline has passed and starts
    /// requests for which an ejection has ended or a probe is due. acquire calls it while it waits.
    void poll();

    /// @brief Takes one retry from the service's retry budget.
    bool tryRetry(const std::string &service);

    /// @brief Records the total in-flight requests of the other entry instances at an upstream.
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
