#pragma once

#include <chicorywick/entry/machine_orders.h>
#include <chicorywick/entry/records.h>
#include <chicorywick/scheduler/model.h>

#include <map>
#include <set>
#include <string>

namespace chicorywick::entry {

/// @brief Parameters of reservations; times are in milliseconds.
struct ReservationSettings
{
    scheduler::Millis orderMs = 1500; ///< from the send time of the write that stored one
    scheduler::Millis gapMs = 3000;   ///< between two leaders' orders for one machine
    scheduler::Millis marginMs = 200; ///< added for orders that are still on their way
    scheduler::Millis lateOrderMs = kLateOrderMs;

    bool operator==(const ReservationSettings &) const = default;
};

/// @brief Tells which machines the leader of a cell may order. A leader reserves a machine in its
/// stored row before it sends the machine an order, so that the row tells each later leader which
/// machines it has to leave alone, and for how long.
class MachineReservations
{
public:
    explicit MachineReservations(ReservationSettings settings = {})
        : settings_(settings)
    {}

    /// @brief Takes over what earlier leaders have reserved, according to a row that was read at a
    /// given time.
    void inherit(const ReservedMachines &reserved, scheduler::Millis readAt);

    /// @brief Takes over that earlier leaders may have ordered any machine up to a given time.
    void inheritUnknown(scheduler::Millis orderedUntil);

    /// @brief Until when an earlier leader's orders for a machine are too recent; in the past or 0
    /// if they are not.
    scheduler::Millis heldUntil(const std::string &machine) const;

    /// @brief The number of machines that are held, 0 if all are; and until when any machine is.
    int heldMachines(scheduler::Millis now) const;
    scheduler::Millis lastHeldUntil() const;

    /// @brief Asks for a machine. The next write of the row reserves it.
    void request(const std::string &machine) { requested_.insert(machine); }
    const std::set<std::string> &requested() const { return requested_; }

    /// @brief What a row that is written now has to tell later leaders.
    ReservedMachines toWrite(scheduler::Millis now) const;

    /// @brief Records that a row is stored which was sent at a given time and reserved machines.
    void confirm(const std::set<std::string> &machines, scheduler::Millis sentAt);

    /// @brief Until when a machine may be ordered; in the past or 0 if it is not reserved.
    scheduler::Millis orderUntil(const std::string &machine) const;

    void recordSent(const std::string &machine);

    /// @brief Records that an order is answered, or given up without an answer. That ends the
    /// reservation, unless another order to the machine has no answer yet.
    void recordAnswer(const std::string &machine, bool isKnown, scheduler::Millis now);

    /// @brief Ends all reservations: no order is sent from now on.
    void revoke(scheduler::Millis now);

private:
    struct Reservation
    {
        scheduler::Millis orderUntil = 0;
        int unanswered = 0;             ///< orders
        scheduler::Millis freeFrom = 0; ///< for other leaders, after the orders that have ended
    };

    scheduler::Millis freeFrom(const Reservation &reservation) const;

    ReservationSettings settings_;
    std::set<std::string> requested_;
    std::map<std::string, Reservation> own_;             ///< by machine
    std::map<std::string, scheduler::Millis> heldUntil_; ///< by machine, for earlier leaders
    scheduler::Millis allHeldUntil_ = 0;
    bool isRevoked_ = false;
};

} // namespace chicorywick::entry
