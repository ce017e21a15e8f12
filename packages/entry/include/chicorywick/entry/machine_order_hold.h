#pragma once

#include <chicorywick/scheduler/model.h>

namespace chicorywick::entry {

/// @brief Why a leader sends no machine orders.
enum class MachineOrderHoldReason {
    FormerLeader, ///< may have sent an order recently
    LateRenewal,  ///< the latest renewal of the leader row is too old
    NotLeading,   ///< the lease is uncertain, or the cell is being handed over
};

/// @brief Machine orders that wait, and until when.
struct MachineOrderHold
{
    MachineOrderHoldReason reason = MachineOrderHoldReason::NotLeading;
    scheduler::Millis until = 0; ///< local steady time; 0: unknown

    bool operator==(const MachineOrderHold &) const = default;
};

} // namespace chicorywick::entry
