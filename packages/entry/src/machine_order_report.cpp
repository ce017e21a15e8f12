#include "machine_order_report.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <string>

namespace chicorywick::entry {

namespace {

const char *nameOf(MachineOrderHoldReason reason)
{
    switch (reason) {
    case MachineOrderHoldReason::FormerLeader:
        return "former-leader";
    case MachineOrderHoldReason::Reservation:
        return "reservation";
    case MachineOrderHoldReason::NotLeading:
        return "not-leading";
    }
    return "";
}

} // namespace

void MachineOrderReport::update(const std::optional<MachineOrderHold> &hold, scheduler::Millis now)
{
    const bool isSame =
            hold.has_value() == hold_.has_value() && (!hold || hold->reason == hold_->reason);
    if (isSame)
        return;
    if (hold_)
        base::logEvent(base::Event::MachineOrdersResumed,
                       {{"cell", std::to_string(cell_)},
                        {"reason", nameOf(hold_->reason)},
                        {"held_ms", std::to_string(now - since_)}});
    if (hold)
        base::logEvent(base::Event::MachineOrdersHeld,
                       {{"cell", std::to_string(cell_)},
                        {"reason", nameOf(hold->reason)},
                        {"machines", hold->machines == 0 ? "all" : std::to_string(hold->machines)},
                        {"wait_ms", hold->until == 0 ? std::string("unknown")
                                                     : std::to_string(std::max<scheduler::Millis>(
                                                             hold->until - now, 0))}});
    hold_ = hold;
    since_ = now;
}

} // namespace chicorywick::entry
