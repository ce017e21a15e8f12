#include "pool_balancer.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/machine_orders.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

constexpr scheduler::Millis kListPeriodMs = 1'000;
// A moved machine joins its pool after about 1.5 s; after this time the move counts as failed.
constexpr scheduler::Millis kMoveTimeoutMs = 6'000;
// The arrival rate is a one-second average, so it lags behind rising demand.
constexpr double kDemandHeadroom = 1.2;
// Machines that never leave a service's pool, kept for the next submissions.
constexpr int kMinMachinesPerService = 2;

} // namespace

PoolBalancer::PoolBalancer(MachinePort &machines, ControllerHooks hooks,
                           scheduler::Scheduler &scheduler, MachineInventory &inventory,
                           std::int64_t fence, LendingPorts lending)
    : machines_(machines)
    , hooks_(std::move(hooks))
    , scheduler_(scheduler)
    , inventory_(inventory)
    , fence_(fence)
    , lending_(std::move(lending))
    , report_(inventory.cell())
{}

void PoolBalancer::configure(const Configuration &configuration)
{
    services_ = scheduler_.usedServices();
    sparePool_.clear();
    for (const auto &[name, setup] : configuration.services)
        if (setup.isSpare)
            sparePool_ = name;
}

void PoolBalancer::tick()
{
    needs_ = {};
    const bool mayMove = hooks_.maySendOrders() && !sparePool_.empty();
    if (!mayMove)
        return releaseCordons();
    inventory_.refresh(kListPeriodMs);
    if (inventory_.snapshotTime() == 0)
        return;
    updateMoves();
    // The whole pass uses one copy of the views; orders change nothing in them that it reads.
    const Views views = scheduler_.workers();
    transferMachines(views);
    repeatUnanswered(views);
    const auto loads = scheduler_.loads();
    const auto movableMachines = movable(views);
    auto pools = demands(views, loads);
    reportJoining(views, loads);
    auto moves = scheduler::planPoolMoves(pools, movableMachines, sparePool_, {});
    needs_ = {.shortages = scheduler::remainingShortages(pools, moves),
              .lendable = scheduler::lendableMachines(pools, movableMachines, moves)};
    report_.update(hooks_.clock().steady, pools, views, loads, needs_);
    if (addLendingDemands(pools))
        moves = scheduler::planPoolMoves(pools, movableMachines, sparePool_, {});
    for (const scheduler::PoolMove &move : moves)
        begin(move, views);
    updateEmptying(views, pools, moves);
}

// A move is complete when a new worker of the machine has joined the pool or, for a move to the
// spare pool, when the machine is listed there.
void PoolBalancer::updateMoves()
{
    const scheduler::Millis now = hooks_.clock().steady;
    std::erase_if(unansweredAt_,
                  [now](const auto &item) { return now - item.second > kLateOrderMs; });
    std::erase_if(movedAt_, [listedAt = inventory_.snapshotTime()](const auto &item) {
        return item.second < listedAt;
    });
    std::set<std::string> joined;
    for (const scheduler::WorkerView &view : scheduler_.workers()) {
        const auto move = moving_.find(view.entry.machine);
        if (view.isUsable && move != moving_.end() && view.entry.service == move->second.pool
            && view.entry.id != move->second.worker)
            joined.insert(view.entry.machine);
    }
    for (auto item = moving_.begin(); item != moving_.end();) {
        const auto &[machine, move] = *item;
        if (move.cell && move.isAccepted) {
            ++item; // transferMachines() ends it
            continue;
        }
        const bool hasJoined = joined.contains(machine);
        const auto listed = inventory_.machines().find(machine);
        const bool isParked = move.pool == sparePool_ && inventory_.snapshotTime() > move.orderedAt
                              && listed != inventory_.machines().end()
                              && listed->second.pool == sparePool_;
        const bool hasTimedOut = move.isAccepted ? now - move.orderedAt > kMoveTimeoutMs
                                                 : !unansweredAt_.contains(machine);
        if (move.isAwaitingAnswer || !(hasJoined || isParked || hasTimedOut)) {
            ++item;
            continue;
        }
        if (!hasJoined && !isParked)
            uncordon(machine);
        const bool isKept = move.cell.has_value();
        item = moving_.erase(item);
        if (isKept)
            lending_.onMachinesKept();
    }
}

