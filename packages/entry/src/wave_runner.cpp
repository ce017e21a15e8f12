#include "wave_runner.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/records.h>
#include <chicorywick/scheduler/maintenance_plan.h>

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

// Interval of list requests while a wave is active; maintenance of a machine takes about two
// seconds.
constexpr scheduler::Millis kListPeriodMs = 500;
constexpr auto kWriteTimeout = std::chrono::milliseconds(1'000);
// An order with an unknown outcome counts as carried out for this time, then it is repeated. Orders
// are idempotent.
constexpr scheduler::Millis kUnknownOrderTimeoutMs = 3'000;

} // namespace

WaveRunner::WaveRunner(WaveRunnerPorts ports, ControllerHooks hooks,
                       scheduler::Scheduler &scheduler, MachineInventory &inventory,
                       std::int64_t fence)
    : ports_(ports)
    , hooks_(std::move(hooks))
    , scheduler_(scheduler)
    , inventory_(inventory)
    , fence_(fence)
{}

void WaveRunner::setWaves(const std::vector<WaveRequest> &waves)
{
    for (const WaveRequest &request : waves) {
        Wave &wave = waves_[request.number];
        if (!(wave.request == request))
            wave.isCompleted = false;
        wave.request = request;
    }
}

void WaveRunner::tick()
{
    if (!hooks_.maySendMachineOrders())
        return;
    const bool isActive = std::any_of(waves_.begin(), waves_.end(),
                                      [](const auto &item) { return !item.second.isCompleted; });
    if (!isActive) {
        for (const std::string &worker : cordoned_)
            scheduler_.setCordoned(worker, scheduler::CordonReason::Maintenance, false);
        cordoned_.clear();
        return;
    }
    inventory_.refresh(kListPeriodMs);
    if (inventory_.snapshotTime() == 0)
        return;
    updateReturned();
    std::set<std::string> before = std::exchange(cordoned_, {});
    for (auto &[number, wave] : waves_)
        if (!wave.isCompleted)
            plan(wave);
    for (const std::string &worker : before)
        if (!cordoned_.contains(worker))
            scheduler_.setCordoned(worker, scheduler::CordonReason::Maintenance, false);
}

// A machine has returned when it is no longer listed, or when a list requested after its order
// shows it up with a different worker.
void WaveRunner::updateReturned()
{
    const auto &machines = inventory_.machines();
    for (auto &[number, wave] : waves_)
        for (auto item = wave.down.begin(); item != wave.down.end();) {
            const auto listed = machines.find(item->first);
            const bool hasReturned =
                    listed == machines.end()
                    || (listed->second.state == MachineState::Up
                        && (item->second.empty() || listed->second.workerId != item->second)
                        && wave.orderedAt[item->first] < inventory_.snapshotTime());
            const bool isStale =
                    !wave.startedMachines.contains(item->first)
                    && hooks_.clock().steady - wave.orderedAt[item->first] > kUnknownOrderTimeoutMs;
            item = hasReturned || isStale ? wave.down.erase(item) : std::next(item);
        }
}

