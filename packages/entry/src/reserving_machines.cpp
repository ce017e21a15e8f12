#include "reserving_machines.h"

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

// A move whose machine cannot be reserved by then is planned anew.
constexpr scheduler::Millis kReservationTimeoutMs = 1'000;
// A reservation takes one write of the store, which takes some 10 ms.
constexpr scheduler::Millis kSlowReservationMs = 250;

} // namespace

bool MachineOrderHooks::reserveIfNeeded(const std::string &machine) const
{
    if (!validity || validity(machine))
        return true;
    reserve(machine);
    return false;
}

ReservingMachines::ReservingMachines(MachinePort &control, std::function<scheduler::Now()> clock,
                                     MachineOrderHooks hooks)
    : control_(control)
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
{}

// The validity of an order is determined when it is sent: its reservation may extend the lease.
void ReservingMachines::move(const std::string &machine, const std::string &pool,
                             std::int64_t fence, scheduler::OrderValidity /*validity*/, Done done)
{
    Move move{.machine = machine,
              .pool = pool,
              .fence = fence,
              .requestedAt = clock_().steady,
              .done = std::move(done)};
    if (const auto validity = hooks_.validity(machine))
        return send(move, *validity);
    hooks_.reserve(machine);
    waiting_.push_back(std::move(move));
}

// Maintenance is planned for reserved machines only.
void ReservingMachines::maintain(const std::string &machine, std::int64_t wave, std::int64_t fence,
                                 scheduler::OrderValidity /*validity*/, Done done)
{
    if (const auto validity = hooks_.validity(machine))
        control_.maintain(machine, wave, fence, *validity, recorded(machine, std::move(done)));
    else
        done(MachineOrderStatus::Unavailable);
}

// An answer may add orders, so the waiting ones are taken first.
void ReservingMachines::update()
{
    const scheduler::Millis now = clock_().steady;
    for (Move &move : std::exchange(waiting_, {})) {
        if (const auto validity = hooks_.validity(move.machine)) {
            send(move, *validity);
        } else if (now - move.requestedAt >= kReservationTimeoutMs) {
            move.done(MachineOrderStatus::Unavailable);
        } else {
            hooks_.reserve(move.machine);
            waiting_.push_back(std::move(move));
        }
    }
}

std::optional<MachineOrderHold> ReservingMachines::hold() const
{
    const scheduler::Millis now = clock_().steady;
    const auto slow = std::count_if(waiting_.begin(), waiting_.end(), [now](const Move &move) {
        return now - move.requestedAt > kSlowReservationMs;
    });
    if (slow == 0)
        return std::nullopt;
    return MachineOrderHold{.reason = MachineOrderHoldReason::Reservation,
                            .machines = static_cast<int>(slow)};
}

void ReservingMachines::send(const Move &move, const scheduler::OrderValidity &validity)
{
    control_.move(move.machine, move.pool, move.fence, validity, recorded(move.machine, move.done));
}

// Records that an order is sent now, and its answer.
ReservingMachines::Done ReservingMachines::recorded(const std::string &machine, Done done)
{
    hooks_.recordSent(machine);
    return [self = shared_from_this(), machine, done = std::move(done)](MachineOrderStatus status) {
        self->hooks_.recordAnswer(machine, status);
        done(status);
    };
}

} // namespace chicorywick::entry
