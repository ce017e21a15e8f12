#pragma once

#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/routing_table.h>

#include <memory>

namespace chicorywick::serving {

class DispatcherCore;
struct ServiceState;
struct UpstreamState;

/// @brief What a permit holds until it is finished.
struct HeldSlot
{
    std::shared_ptr<DispatcherCore> core;
    std::shared_ptr<ServiceState> service;
    std::shared_ptr<UpstreamState> upstream;
    base::TimePoint takenAt;
    /// Sent above the learned limit to learn whether the upstream accepts more.
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

    /// @brief Whether the upstream still accepts new work.
    bool isUsable() const;

    /// @brief Releases the slot and reports the attempt; later calls do nothing. A permit that is
    /// destroyed unfinished counts as Cancelled.
    void finish(AttemptOutcome outcome, base::Duration latency);

private:
    HeldSlot slot_;
};

} // namespace chicorywick::serving