// Until the outcome of a move is known, no task may start on its machine, also on a worker that has
// joined the former pool after a crash. While such a worker has tasks, a repeated order could end
// them, so it waits.
void PoolBalancer::repeatUnanswered(const Views &views)
{
    std::set<std::string> occupied;
    for (const scheduler::WorkerView &view : views) {
        const auto move = moving_.find(view.entry.machine);
        if (move == moving_.end() || view.entry.service == move->second.pool)
            continue;
        scheduler_.setCordoned(view.entry.id, scheduler::CordonReason::Move, true);
        if (view.tasks > 0 || view.mayRunUnknownTasks)
            occupied.insert(view.entry.machine);
    }
    const scheduler::Millis now = hooks_.clock().steady;
    std::vector<std::string> due;
    for (const auto &[machine, move] : moving_)
        if (!move.isAwaitingAnswer && !move.isAccepted && now - move.sentAt >= kOrderRepeatMs
            && !occupied.contains(machine))
            due.push_back(machine);
    for (const std::string &machine : due)
        send(machine);
}

void PoolBalancer::uncordon(const std::string &machine)
{
    for (const scheduler::WorkerView &view : scheduler_.workers())
        if (view.entry.machine == machine)
            scheduler_.setCordoned(view.entry.id, scheduler::CordonReason::Move, false);
}

bool PoolBalancer::isLeaving(const scheduler::WorkerEntry &entry) const
{
    const auto move = moving_.find(entry.machine);
    if (move == moving_.end() || !move->second.cell)
        return false;
    const bool isFormerWorker =
            entry.id == move->second.worker && entry.incarnation == move->second.incarnation;
    return !isFormerWorker;
}

// Machines that move to a pool of this cell, also those that another cell or an earlier leader has
// moved there.
std::map<std::string, int> PoolBalancer::joiningMachines(const Views &views) const
{
    const scheduler::Millis now = hooks_.clock().steady;
    std::map<std::string, int> joining;
    // A machine whose move stays without an answer does not hold back others for longer.
    for (const auto &[name, move] : moving_)
        if (!move.cell && move.pool != sparePool_ && now - move.orderedAt <= kMoveTimeoutMs)
            ++joining[move.pool];
    std::map<std::string, std::string> movedByOthers; // to a pool, by machine
    for (const auto &[name, machine] : inventory_.machines())
        if (machine.state == MachineState::Moving && machine.pool != sparePool_)
            movedByOthers[name] = machine.pool;
    if (lending_.ledger)
        for (const std::string &machine : lending_.ledger->incomingMachines())
            movedByOthers[machine] = *lending_.ledger->incomingPool(machine);
    for (const scheduler::WorkerView &view : views)
        if (view.isUsable)
            movedByOthers.erase(view.entry.machine);
    for (const auto &[machine, pool] : movedByOthers)
        if (!moving_.contains(machine))
            ++joining[pool];
    return joining;
}

std::vector<scheduler::PoolDemand>
PoolBalancer::demands(const Views &views,
                      const std::map<std::string, scheduler::ServiceLoad> &loads) const
{
    std::map<std::string, int> machines;
    for (const scheduler::WorkerView &view : views) {
        const bool isCounted = view.isUsable && !view.entry.isDraining && !view.isCordoned
                               && !moving_.contains(view.entry.machine);
        if (isCounted)
            ++machines[view.entry.service];
    }
    std::int64_t fallbackSize = 0;
    for (const auto &[service, load] : loads)
        fallbackSize = std::max(fallbackSize, load.machineCpuMillis);
    const std::map<std::string, int> usable = machines;
    std::map<std::string, int> joining = joiningMachines(views);
    for (const auto &[service, count] : joining)
        machines[service] += count;
    std::vector<scheduler::PoolDemand> demands;
    for (const std::string &service : services_) {
        const auto known = loads.find(service);
        const scheduler::ServiceLoad load =
                known != loads.end() ? known->second : scheduler::ServiceLoad();
        const double wanted =
                std::max(static_cast<double>(load.runningCpuMillis + load.waitingCpuMillis),
                         load.arrivingCpuMillis * kDemandHeadroom);
        const std::int64_t machineSize =
                load.machineCpuMillis > 0 ? load.machineCpuMillis : fallbackSize;
        const auto usableNow = usable.find(service);
        const int withRoom =
                (usableNow != usable.end() ? usableNow->second : 0) + load.extraWorkers;
        demands.push_back(
                {.service = service,
                 .machines = machines[service],
                 .desired = std::max({scheduler::machinesFor(wanted, machineSize),
                                      load.spreadWorkers, load.extraWorkers > 0 ? withRoom : 0}),
                 .minimum = kMinMachinesPerService,
                 .urgent = std::max(load.extraWorkersForPerpetual - joining[service], 0),
                 .blocked = std::max(load.blockedPerpetual - joining[service], 0)});
    }
    return demands;
}

void PoolBalancer::reportJoining(const Views &views,
                                 const std::map<std::string, scheduler::ServiceLoad> &loads)
{
    std::map<std::string, std::int64_t> cpuMillis;
    for (const auto &[service, machines] : joiningMachines(views))
        if (const auto load = loads.find(service); load != loads.end())
            cpuMillis[service] = machines * load->second.machineCpuMillis;
    scheduler_.setJoiningCpu(std::move(cpuMillis));
}

