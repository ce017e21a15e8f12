#include "wave_runner.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/machine_orders.h>
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
constexpr auto kReadTimeout = std::chrono::milliseconds(1'000);
// Interval of reads of another cell's progress.
constexpr scheduler::Millis kCellReadPeriodMs = 300;
// The cell whose leader reports the state of the whole wave.
constexpr int kReportingCell = 0;

} // namespace

WaveRunner::WaveRunner(WaveRunnerPorts ports, ControllerHooks hooks,
                       scheduler::Scheduler &scheduler, MachineInventory &inventory, Cell cell,
                       std::int64_t fence, std::shared_ptr<MachineLedger> ledger)
    : ports_(ports)
    , hooks_(std::move(hooks))
    , scheduler_(scheduler)
    , inventory_(inventory)
    , cell_(std::move(cell))
    , fence_(fence)
    , ledger_(std::move(ledger))
{}

void WaveRunner::setWaves(const std::vector<WaveRequest> &waves)
{
    for (const WaveRequest &request : waves) {
        Wave &wave = waves_[request.number];
        if (!(wave.request == request))
            wave.isCompleted = wave.isDoneHere = wave.isDoneStored = wave.isOwnershipConfirmed =
                    false;
        wave.request = request;
    }
}

void WaveRunner::tick()
{
    if (!hooks_.maySendOrders())
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
    for (auto &[number, wave] : waves_)
        if (wave.hasUnstoredStarts)
            store(wave);
    std::set<std::string> before = std::exchange(cordoned_, {});
    for (auto &[number, wave] : waves_)
        if (!wave.isCompleted)
            plan(wave);
    for (const std::string &worker : before)
        if (!cordoned_.contains(worker))
            scheduler_.setCordoned(worker, scheduler::CordonReason::Maintenance, false);
}

bool WaveRunner::isInOpenWave(const std::string &machine) const
{
    return std::any_of(waves_.begin(), waves_.end(), [&machine](const auto &item) {
        const std::vector<std::string> &machines = item.second.request.machines;
        return !item.second.isCompleted
               && std::find(machines.begin(), machines.end(), machine) != machines.end();
    });
}

std::set<std::int64_t> WaveRunner::maintainedFor(const std::string &machine) const
{
    std::set<std::int64_t> numbers;
    for (const auto &[number, wave] : waves_)
        if (hasStarted(wave, machine))
            numbers.insert(number);
    return numbers;
}

// A second maintenance for the same wave is accepted without effect, so it would seem to go on for
// ever.
bool WaveRunner::hasStarted(const Wave &wave, const std::string &machine) const
{
    return wave.startedMachines.contains(machine)
           || (ledger_ && ledger_->maintainedFor(machine).contains(wave.request.number));
}

// A machine has returned when it is no longer listed, or when a list requested after its order was
// accepted shows it up. The worker says nothing: before the answer another one may have joined
// after a crash, and it stays the same if the upkeep was done for a former leader, whose order is
// accepted a second time without effect.
void WaveRunner::updateReturned()
{
    const scheduler::Millis now = hooks_.clock().steady;
    const auto &machines = inventory_.machines();
    for (auto &[number, wave] : waves_)
        for (auto item = wave.down.begin(); item != wave.down.end();) {
            const auto &[machine, upkeep] = *item;
            const auto listed = machines.find(machine);
            const bool hasReturned =
                    listed == machines.end()
                    || (upkeep.isAccepted && listed->second.state == MachineState::Up
                        && upkeep.orderedAt < inventory_.snapshotTime());
            const bool isStale = !upkeep.isAccepted && !upkeep.isAwaitingAnswer
                                 && now - upkeep.unansweredAt > kLateOrderMs;
            item = hasReturned || isStale ? wave.down.erase(item) : std::next(item);
        }
}

void WaveRunner::plan(Wave &wave)
{
    const WorkersByMachine workers = latestWorkers(scheduler_.workers());
    holdUnanswered(wave, workers);
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
        const bool isStarted = hasStarted(wave, name);
        hasRemaining = hasRemaining || !isStarted;
        if (isOrdered || isStarted || !inventory_.mayOrder(name))
            continue;
        auto candidate = maintenanceCandidate(listed->second, workers,
                                              unusedPools_.contains(listed->second.pool));
        if (!candidate)
            continue;
        if (!candidate->workerId.empty())
            candidate->mayDisrupt = scheduler_.mayDisrupt(candidate->workerId);
        candidates.push_back(std::move(*candidate));
    }
    // A wave that a previous leader has completed is not reported as running again.
    if (hasRemaining && !wave.isReportedRunning)
        report(wave, false);
    wave.isDoneHere = !hasRemaining && wave.down.empty();
    if (wave.isDoneHere)
        return finishCell(wave);
    const int maxAtOnce = allowedDown(wave);
    if (maxAtOnce == 0)
        return;
    const auto next =
            scheduler::planMaintenance(candidates, {.maxAtOnce = maxAtOnce, .downNow = down});
    for (const std::string &worker : next.cordoned)
        cordon(worker);
    for (const std::string &machine : next.begin) {
        const auto found = workers.find(machine);
        const std::string worker =
                found != workers.end() ? found->second.entry.id : inventory_.workerOn(machine);
        // The next pass plans anew: whether tasks may end depends on tasks elsewhere.
        if (!hooks_.machineOrders.reserveIfNeeded(machine)) {
            cordon(worker);
            continue;
        }
        wave.down[machine].worker = worker;
        order(wave, machine);
    }
}

