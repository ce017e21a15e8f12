#pragma once

#include "machine_ledger.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/ports.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief A cached list of the machines of a cell, shared by all components that send orders.
class MachineInventory
{
public:
    /// @param ledger null if there are no other cells
    /// @param heldUntil until when earlier leaders' orders for a machine are too recent; empty:
    /// they never are
    MachineInventory(MachinePort &port, std::function<scheduler::Now()> clock, Cell cell,
                     std::shared_ptr<const MachineLedger> ledger = nullptr,
                     std::function<scheduler::Millis(const std::string &)> heldUntil = {});

    /// @brief Requests a new list if the last request is older than the period.
    void refresh(scheduler::Millis period);

    int cell() const { return cell_.number; }

    /// @brief The request time of the cached list; 0: no list yet.
    scheduler::Millis snapshotTime() const { return state_->snapshotTime; }
    const std::map<std::string, Machine> &machines() const;

    bool owns(const std::string &machine, const std::string &rack) const;

    /// @brief The fencing token for orders to a machine; the given one is that of the term.
    std::int64_t fenceFor(const std::string &machine, std::int64_t termFence) const;

    /// @brief False while another cell, or an earlier leader of this one, may have sent an order to
    /// the machine recently.
    bool mayOrder(const std::string &machine) const;

    /// @brief The worker that runs on a machine, or an empty string.
    std::string workerOn(const std::string &machine) const;

private:
    struct State
    {
        std::vector<Machine> fleet; ///< machines of all cells
        std::uint64_t snapshots = 0;
        scheduler::Millis snapshotTime = 0;
        scheduler::Millis requestedAt = 0;
        bool isListing = false;
    };

    MachinePort &port_;
    std::function<scheduler::Now()> clock_;
    Cell cell_;
    std::shared_ptr<const MachineLedger> ledger_;
    std::function<scheduler::Millis(const std::string &)> heldUntil_;
    /// The machines of the cell, as of a snapshot and a revision of the ledger.
    mutable std::map<std::string, Machine> machines_;
    mutable std::pair<std::uint64_t, std::uint64_t> machinesAsOf_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

} // namespace chicorywick::entry
