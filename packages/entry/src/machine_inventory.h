#pragma once

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/ports.h>

#include <map>
#include <memory>
#include <string>

namespace chicorywick::entry {

/// @brief A cached list of the machines of a cell, shared by all components that send orders.
class MachineInventory
{
public:
    MachineInventory(MachinePort &port, std::function<scheduler::Now()> clock, Cell cell);

    /// @brief Requests a new list if the last request is older than the period.
    void refresh(scheduler::Millis period);

    int cell() const { return cell_.number; }

    /// @brief The request time of the cached list; 0: no list yet.
    scheduler::Millis snapshotTime() const { return state_->snapshotTime; }
    const std::map<std::string, Machine> &machines() const { return state_->machines; }

    /// @brief The worker that runs on a machine, or an empty string.
    std::string workerOn(const std::string &machine) const;

private:
    struct State
    {
        std::map<std::string, Machine> machines;
        scheduler::Millis snapshotTime = 0;
        scheduler::Millis requestedAt = 0;
        bool isListing = false;
    };

    MachinePort &port_;
    std::function<scheduler::Now()> clock_;
    Cell cell_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

} // namespace chicorywick::entry