// A late order would take the machine out of the pool of a newer move.
bool PoolBalancer::mayMove(const std::string &machine) const
{
    return !moving_.contains(machine) && !unansweredAt_.contains(machine)
           && inventory_.mayOrder(machine);
}

bool PoolBalancer::isInOpenWave(const std::string &machine) const
{
    return lending_.isInOpenWave && lending_.isInOpenWave(machine);
}

// The list of machines can be older than the last move of a machine: by seconds while the
// platform's machine control is down. A machine that has left the spare pool since may run tasks.
std::set<std::string> PoolBalancer::spareMachines(const Views &views) const
{
    const scheduler::Millis listedAt = inventory_.snapshotTime();
    std::set<std::string> spare;
    for (const auto &[name, machine] : inventory_.machines()) {
        const auto moved = movedAt_.find(name);
        const bool hasMovedSince = moved != movedAt_.end() && moved->second >= listedAt;
        if (machine.pool == sparePool_ && machine.state == MachineState::Up && !hasMovedSince)
            spare.insert(name);
    }
    for (const scheduler::WorkerView &view : views)
        if (view.entry.service != sparePool_ && view.joinedAt >= listedAt)
            spare.erase(view.entry.machine);
    return spare;
}

std::vector<scheduler::MovableMachine> PoolBalancer::movable(const Views &views) const
{
    std::vector<scheduler::MovableMachine> movableMachines;
    const scheduler::Millis now = hooks_.clock().steady;
    for (const std::string &name : spareMachines(views))
        if (mayMove(name))
            movableMachines.push_back({.machine = name,
                                       .pool = sparePool_,
                                       .isInSparePool = true,
                                       .isLendable = isLendable(name)});
    for (const scheduler::WorkerView &view : views) {
        const bool isFree = view.isUsable && !view.entry.isDraining && view.tasks == 0
                            && !view.isCordoned && !view.entry.machine.empty()
                            && view.entry.service != sparePool_ && mayMove(view.entry.machine);
        if (isFree)
            movableMachines.push_back({.machine = view.entry.machine,
                                       .pool = view.entry.service,
                                       .idleMs = now - view.idleSince,
                                       .isLendable = isLendable(view.entry.machine)});
    }
    return movableMachines;
}

// The answer to an order belongs to the move that sent it, so a machine is in one move at a time.
void PoolBalancer::begin(const scheduler::PoolMove &move, const Views &views)
{
    if (moving_.contains(move.machine))
        return;
    // The scheduler's view is used because the inventory may be older than the current worker.
    std::string worker;
    scheduler::Millis incarnation = 0;
    for (const scheduler::WorkerView &view : views)
        if (view.entry.machine == move.machine && view.isUsable) {
            worker = view.entry.id;
            incarnation = view.entry.incarnation;
        }
    moving_[move.machine] = {.pool = move.pool,
                             .cell = move.cell,
                             .staysInPool = move.staysInPool,
                             .worker = worker,
                             .incarnation = incarnation,
                             .orderedAt = hooks_.clock().steady,
                             .isAccepted = move.staysInPool};
    scheduler_.setCordoned(worker, scheduler::CordonReason::Move, true);
    if (!move.staysInPool)
        send(move.machine);
}

void PoolBalancer::send(const std::string &machine)
{
    Move &move = moving_.at(machine);
    move.sentAt = hooks_.clock().steady;
    move.isAwaitingAnswer = true;
    machines_.move(machine, move.pool, inventory_.fenceFor(machine, fence_), {},
                   [self = shared_from_this(), machine](MachineOrderStatus status) {
                       if (!self->isStopped_)
                           self->handleAnswer(machine, status);
                   });
}

// A rejection settles only its own order; an earlier one without an answer may still be carried
// out.
void PoolBalancer::handleAnswer(const std::string &machine, MachineOrderStatus status)
{
    Move &move = moving_.at(machine);
    base::logEvent(base::Event::MachineOrdered,
                   {{"machine", machine},
                    {"pool", move.pool},
                    {"status", std::to_string(static_cast<int>(status))}});
    const scheduler::Millis now = hooks_.clock().steady;
    move.isAwaitingAnswer = false;
    if (status == MachineOrderStatus::Accepted || status == MachineOrderStatus::Unknown)
        movedAt_[machine] = now;
    if (status == MachineOrderStatus::Unknown) {
        unansweredAt_[machine] = now;
    } else if (status == MachineOrderStatus::Accepted) {
        move.isAccepted = true;
        move.orderedAt = now;
    } else if (!unansweredAt_.contains(machine)) {
        const bool isKept = move.cell.has_value();
        moving_.erase(machine);
        uncordon(machine);
        if (isKept)
            lending_.onMachinesKept();
    }
}

} // namespace chicorywick::entry
