#include "pool_balancer.h"

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

// Finite tasks of callers take about a second; a machine that is not empty by then has long or
// stalled tasks, and another one may be empty sooner.
constexpr scheduler::Millis kEmptyingTimeoutMs = 4'000;
constexpr scheduler::Millis kRetryAfterMs = 20'000;

} // namespace

// In a cell that is behind no machine becomes idle, so one is emptied for each perpetual task that
// no worker of its pool can take.
void PoolBalancer::updateEmptying(const Views &views,
                                  const std::vector<scheduler::PoolDemand> &pools,
                                  const std::vector<scheduler::PoolMove> &planned)
{
    const scheduler::Millis now = hooks_.clock().steady;
    std::erase_if(notEmptiedUntil_, [now](const auto &item) { return item.second <= now; });
    releaseUnneeded(pools, planned);
    std::vector<scheduler::PoolMove> current;
    for (const auto &item : std::map(emptying_)) {
        const std::string &machine = item.first;
        const Emptying &emptying = item.second;
        const auto view = std::find_if(views.begin(), views.end(), [&](const auto &other) {
            return other.entry.id == emptying.worker;
        });
        const bool hasTimedOut = now - emptying.since >= kEmptyingTimeoutMs;
        const bool canBeEmptied = view != views.end() && view->isUsable && !view->entry.isDraining
                                  && view->perpetualTasks == 0 && !view->mayRunUnknownTasks
                                  && !isInOpenWave(machine);
        if (canBeEmptied && view->tasks == 0) {
            emptying_.erase(machine);
            if (!emptying.move.cell || (mayLend() && isLendable(machine)))
                begin(emptying.move, views);
            else
                uncordon(machine);
        } else if (!canBeEmptied || hasTimedOut) {
            emptying_.erase(machine);
            notEmptiedUntil_[machine] = now + kRetryAfterMs;
            uncordon(machine);
        } else {
            current.push_back(emptying.move);
        }
    }
    for (const scheduler::PoolMove &move :
         scheduler::planEmptying(pools, planned, current, busyMachines(views))) {
        const auto view = std::find_if(views.begin(), views.end(), [&move](const auto &other) {
            return other.entry.machine == move.machine && other.isUsable;
        });
        emptying_[move.machine] = {.move = move, .worker = view->entry.id, .since = now};
        scheduler_.setCordoned(view->entry.id, scheduler::CordonReason::Move, true);
    }
}

// Returns machines to their pools when the tasks that they were meant for need them no longer.
void PoolBalancer::releaseUnneeded(const std::vector<scheduler::PoolDemand> &pools,
                                   const std::vector<scheduler::PoolMove> &planned)
{
    for (const auto &item : std::map(emptying_)) {
        const std::string &machine = item.first;
        const Emptying &emptying = item.second;
        const auto isSamePool = [&emptying](const scheduler::PoolMove &move) {
            return move.pool == emptying.move.pool && move.cell == emptying.move.cell;
        };
        int needed = 0;
        for (const scheduler::PoolDemand &pool : pools)
            if (pool.service == emptying.move.pool && pool.cell == emptying.move.cell)
                needed += pool.blocked;
        const auto coming = std::count_if(planned.begin(), planned.end(), isSamePool);
        const auto emptied =
                std::count_if(emptying_.begin(), emptying_.end(), [&isSamePool](const auto &other) {
                    return isSamePool(other.second.move);
                });
        if (coming + emptied <= needed)
            continue;
        emptying_.erase(machine);
        uncordon(machine);
    }
}

// While no machine can be ordered, machines that wait for a move or a transfer go on to work.
void PoolBalancer::releaseCordons()
{
    for (const auto &[machine, emptying] : std::exchange(emptying_, {}))
        uncordon(machine);
    std::vector<std::string> waiting;
    for (const auto &[machine, move] : moving_)
        if (move.staysInPool && !inTransfer_.contains(machine))
            waiting.push_back(machine);
    for (const std::string &machine : waiting)
        if (lending_.ledger->hasLeft(machine))
            handOver(machine);
        else
            keep(machine);
}

std::vector<scheduler::BusyMachine> PoolBalancer::busyMachines(const Views &views) const
{
    std::vector<scheduler::BusyMachine> busy;
    for (const scheduler::WorkerView &view : views) {
        const std::string &machine = view.entry.machine;
        const bool isBusy = view.isUsable && !view.entry.isDraining && !view.isCordoned
                            && view.tasks > 0 && view.perpetualTasks == 0 && !machine.empty()
                            && view.entry.service != sparePool_ && mayMove(machine)
                            && !emptying_.contains(machine) && !notEmptiedUntil_.contains(machine)
                            && !isInOpenWave(machine);
        if (isBusy)
            busy.push_back({.machine = machine,
                            .pool = view.entry.service,
                            .tasks = view.tasks,
                            .isLendable = isLendable(machine)});
    }
    return busy;
}

} // namespace chicorywick::entry
