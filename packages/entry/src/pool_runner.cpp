#include "pool_runner.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

constexpr scheduler::Millis kListPeriodMs = 1'000;
// A moved machine joins its pool after about 1.5 s; much later it is taken to have failed.
constexpr scheduler::Millis kMoveTimeoutMs = 6'000;
// The arriving work is a mean over a second; demand rises further while it is being averaged.
constexpr double kArrivalHeadroom = 1.2;
// Machines beside those that perpetual tasks are spread over, for the next submissions.
constexpr int kBaseMachines = 2;

} // namespace

PoolRunner::PoolRunner(MachinePort &machines, DriverHooks hooks, scheduler::Scheduler &scheduler,
                       MachineInventory &inventory, std::int64_t fence)
    : machines_(machines)
    , hooks_(std::move(hooks))
    , scheduler_(scheduler)
    , inventory_(inventory)
    , fence_(fence)
{}

void PoolRunner::configure(const Configuration &configuration)
{
    services_.clear();
    sparePool_.clear();
    for (const QueueRoute &route : configuration.routes)
        services_.insert(route.policy.service);
    for (const auto &[name, setup] : configuration.services)
        if (setup.isSpare)
            sparePool_ = name;
}

void PoolRunner::tick()
{
    const bool mayMove = hooks_.mayOrderMachines() && !sparePool_.empty();
    if (!mayMove)
        return;
    inventory_.refresh(kListPeriodMs);
    if (inventory_.askedAt() == 0)
        return;
    noteArrivals();
    // One copy of the views serves the pass; orders change nothing in them that the pass reads.
    const std::vector<scheduler::WorkerView> views = scheduler_.workers();
    const auto offers = movable(views);
    for (const scheduler::PoolMove &move :
         scheduler::planPoolMoves(demands(views), offers, sparePool_, {}))
        order(move, views);
}

// A move is over when another worker of the machine has joined, or its list entry is in the pool.
void PoolRunner::noteArrivals()
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
        const bool isParked = move.pool == sparePool_ && inventory_.askedAt() > move.orderedAt
                              && listed != inventory_.machines().end()
                              && listed->second.pool == sparePool_;
        const bool isLate = now - move.orderedAt > kMoveTimeoutMs;
        if (isLate)
            scheduler_.setCordoned(move.worker, scheduler::CordonReason::Move, false);
        item = hasJoined || isParked || isLate ? moving_.erase(item) : std::next(item);
    }
}

std::vector<scheduler::PoolDemand>
PoolRunner::demands(const std::vector<scheduler::WorkerView> &views) const
{
    std::map<std::string, int> machines;
    std::map<std::string, std::int64_t> size;
    for (const scheduler::WorkerView &view : views) {
        size[view.entry.service] = view.entry.capacity.cpuMillis;
        const bool counts = view.isUsable && !view.entry.isDraining && !view.isCordoned
                            && !moving_.contains(view.entry.machine);
        if (counts)
            ++machines[view.entry.service];
    }
    std::int64_t anySize = 0;
    for (const auto &[service, cpuMillis] : size)
        anySize = std::max(anySize, cpuMillis);
    for (const auto &[name, move] : moving_)
        if (move.pool != sparePool_)
            ++machines[move.pool];
    auto loads = scheduler_.loads();
    std::vector<scheduler::PoolDemand> demands;
    for (const std::string &service : services_) {
        const scheduler::ServiceLoad &load = loads[service];
        const double wanted =
                std::max(static_cast<double>(load.runningCpuMillis + load.waitingCpuMillis),
                         load.arrivingCpuMillis * kArrivalHeadroom);
        const std::int64_t machineSize = size.contains(service) ? size[service] : anySize;
        demands.push_back({.service = service,
                           .machines = machines[service],
                           .desired = std::max(scheduler::machinesFor(wanted, machineSize),
                                               load.spreadWorkers),
                           .minimum = kBaseMachines});
    }
    return demands;
}

std::vector<scheduler::MovableMachine>
PoolRunner::movable(const std::vector<scheduler::WorkerView> &views) const
{
    std::vector<scheduler::MovableMachine> offers;
    const scheduler::Millis now = hooks_.clock().steady;
    for (const auto &[name, machine] : inventory_.machines())
        if (machine.pool == sparePool_ && machine.state == MachineState::Up
            && !moving_.contains(name))
            offers.push_back({.machine = name, .pool = sparePool_, .isInSparePool = true});
    for (const scheduler::WorkerView &view : views) {
        const bool isFree = view.isUsable && !view.entry.isDraining && view.tasks == 0
                            && !view.isCordoned && !view.entry.machine.empty()
                            && view.entry.service != sparePool_
                            && !moving_.contains(view.entry.machine);
        if (isFree)
            offers.push_back({.machine = view.entry.machine,
                              .pool = view.entry.service,
                              .idleMs = now - view.idleSince});
    }
    return offers;
}

void PoolRunner::order(const scheduler::PoolMove &move,
                       const std::vector<scheduler::WorkerView> &views)
{
    // The inventory may be older than the worker that runs there now.
    std::string worker;
    for (const scheduler::WorkerView &view : views)
        if (view.entry.machine == move.machine && view.isUsable)
            worker = view.entry.id;
    moving_[move.machine] = {
            .pool = move.pool, .worker = worker, .orderedAt = hooks_.clock().steady};
    scheduler_.setCordoned(worker, scheduler::CordonReason::Move, true);
    machines_.move(move.machine, move.pool, fence_,
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