// Keeps tasks off the machines with an ordered upkeep, and repeats orders without an answer. The
// worker before the upkeep stays listed for a while. Until the answer is known, the upkeep may
// also end a worker that has joined since; a repeated order never ends tasks that it has got.
void WaveRunner::holdUnanswered(Wave &wave, const WorkersByMachine &workers)
{
    const scheduler::Millis now = hooks_.clock().steady;
    const auto &machines = inventory_.machines();
    std::vector<std::string> due;
    for (const auto &[machine, upkeep] : wave.down) {
        cordon(upkeep.worker);
        const auto listed = machines.find(machine);
        if (listed == machines.end() || upkeep.isAccepted)
            continue;
        if (const auto worker = workers.find(machine); worker != workers.end())
            cordon(worker->second.entry.id);
        const auto candidate = maintenanceCandidate(listed->second, workers,
                                                    unusedPools_.contains(listed->second.pool));
        if (!upkeep.isAwaitingAnswer && now - upkeep.orderedAt >= kOrderRepeatMs && candidate
            && candidate->tasks == 0 && hooks_.machineOrders.reserveIfNeeded(machine))
            due.push_back(machine);
    }
    for (const std::string &machine : due)
        order(wave, machine);
}

void WaveRunner::cordon(const std::string &worker)
{
    if (worker.empty())
        return;
    cordoned_.insert(worker);
    scheduler_.setCordoned(worker, scheduler::CordonReason::Maintenance, true);
}

void WaveRunner::order(Wave &wave, const std::string &machine)
{
    const std::int64_t number = wave.request.number;
    Upkeep &upkeep = wave.down.at(machine);
    upkeep.orderedAt = hooks_.clock().steady;
    upkeep.isAwaitingAnswer = true;
    ports_.machines->maintain(
            machine, number, inventory_.fenceFor(machine, fence_), {},
            [self = shared_from_this(), number, machine](MachineOrderStatus status) {
                if (!self->isStopped_)
                    self->handleAnswer(self->waves_[number], machine, status);
            });
}

// A rejection that may pass settles only its own order; an earlier one without an answer may still
// be carried out.
void WaveRunner::handleAnswer(Wave &wave, const std::string &machine, MachineOrderStatus status)
{
    base::logEvent(base::Event::MachineOrdered,
                   {{"machine", machine},
                    {"wave", std::to_string(wave.request.number)},
                    {"status", std::to_string(static_cast<int>(status))}});
    const bool isSettled = status == MachineOrderStatus::Accepted
                           || status == MachineOrderStatus::NoSuchMachine
                           || status == MachineOrderStatus::NotInWave;
    if (isSettled)
        recordStarted(wave, machine);
    const auto item = wave.down.find(machine);
    if (item == wave.down.end())
        return; // it is no longer listed
    Upkeep &upkeep = item->second;
    upkeep.isAwaitingAnswer = false;
    upkeep.isAccepted = status == MachineOrderStatus::Accepted;
    if (upkeep.isAccepted)
        upkeep.orderedAt = hooks_.clock().steady;
    else if (status == MachineOrderStatus::Unknown)
        upkeep.unansweredAt = hooks_.clock().steady;
    else if (isSettled || upkeep.unansweredAt == 0)
        wave.down.erase(item);
}

// The number of this cell's machines that may be down; 0 while a cell that had the place before may
// still use it.
int WaveRunner::allowedDown(Wave &wave)
{
    const WavePlaces places =
            wavePlaces(wave.request.maxAtOnce, cell_.number, cell_.layout.count());
    for (const int predecessor : places.predecessors)
        if (!wave.cellsDone.contains(predecessor)) {
            readCellDone(wave.request.number, predecessor);
            return 0;
        }
    return places.count;
}

