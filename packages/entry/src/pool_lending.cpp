#include "pool_balancer.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

// A cell has counted a transferred machine after the watch of the ledger, its next pass and the
// next renewal of its leader row, which this cell then reads.
constexpr scheduler::Millis kLoanCountedMs = 1'500;
// A machine whose transfer cannot be stored within this time stays in its cell.
constexpr scheduler::Millis kTransferTimeoutMs = 6'000;
// A transaction of the platform's store holds at most 100 rows, with the conditions.
constexpr std::size_t kMaxMachinesPerTransfer = 90;

} // namespace

// A wave that this cell does not know yet may name the machine, and the other cells may have
// finished their parts of the wave.
bool PoolBalancer::mayLend() const
{
    if (!lending_.ledger || !hooks_.otherCells)
        return false;
    return !hooks_.wavesKnownUntil || hooks_.wavesKnownUntil() >= lending_.ledger->knownSince();
}

bool PoolBalancer::isLendable(const std::string &machine) const
{
    return lending_.ledger && !isInOpenWave(machine);
}

// Adds the part of the other cells' shortages that this cell should cover; returns true if there is
// any.
bool PoolBalancer::addLendingDemands(std::vector<scheduler::PoolDemand> &pools)
{
    if (!mayLend())
        return false;
    const scheduler::Millis now = hooks_.clock().steady;
    std::erase_if(loans_, [now](const Loan &loan) { return now - loan.at > kLoanCountedMs; });
    MachinesByCell lent;
    for (const Loan &loan : loans_)
        ++lent[{loan.cell, loan.pool}];
    for (const auto &[machine, move] : moving_)
        if (move.cell)
            ++lent[{*move.cell, move.pool}];
    const auto demands = lendingDemands(needs_.lendable, hooks_.otherCells(), lent);
    pools.insert(pools.end(), demands.begin(), demands.end());
    return !demands.empty();
}

// The other cell cannot know of orders to the machine that have no answer yet, or of ends that are
// not stored.
bool PoolBalancer::mayTransferNow(const std::string &machine, const Move &move,
                                  const Views &views) const
{
    if (!move.staysInPool)
        return true;
    return std::any_of(views.begin(), views.end(), [&](const auto &view) {
        return view.entry.id == move.worker && view.entry.machine == machine && view.isTransferable;
    });
}

// Stores the new owner of the machines that leave for other cells. If a machine moves, its new
// worker joins later, and this cell sends it nothing meanwhile.
void PoolBalancer::transferMachines(const Views &views)
{
    const scheduler::Millis now = hooks_.clock().steady;
    MachineTransfers transfers;
    std::vector<std::string> kept;
    std::vector<std::string> gone;
    for (const auto &[machine, move] : moving_) {
        if (!move.cell || !move.isAccepted || inTransfer_.contains(machine))
            continue;
        // An earlier order without an answer may still be carried out, in the other cell.
        const bool mustStay = unansweredAt_.contains(machine) || !isLendable(machine)
                              || now - move.orderedAt > kTransferTimeoutMs;
        if (lending_.ledger->hasLeft(machine))
            gone.push_back(machine);
        else if (mustStay)
            kept.push_back(machine);
        else if (transfers.size() < kMaxMachinesPerTransfer && mayTransferNow(machine, move, views))
            transfers[machine] = {.cell = *move.cell,
                                  .pool = move.pool,
                                  .minFence = inventory_.fenceFor(machine, fence_) + 1,
                                  .maintainedFor = lending_.maintainedFor(machine)};
    }
    for (const std::string &machine : gone)
        handOver(machine);
    for (const std::string &machine : kept)
        keep(machine);
    if (transfers.empty() || !mayLend() || lending_.ledger->isWriting())
        return;
    for (const auto &[machine, transfer] : transfers)
        inTransfer_.insert(machine);
    lending_.ledger->transfer(transfers, [self = shared_from_this(), transfers](bool isStored) {
        if (!self->isStopped_)
            self->handleTransfer(transfers, isStored);
    });
}

// A move has ended the former worker of the machine, and the new one belongs to this cell. So does
// one that has joined after a crash.
void PoolBalancer::keep(const std::string &machine)
{
    const Move move = moving_.at(machine);
    moving_.erase(machine);
    if (move.staysInPool)
        uncordon(machine);
    else
        scheduler_.endWorker(move.worker);
    lending_.onMachinesKept();
}

// The worker has ended, or gets its orders from the other cell.
void PoolBalancer::handOver(const std::string &machine)
{
    moving_.erase(machine);
    for (const scheduler::WorkerView &view : scheduler_.workers()) {
        if (view.entry.machine != machine)
            continue;
        scheduler_.endWorker(view.entry.id);
        scheduler_.removeWorker(view.entry.id);
    }
}

void PoolBalancer::handleTransfer(const MachineTransfers &transfers, bool isStored)
{
    const scheduler::Millis now = hooks_.clock().steady;
    for (const auto &[machine, transfer] : transfers) {
        inTransfer_.erase(machine);
        if (!isStored)
            continue; // the next tick tries again, or finds that the machine has left
        handOver(machine);
        loans_.push_back({.cell = transfer.cell, .pool = transfer.pool, .at = now});
        base::logEvent(base::Event::MachineTransferred,
                       {{"machine", machine},
                        {"pool", transfer.pool},
                        {"from", std::to_string(inventory_.cell())},
                        {"to", std::to_string(transfer.cell)},
                        {"fence", std::to_string(transfer.minFence)}});
    }
}

} // namespace chicorywick::entry
