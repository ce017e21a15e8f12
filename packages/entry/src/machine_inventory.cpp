#include "machine_inventory.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

// The platform lists all machines to every caller and limits the calls of all daemons together, so
// with more cells than this each one lists less often.
constexpr int kCellsAtFullRate = 8;

} // namespace

MachineInventory::MachineInventory(MachinePort &port, std::function<scheduler::Now()> clock,
                                   Cell cell)
    : port_(port)
    , clock_(std::move(clock))
    , cell_(std::move(cell))
{}

void MachineInventory::refresh(scheduler::Millis period)
{
    const scheduler::Millis now = clock_().steady;
    period = period * std::max(cell_.layout.count(), kCellsAtFullRate) / kCellsAtFullRate;
    if (state_->isListing || (state_->requestedAt != 0 && now - state_->requestedAt < period))
        return;
    state_->isListing = true;
    state_->requestedAt = now;
    port_.list([state = state_, cell = cell_,
                now](const base::Result<std::vector<Machine>> &machines) {
        state->isListing = false;
        if (!machines) {
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"call", "list-machines"}, {"reason", machines.error().message}});
            return;
        }
        state->machines.clear();
        for (const Machine &machine : machines.value())
            if (cell.layout.cellOfRack(machine.rack) == cell.number)
                state->machines.emplace(machine.name, machine);
        state->snapshotTime = now;
    });
}

std::string MachineInventory::workerOn(const std::string &machine) const
{
    const auto found = state_->machines.find(machine);
    return found != state_->machines.end() ? found->second.workerId : std::string();
}

} // namespace chicorywick::entry
