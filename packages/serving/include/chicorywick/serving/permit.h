#pragma once

#include <chicorywick/serving/admission.h>
#include <chicorywick/serving/routing_table.h>

#include <memory>

namespace chicorywick::serving {

struct ServiceState;
struct UpstreamState;

/// @brief One slot of one upstream; move-only.
class Permit
{
public:
    Permit(std::shared_ptr<ServiceState> service, std::shared_ptr<UpstreamState> upstream);
    ~Permit();
    Permit(Permit &&other) noexcept;
    Permit &operator=(Permit &&other) noexcept;
    Permit(const Permit &) = delete;
    Permit &operator=(const Permit &) = delete;

    const UpstreamTarget &upstream() const;

    /// @brief Releases the slot and reports the attempt; later calls do nothing. A permit that is
    /// destroyed unfinished counts as Cancelled.
    void finish(AttemptOutcome outcome, base::Duration latency);

private:
    std::shared_ptr<ServiceState> service_;
    std::shared_ptr<UpstreamState> upstream_;
};

} // namespace chicorywick::serving
