#include "pool_balancer.h"

#include <chicorywick/base/log_event.h>

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
                           std::int64_t fence)
    : machines_(machines)
    , hooks_(std::move(hooks))
    , scheduler_(scheduler)
    , inventory_(inventory)
    , fence_(fence)
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
    const bool mayMove = hooks_.maySendMachineOrders() && !sparePool_.empty();
    if (!mayMove)
        return;
    inventory_.refresh(kListPeriodMs);
    if (inventory_.snapshotTime() == 0)
        return;
    updateMoves();
    // The whole pass uses one copy of the views; orders change nothing in them that it reads.
    const std::vector<scheduler::WorkerView> views = scheduler_.workers();
    const auto movableMachines = movable(views);
    for (const scheduler::PoolMove &move :
         scheduler::planPoolMoves(demands(views), movableMachines, sparePool_, {}))
        order(move, views);
}

// A move is complete when a new worker of the machine has joined or, for a move to the spare pool,
// when the machine is listed there.
void PoolBalancer::updateMoves()
{
    std::map<std::string, std::string> workerOf;
    for (const scheduler::WorkerView &view : scheduler_.workers())
        if (view.isUsable)
            workerOf[view.entry.machine] = view.entry.id;
    const scheduler::Millis now = hooks_.clock().steady;
    for (auto item = moving_.begin(); item != moving_.end();) {
        const Move &move = item->second;
        const auto worker = workerOf.find(item->first);
        const bool hasJoined = worker != workerOf.end() && worker->second != move.worker;
        const auto listed = inventory_.machines().find(item->first);
        const bool isParked = move.pool == sparePool_ && inventory_.snapshotTime() > move.orderedAt
                              && listed != inventory_.machines().end()
                              && listed->second.pool == sparePool_;
        const bool hasTimedOut = now - move.orderedAt > kMoveTimeoutMs;
        if (hasTimedOut)
            scheduler_.setCordoned(move.worker, scheduler::CordonReason::Move, false);
        item = hasJoined || isParked || hasTimedOut ? moving_.erase(item) : std::next(item);
    }
}

std::vector<scheduler::PoolDemand>
PoolBalancer::demands(const std::vector<scheduler::WorkerView> &views) const
{
    std::map<std::string, int> machines;
    for (const scheduler::WorkerView &view : views) {
        const bool isCounted = view.isUsable && !view.entry.isDraining && !view.isCordoned
                               && !moving_.contains(view.entry.machine);
        if (isCounted)
            ++machines[view.entry.service];
    }
    std::int64_t fallbackSize = 0;
    auto loads = scheduler_.loads();
    for (const auto &[service, load] : loads)
        fallbackSize = std::max(fallbackSize, load.machineCpuMillis);
    const std::map<std::string, int> usable = machines;
    std::map<std::string, int> joining;
    for (const auto &[name, move] : moving_)
        if (move.pool != sparePool_)
            ++joining[move.pool];
    for (const auto &[service, count] : joining)
        machines[service] += count;
    std::vector<scheduler::PoolDemand> demands;
    for (const std::string &service : services_) {
        const scheduler::ServiceLoad &load = loads[service];
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
                 .urgent = std::max(load.extraWorkersForPerpetual - joining[service], 0)});
    }
    return demands;
}

std::vector<scheduler::MovableMachine>
PoolBalancer::movable(const std::vector<scheduler::WorkerView> &views) const
{
    std::vector<scheduler::MovableMachine> movableMachines;
    const scheduler::Millis now = hooks_.clock().steady;
    for (const auto &[name, machine] : inventory_.machines())
        if (machine.pool == sparePool_ && machine.state == MachineState::Up
            && !moving_.contains(name))
            movableMachines.push_back({.machine = name, .pool = sparePool_, .isInSparePool = true});
    for (const scheduler::WorkerView &view : views) {
        const bool isFree = view.isUsable && !view.entry.isDraining && view.tasks == 0
                            && !view.isCordoned && !view.entry.machine.empty()
                            && view.entry.service != sparePool_
                            && !moving_.contains(view.entry.machine);
        if (isFree)
            movableMachines.push_back({.machine = view.entry.machine,
                                       .pool = view.entry.service,
                                       .idleMs = now - view.idleSince});
    }
    return movableMachines;
}

void PoolBalancer::order(const scheduler::PoolMove &move,
                         const std::vector<scheduler::WorkerView> &views)
{
    // The scheduler's view is used because the inventory may be older than the current worker.
    std::string worker;
    for (const scheduler::WorkerView &view : views)
        if (view.entry.machine == move.machine && view.isUsable)
            worker = view.entry.id;
    moving_[move.machine] = {
            .pool = move.pool, .worker = worker, .orderedAt = hooks_.clock().steady};
    scheduler_.setCordoned(worker, scheduler::CordonReason::Move, true);
    machines_.move(move.machine, move.pool, fence_, hooks_.machineOrderValidity(),
                   [self = shared_from_this(), move, worker](MachineOrderStatus status) {
                       if (self->isStopped_)
                           return;
                       base::logEvent(base::Event::MachineOrdered,
                                      {{"machine", move.machine},
                                       {"pool", move.pool},
                                       {"status", std::to_string(static_cast<int>(status))}});
                       if (status == MachineOrderStatus::Accepted
                           || status == MachineOrderStatus::Unknown)
                           return;
                       self->moving_.erase(move.machine);
                       self->scheduler_.setCordoned(worker, scheduler::CordonReason::Move, false);
                   });
}

} // namespace chicorywick::entry
