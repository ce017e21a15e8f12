#pragma once

#include <chicorywick/scheduler/model.h>

namespace chicorywick::entry {

/// @brief Why a leader's machine orders wait.
enum class MachineOrderHoldReason {
    FormerLeader, ///< may have sent an order recently
    Reservation,  ///< the leader row does not reserve the machine yet
    NotLeading,   ///< the lease is uncertain, or the cell is being handed over
};

/// @brief Machine orders that wait, and until when.
struct MachineOrderHold
{
    MachineOrderHoldReason reason = MachineOrderHoldReason::NotLeading;
    int machines = 0;            ///< whose orders wait; 0: all
    scheduler::Millis until = 0; ///< local steady time; 0: unknown

    bool operator==(const MachineOrderHold &) const = default;
};

} // namespace chicorywick::entry
