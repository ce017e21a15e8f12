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
                                   Cell cell, std::shared_ptr<const MachineLedger> ledger,
                                   std::function<scheduler::Millis(const std::string &)> heldUntil)
    : port_(port)
    , clock_(std::move(clock))
    , cell_(std::move(cell))
    , ledger_(std::move(ledger))
    , heldUntil_(std::move(heldUntil))
{}

const std::map<std::string, Machine> &MachineInventory::machines() const
{
    const std::pair asOf(state_->snapshots, ledger_ ? ledger_->revision() : 0);
    if (machinesAsOf_ != asOf) {
        machinesAsOf_ = asOf;
        machines_.clear();
        for (const Machine &machine : state_->fleet)
            if (owns(machine.name, machine.rack))
                machines_.emplace(machine.name, machine);
    }
    return machines_;
}

bool MachineInventory::owns(const std::string &machine, const std::string &rack) const
{
    return ledger_ ? ledger_->owns(machine, rack) : cell_.layout.cellOfRack(rack) == cell_.number;
}

std::int64_t MachineInventory::fenceFor(const std::string &machine, std::int64_t termFence) const
{
    return ledger_ ? ledger_->fenceFor(machine) : termFence;
}

bool MachineInventory::mayOrder(const std::string &machine) const
{
    return (!ledger_ || ledger_->mayOrder(machine))
           && (!heldUntil_ || heldUntil_(machine) <= clock_().steady);
}

void MachineInventory::refresh(scheduler::Millis period)
{
    const scheduler::Millis now = clock_().steady;
    period = period * std::max(cell_.layout.count(), kCellsAtFullRate) / kCellsAtFullRate;
    if (state_->isListing || (state_->requestedAt != 0 && now - state_->requestedAt < period))
        return;
    state_->isListing = true;
    state_->requestedAt = now;
    port_.list([state = state_, now](const base::Result<std::vector<Machine>> &machines) {
        state->isListing = false;
        if (!machines) {
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"call", "list-machines"}, {"reason", machines.error().message}});
            return;
        }
        state->fleet = machines.value();
        ++state->snapshots;
        state->snapshotTime = now;
    });
}

std::string MachineInventory::workerOn(const std::string &machine) const
{
    const auto found = machines().find(machine);
    return found != machines().end() ? found->second.workerId : std::string();
}

} // namespace chicorywick::entry
