#pragma once

#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/routing_table.h>

#include <memory>

namespace chicorywick::serving {

class DispatcherCore;
struct ServiceState;
struct UpstreamState;

/// @brief The slot and its owners that a permit refers to until it is finished.
struct HeldSlot
{
    std::shared_ptr<DispatcherCore> core;
    std::shared_ptr<ServiceState> service;
    std::shared_ptr<UpstreamState> upstream;
    base::TimePoint takenAt;
    /// Taken above the adaptive limit to find out whether the upstream accepts more requests.
    bool isProbe = false;
};

/// @brief One slot of one upstream; move-only.
class Permit
{
public:
    explicit Permit(HeldSlot slot);
    ~Permit();
    Permit(Permit &&other) noexcept;
    Permit &operator=(Permit &&other) noexcept;
    Permit(const Permit &) = delete;
    Permit &operator=(const Permit &) = delete;

    const UpstreamTarget &upstream() const;

    /// @brief Whether the upstream still accepts new requests.
    bool isUsable() const;

    /// @brief Releases the slot and records the outcome of the attempt; later calls do nothing.
    /// Destroying an unfinished permit records Cancelled.
    void finish(AttemptOutcome outcome, base::Duration latency);

private:
    HeldSlot slot_;
};

} // namespace chicorywick::serving