void WaveRunner::plan(Wave &wave)
{
    std::map<std::string, scheduler::WorkerView> views;
    for (scheduler::WorkerView &view : scheduler_.workers())
        views.emplace(view.entry.id, view);
    const auto &machines = inventory_.machines();
    std::vector<scheduler::MaintenanceCandidate> candidates;
    int down = static_cast<int>(wave.down.size());
    bool hasRemaining = false;
    for (const std::string &name : wave.request.machines) {
        const auto listed = machines.find(name);
        const bool isOrdered = wave.down.contains(name);
        if (listed != machines.end() && listed->second.state == MachineState::InMaintenance
            && !isOrdered)
            ++down;
        if (listed == machines.end())
            continue;
        hasRemaining = hasRemaining || !wave.startedMachines.contains(name);
        if (isOrdered) {
            // Its worker stays listed for a while; no task may start on it.
            if (const std::string &worker = wave.down[name]; !worker.empty())
                cordoned_.insert(worker);
            continue;
        }
        if (wave.startedMachines.contains(name))
            continue;
        const Machine &machine = listed->second;
        scheduler::MaintenanceCandidate candidate{.machine = name,
                                                  .workerId = machine.workerId,
                                                  .service = machine.pool,
                                                  .isUp = machine.state == MachineState::Up};
        const auto view = views.find(machine.workerId);
        if (view != views.end()) {
            candidate.tasks = view->second.tasks;
            candidate.mayDisrupt = scheduler_.mayDisrupt(machine.workerId);
            // An empty worker that is not cordoned yet counts as busy, because a start may be in
            // flight. It is cordoned first and ordered in a later tick.
            if (!view->second.isCordoned && candidate.tasks == 0)
                candidate.tasks = view->second.isUsable ? 1 : 0;
        } else if (!machine.workerId.empty() && !unusedPools_.contains(machine.pool)) {
            continue; // a worker unknown to the scheduler may be running tasks
        }
        candidates.push_back(std::move(candidate));
    }
    // A wave that a previous leader has completed is not reported as running again.
    if (hasRemaining && !wave.isReportedRunning)
        report(wave, false);
    if (!hasRemaining && wave.down.empty()) {
        if (!wave.isReporting)
            report(wave, true);
        return;
    }
    const auto next = scheduler::planMaintenance(
            candidates, {.maxAtOnce = wave.request.maxAtOnce, .downNow = down});
    for (const std::string &worker : next.cordoned) {
        cordoned_.insert(worker);
        scheduler_.setCordoned(worker, scheduler::CordonReason::Maintenance, true);
    }
    for (const std::string &machine : next.begin)
        order(wave, machine);
}

void WaveRunner::order(Wave &wave, const std::string &machine)
{
    const std::int64_t number = wave.request.number;
    wave.down[machine] = inventory_.workerOn(machine);
    wave.orderedAt[machine] = hooks_.clock().steady;
    ports_.machines->maintain(
            machine, number, fence_,
            [self = shared_from_this(), number, machine](MachineOrderStatus status) {
                if (self->isStopped_)
                    return;
                Wave &ordered = self->waves_[number];
                base::logEvent(base::Event::MachineOrdered,
                               {{"machine", machine},
                                {"wave", std::to_string(number)},
                                {"status", std::to_string(static_cast<int>(status))}});
                if (status == MachineOrderStatus::Unknown)
                    return; // counts as down until a list or the timeout shows otherwise
                ordered.orderedAt[machine] = self->hooks_.clock().steady;
                if (status == MachineOrderStatus::Accepted
                    || status == MachineOrderStatus::NoSuchMachine
                    || status == MachineOrderStatus::NotInWave)
                    self->recordStarted(ordered, machine);
                if (status != MachineOrderStatus::Accepted)
                    ordered.down.erase(machine);
            });
}

// Stored for the next leader, which would otherwise drain every machine of the wave again.
void WaveRunner::recordStarted(Wave &wave, const std::string &machine)
{
    wave.startedMachines.insert(machine);
    ports_.table->transact({.writes = {{.key = layout::waveRow(wave.request.number),
                                        .value = encodeStartedMachines(wave.startedMachines)}}},
                           kWriteTimeout, logFailureOf("store-wave"));
}

void WaveRunner::restore(const Row &row)
{
    const auto number = layout::waveNumberOf(row.key.key);
    const auto startedMachines = decodeStartedMachines(row.value);
    if (number && startedMachines)
        waves_[*number].startedMachines = startedMachines.value();
}

void WaveRunner::report(Wave &wave, bool isCompleted)
{
    if (wave.isReporting)
        return;
    wave.isReporting = true;
    const std::int64_t number = wave.request.number;
    ports_.operators->reportWave(
            number, isCompleted,
            [self = shared_from_this(), number, isCompleted](const base::Result<bool> &stored) {
                Wave &reported = self->waves_[number];
                reported.isReporting = false;
                if (!stored)
                    return; // the next tick retries
                reported.isReportedRunning = true;
                reported.isCompleted = isCompleted;
                base::logEvent(isCompleted ? base::Event::WaveFinished : base::Event::WaveStarted,
                               {{"wave", std::to_string(number)},
                                {"machines", std::to_string(reported.request.machines.size())}});
            });
}

} // namespace chicorywick::entry
