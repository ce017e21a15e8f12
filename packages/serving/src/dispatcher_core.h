#pragma once

#include "choose_slot.h"
#include "routing_snapshot.h"

#include <chicorywick/base/rcu_cell.h>
#include <chicorywick/serving/dispatcher.h>

#include <optional>

namespace chicorywick::serving {

/// @brief A result that is delivered after all locks are released.
struct PendingResult
{
    WaiterPtr waiter;
    std::optional<base::Result<Permit>> result;
};
using PendingResults = std::vector<PendingResult>;

/// @brief Implementation of Dispatcher; permits keep it alive.
class DispatcherCore : public std::enable_shared_from_this<DispatcherCore>
{
public:
    DispatcherCore(base::Clock clock, std::uint64_t seed, SlotSharing sharing);

    base::TimePoint now() const { return clock_.now(); }

    void update(const RoutingTable &table);

    /// @brief Returns a permit or a rejection if either can be decided at once; empty if the
    /// request must wait.
    std::optional<base::Result<Permit>> tryAdmit(const AdmissionRequest &request);
    /// @brief Queues the request or rejects it.
    void enqueue(const WaiterPtr &waiter);
    void submit(const AdmissionRequest &request, AdmissionCallback callback);
    void poll();
    void release(const HeldSlot &slot, AttemptOutcome outcome, base::Duration latency);

    bool tryRetry(const std::string &service) const;
    void reportRemoteLoad(const std::string &upstream, unsigned inFlight) const;
    void stopAdmission() { stopped_ = true; }
    std::size_t inFlight() const { return inFlight_.load(); }
    std::size_t queued() const;
    base::Duration retryAfter(const std::string &service) const;
    std::vector<UpstreamLoadView> loads() const;

private:
    ChoiceContext contextOf(const RoutingSnapshot &snapshot, base::Rng &rng,
                            std::span<const std::string> excluded) const;
    base::Rng nextRng();
    Permit grant(const ServiceSnapshot &service, const ChosenSlot &chosen, bool isRetry,
                 base::TimePoint now);

    void queueOrReject(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                       const WaiterPtr &waiter, PendingResults &pendingResults);
    void sweep(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
               PendingResults &pendingResults);
    void rejectUnservable(const ServiceSnapshot &service, base::TimePoint now,
                          PendingResults &pendingResults);
    void serveFreeSlots(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                        PendingResults &pendingResults);
    void serveExcluding(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                        PendingResults &pendingResults);
    void serveUpstream(const RoutingSnapshot &snapshot, const ServiceSnapshot &service,
                       const UpstreamPtr &upstream, PendingResults &pendingResults);
    bool assignToWaiter(const ServiceSnapshot &service, const ChosenSlot &chosen,
                        base::TimePoint now, PendingResults &pendingResults);
    void reject(ServiceState &service, const WaiterPtr &waiter, base::Code code,
                PendingResults &pendingResults);
    void deliver(PendingResults &pendingResults);
    void dropRemovedServices(const RoutingTable &table, PendingResults &pendingResults);

    base::Clock clock_;
    const std::uint64_t seed_;
    const SlotSharing sharing_;
    std::atomic<std::uint64_t> rngCount_{0};
    std::atomic<bool> stopped_{false};
    std::atomic<std::size_t> inFlight_{0};

    mutable std::mutex updates_;
    RoutingTable table_;
    ServiceStates states_;
    base::RcuCell<RoutingSnapshot> snapshot_;
};

} // namespace chicorywick::serving