// Another cell that does not know the wave yet may be transferring a machine of it to this cell.
// After the confirmation such a transfer fails, and a later one needs a view of the waves that is
// newer than the confirmation.
void WaveRunner::confirmOwnership(std::int64_t number)
{
    ledger_->confirm([self = shared_from_this(), number,
                      request = waves_[number].request](bool isConfirmed) {
        Wave &wave = self->waves_[number];
        if (isConfirmed && wave.request == request)
            wave.isOwnershipConfirmed = true; // the next tick looks at the machines again
    });
}

// Stores that this cell has finished its part. The reporting cell then waits for the other cells.
void WaveRunner::finishCell(Wave &wave)
{
    if (ledger_ && !wave.isOwnershipConfirmed)
        return confirmOwnership(wave.request.number);
    if (!wave.isDoneStored)
        return store(wave);
    if (cell_.number != kReportingCell) {
        wave.isCompleted = true;
        return;
    }
    for (int cell = 0; cell < cell_.layout.count(); ++cell)
        if (cell != cell_.number && !wave.cellsDone.contains(cell))
            return readCellDone(wave.request.number, cell);
    report(wave, true);
}

void WaveRunner::readCellDone(std::int64_t number, int cell)
{
    const scheduler::Millis now = hooks_.clock().steady;
    if (isReadingCell_ || now - cellReadAt_ < kCellReadPeriodMs)
        return;
    isReadingCell_ = true;
    ports_.table->read(
            rangeOf(cell_.rowsOf(cell).waveRow(number)), kReadTimeout,
            [self = shared_from_this(), number, cell](const base::Result<RowPage> &page) {
                self->isReadingCell_ = false;
                if (!page) {
                    base::logEvent(base::Event::PlatformUnreachable,
                                   {{"call", "read-wave"}, {"reason", page.error().message}});
                    self->cellReadAt_ = self->hooks_.clock().steady;
                    return;
                }
                Wave &wave = self->waves_[number];
                const auto progress = page.value().rows.empty()
                                              ? base::Result<WaveProgress>(WaveProgress{})
                                              : decodeWaveProgress(page.value().rows[0].value);
                if (progress && progress.value().isDone) {
                    wave.cellsDone.insert(cell);
                    return;
                }
                self->cellReadAt_ = self->hooks_.clock().steady;
                if (self->cell_.number == kReportingCell && !wave.isReportedRunning)
                    self->report(wave, false);
            });
}

// Stored for the next leader, which would otherwise drain every machine of the wave again.
void WaveRunner::recordStarted(Wave &wave, const std::string &machine)
{
    wave.startedMachines.insert(machine);
    wave.hasUnstoredStarts = true;
    store(wave);
}

// The write is conditional, so that a late write of a previous leader cannot take back progress.
void WaveRunner::store(Wave &wave)
{
    if (wave.isStoring)
        return;
    wave.isStoring = true;
    wave.hasUnstoredStarts = false;
    const std::int64_t number = wave.request.number;
    const bool isDone = wave.isDoneHere;
    const RowKey key = cell_.rows().waveRow(number);
    ports_.table->transact(
            {.conditions = {{.key = key, .version = wave.storedVersion}},
             .writes = {{.key = key,
                         .value = encode(WaveProgress{.startedMachines = wave.startedMachines,
                                                      .isDone = isDone})}}},
            kWriteTimeout,
            [self = shared_from_this(), number,
             isDone](const base::Result<TransactionResult> &result) {
                Wave &stored = self->waves_[number];
                stored.isStoring = false;
                if (!result) {
                    stored.hasUnstoredStarts = true; // the next tick retries
                    base::logEvent(base::Event::PlatformUnreachable,
                                   {{"call", "store-wave"}, {"reason", result.error().message}});
                    return;
                }
                if (result.value().isCommitted) {
                    stored.storedVersion = result.value().version;
                    stored.isDoneStored = isDone;
                } else {
                    for (const Row &row : result.value().current)
                        self->restore(row);
                    stored.hasUnstoredStarts = true;
                }
                if (stored.hasUnstoredStarts && !self->isStopped_ && self->hooks_.maySendOrders())
                    self->store(stored);
            });
}

void WaveRunner::restore(const Row &row)
{
    const auto number = layout::waveNumberOf(row.key.key);
    const auto progress = decodeWaveProgress(row.value);
    if (!number || !progress) {
        base::logEvent(base::Event::PlatformUnreachable,
                       {{"call", "load-wave"}, {"row", row.key.key}});
        return;
    }
    Wave &wave = waves_[*number];
    wave.request.number = *number;
    wave.storedVersion = row.version;
    wave.startedMachines.insert(progress.value().startedMachines.begin(),
                                progress.value().startedMachines.end());
}

void WaveRunner::report(Wave &wave, bool isCompleted)
{
    if (wave.isReporting || cell_.number != kReportingCell)
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
