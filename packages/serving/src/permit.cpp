#include "dispatcher_core.h"

#include <chicorywick/serving/permit.h>

#include <utility>

namespace chicorywick::serving {

Permit::Permit(HeldSlot slot)
    : slot_(std::move(slot))
{}

Permit::Permit(Permit &&other) noexcept
    : slot_(std::exchange(other.slot_, {}))
{}

Permit &Permit::operator=(Permit &&other) noexcept
{
    if (this != &other) {
        finish(AttemptOutcome::Cancelled, {});
        slot_ = std::exchange(other.slot_, {});
    }
    return *this;
}

Permit::~Permit()
{
    finish(AttemptOutcome::Cancelled, {});
}

const UpstreamTarget &Permit::upstream() const
{
    return slot_.upstream->target;
}

bool Permit::isUsable() const
{
    return slot_.upstream && slot_.upstream->accepting.load();
}

void Permit::finish(AttemptOutcome outcome, base::Duration latency)
{
    // The upstream remains set after the release; logs use it.
    const std::shared_ptr<DispatcherCore> core = std::exchange(slot_.core, nullptr);
    if (core)
        core->release(slot_, outcome, latency);
}

} // namespace chicorywick::serving
