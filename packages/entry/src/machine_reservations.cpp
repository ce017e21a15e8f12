#include <chicorywick/entry/machine_reservations.h>

#include <algorithm>

namespace chicorywick::entry {

// The times in a row count from its write, which was sent before the row could be read.
void MachineReservations::inherit(const ReservedMachines &reserved, scheduler::Millis readAt)
{
    for (const auto &[machine, waitMs] : reserved.waitMs) {
        scheduler::Millis &until = heldUntil_[machine];
        until = std::max(until, readAt + waitMs);
    }
    if (reserved.waitOfAllMs > 0)
        allHeldUntil_ = std::max(allHeldUntil_, readAt + reserved.waitOfAllMs);
}

void MachineReservations::inheritUnknown(scheduler::Millis orderedUntil)
{
    allHeldUntil_ = std::max(allHeldUntil_, orderedUntil + settings_.gapMs + settings_.marginMs);
}

scheduler::Millis MachineReservations::heldUntil(const std::string &machine) const
{
    const auto found = heldUntil_.find(machine);
    return std::max(allHeldUntil_, found != heldUntil_.end() ? found->second : 0);
}

int MachineReservations::heldMachines(scheduler::Millis now) const
{
    if (allHeldUntil_ > now)
        return 0;
    return static_cast<int>(std::count_if(heldUntil_.begin(), heldUntil_.end(),
                                          [now](const auto &held) { return held.second > now; }));
}

scheduler::Millis MachineReservations::lastHeldUntil() const
{
    scheduler::Millis until = allHeldUntil_;
    for (const auto &[machine, heldUntil] : heldUntil_)
        until = std::max(until, heldUntil);
    return until;
}

scheduler::Millis MachineReservations::freeFrom(const Reservation &reservation) const
{
    if (reservation.orderUntil == 0)
        return reservation.freeFrom;
    return std::max(reservation.freeFrom,
                    reservation.orderUntil + settings_.gapMs + settings_.marginMs);
}

ReservedMachines MachineReservations::toWrite(scheduler::Millis now) const
{
    ReservedMachines reserved{.waitOfAllMs = std::max<scheduler::Millis>(allHeldUntil_ - now, 0)};
    const auto add = [&reserved](const std::string &machine, scheduler::Millis waitMs) {
        if (waitMs <= 0)
            return;
        scheduler::Millis &known = reserved.waitMs[machine];
        known = std::max(known, waitMs);
    };
    for (const auto &[machine, until] : heldUntil_)
        add(machine, until - now);
    for (const auto &[machine, reservation] : own_)
        add(machine, freeFrom(reservation) - now);
    for (const std::string &machine : requested_)
        add(machine, settings_.orderMs + settings_.gapMs + settings_.marginMs);
    return reserved;
}

void MachineReservations::confirm(const std::set<std::string> &machines, scheduler::Millis sentAt)
{
    // Later rows need not name machines whose time is over.
    std::erase_if(own_, [this, sentAt](const auto &item) {
        return item.second.unanswered == 0 && freeFrom(item.second) <= sentAt;
    });
    std::erase_if(heldUntil_, [sentAt](const auto &held) { return held.second <= sentAt; });
    for (const std::string &machine : machines) {
        requested_.erase(machine);
        if (isRevoked_)
            continue;
        Reservation &reservation = own_[machine];
        reservation.orderUntil = std::max(reservation.orderUntil, sentAt + settings_.orderMs);
    }
}

scheduler::Millis MachineReservations::orderUntil(const std::string &machine) const
{
    const auto found = own_.find(machine);
    return found != own_.end() ? found->second.orderUntil : 0;
}

void MachineReservations::recordSent(const std::string &machine)
{
    ++own_[machine].unanswered;
}

void MachineReservations::recordAnswer(const std::string &machine, bool isKnown,
                                       scheduler::Millis now)
{
    Reservation &reservation = own_[machine];
    --reservation.unanswered;
    reservation.freeFrom = std::max(reservation.freeFrom,
                                    now + settings_.marginMs
                                            + (isKnown ? settings_.gapMs : settings_.lateOrderMs));
    if (reservation.unanswered == 0)
        reservation.orderUntil = 0;
}

void MachineReservations::revoke(scheduler::Millis now)
{
    isRevoked_ = true;
    requested_.clear();
    for (auto &[machine, reservation] : own_)
        if (reservation.orderUntil > now)
            reservation.orderUntil = now;
}

} // namespace chicorywick::entry
