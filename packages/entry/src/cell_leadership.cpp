#include "cell_leadership.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/layout.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto kWatchWait = 1000ms;
constexpr auto kRetryPause = 150ms;
constexpr scheduler::Millis kMinJobsAgeMs = 600;
constexpr auto kElectionPeriod = 100ms;
constexpr auto kElectionTimeout = 1200ms;
// Upper bound of the random delay that spreads the claims of daemons.
constexpr std::uint64_t kMaxClaimJitterMs = 150;
// Interval of yield requests to a leader with less room.
constexpr scheduler::Millis kYieldPeriodMs = 1'000;
// Pause between two watches of the leader rows for each cell after the first. With many cells a row
// changes every few milliseconds, and each change would cost every daemon a call.
constexpr std::chrono::milliseconds kWatchPausePerCell = 40ms;
constexpr std::chrono::milliseconds kMaxWatchPause = 250ms;
// Less memory for jobs limits no submission, and would make the row of the leader larger.
constexpr std::int64_t kMinPublishedBytes = 1024 * 1024;
constexpr std::int64_t kMinPublishedBytesOfHolder = 128 * 1024;
// A cell that has not renewed its row for this long may have no leader that uses lent machines.
constexpr scheduler::Millis kMaxNeedsAgeMs = 1'500;

scheduler::JobMemory publishedPart(scheduler::JobMemory memory)
{
    if (memory.total < kMinPublishedBytes)
        return {};
    std::erase_if(memory.byHolder,
                  [](const auto &holder) { return holder.second < kMinPublishedBytesOfHolder; });
    return memory;
}

} // namespace

CellLeadership::CellLeadership(const NodeSettings &settings, ControllerPorts ports,
                               std::shared_ptr<PeerClient> peers, std::string incarnation)
    : settings_(settings)
    , ports_(ports)
    , loop_(*ports.loop)
    , peers_(std::move(peers))
    , incarnation_(std::move(incarnation))
    , rng_(std::hash<std::string>()(settings_.name + incarnation_))
    , layoutSource_(std::make_shared<CellLayoutSource>(
              ports, systemNow, rng_,
              CellLayoutSettings{.machinesPerCell = settings_.machinesPerCell,
                                 .memoryMib = settings_.memoryMib}))
    , electionTimer_(loop_)
{}

void CellLeadership::start(std::function<void(const CellLayout &)> onLayout)
{
    layoutSource_->start(
            [self = shared_from_this(), onLayout = std::move(onLayout)](const CellLayout &layout) {
                self->join(layout);
                onLayout(layout);
            });
}

void CellLeadership::join(const CellLayout &layout)
{
    layout_ = layout;
    const std::string address = settings_.peers.host + ":" + std::to_string(settings_.peers.port);
    for (int cell = 0; cell < layout.count(); ++cell) {
        Seat seat;
        seat.election = std::make_unique<LeaderElection>(
                settings_.name + "#" + incarnation_, address,
                static_cast<scheduler::Millis>(rng_.below(kMaxClaimJitterMs)),
                ElectionSettings{.workerLeaseMs = scheduler::SchedulerSettings().leaseMs,
                                 .machineOrderGapMs = settings_.machineOrderGapMs,
                                 .memoryMib = settings_.memoryMib});
        if (isStopping_)
            seat.election->release();
        seats_.push_back(std::move(seat));
    }
    leadersWatch_ = std::make_shared<TableWatch>(
            loop_, *ports_.table, layout::kLeader,
            TableWatchHooks{.clock = [] { return systemNow().steady; },
                            .onRows =
                                    [self = shared_from_this()](const RowPage &page) {
                                        self->setWatchHealthy(true);
                                        self->observeRows(page.rows);
                                    },
                            .onHistoryLost = [self = shared_from_this()] { self->loadLeaders(0); },
                            .onFailure =
                                    [self = shared_from_this()](const base::Error &error) {
                                        if (error.code != base::Code::HistoryUnavailable)
                                            self->setWatchHealthy(false);
                                    }},
            WatchTiming{
                    .wait = kWatchWait,
                    .pause = std::min(kMaxWatchPause, kWatchPausePerCell * (layout.count() - 1))});
    loadLeaders(0);
    runElections();
}

void CellLeadership::configure(const Configuration &configuration)
{
    configuration_ = configuration;
    for (const Seat &seat : seats_)
        if (seat.controller)
            seat.controller->configure(configuration);
}

void CellLeadership::setWaves(const std::vector<WaveRequest> &waves)
{
    waves_ = waves;
    for (const Seat &seat : seats_)
        if (seat.controller)
            seat.controller->setWaves(waves);
}

void CellLeadership::release()
{
    isStopping_ = true;
    for (std::size_t cell = 0; cell < seats_.size(); ++cell) {
        seats_[cell].election->release();
        stopController(static_cast<int>(cell), "stop");
    }
}

Controller *CellLeadership::controllerOf(int cell) const
{
    const auto index = static_cast<std::size_t>(cell);
    return cell >= 0 && index < seats_.size() ? seats_[index].controller.get() : nullptr;
}

// A controller outlives its lease until the next election, and a new leader may have read the
// stored rows meanwhile.
bool CellLeadership::applyStored(int cell, const Row &row)
{
    Controller *const controller = controllerOf(cell);
    if (controller == nullptr)
        return false;
    controller->applyStored(row);
    return seatOf(cell).election->isLeading(systemNow().steady);
}

std::optional<int> CellLeadership::waitingJobs(const std::string &queue) const
{
    if (seats_.empty())
        return std::nullopt;
    int waiting = 0;
    for (const Seat &seat : seats_) {
        if (seat.election->record().term == 0 && !seat.controller)
            return std::nullopt;
        const bool isLocal = seat.controller && seat.controller->isLoaded();
        const auto counts =
                isLocal ? seat.controller->waitingJobs() : seat.election->record().waitingJobs;
        const auto found = counts.find(queue);
        waiting += found != counts.end() ? found->second : 0;
    }
    return waiting;
}

scheduler::Millis CellLeadership::backlogMs(int cell, const std::string &queue) const
{
    const auto find = [&queue](const std::map<std::string, scheduler::Millis> &backlogs) {
        const auto found = backlogs.find(queue);
        return found != backlogs.end() ? found->second : 0;
    };
    if (const Controller *const controller = controllerOf(cell))
        return find(controller->backlogs());
    const LeaderElection &election = *seats_[static_cast<std::size_t>(cell)].election;
    const bool isCurrent = systemNow().steady - election.changedAt() < kMaxNeedsAgeMs;
    return isCurrent ? find(election.record().backlogs) : 0;
}

const scheduler::JobMemory &CellLeadership::jobMemory(int cell) const
{
    const Seat &seat = seats_[static_cast<std::size_t>(cell)];
    const bool isLocal = seat.controller && seat.controller->isLoaded();
    return isLocal ? seat.controller->jobMemory() : seat.election->record().jobMemory;
}

std::vector<CellNeeds> CellLeadership::needsOfOthers(int cell) const
{
    const scheduler::Millis now = systemNow().steady;
    std::vector<CellNeeds> needs;
    for (std::size_t other = 0; other < seats_.size(); ++other) {
        const LeaderElection &election = *seats_[other].election;
        const bool isLed =
                !election.record().holder.empty() && now - election.changedAt() < kMaxNeedsAgeMs;
        if (static_cast<int>(other) != cell && isLed)
            needs.push_back({.cell = static_cast<int>(other),
                             .machines = election.record().machines,
                             .accounts = election.record().accounts});
    }
    return needs;
}

void CellLeadership::retryAfterPause(std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kRetryPause);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
        if (!error)
            action();
    });
}

// Reads the parts of the leader table one after another. The watch starts at the oldest version of
// all reads, so that it misses no row.
void CellLeadership::loadLeaders(int part)
{
    if (part == 0)
        leadersLoadBegunAt_ = systemNow().steady;
    if (part == std::min(layout_->count(), layout::kLeaderParts)) {
        for (const Seat &seat : seats_)
            seat.election->observe(0, {}, systemNow().steady); // no effect on rows that were read
        leadersWatch_->recordRead(leadersLoadBegunAt_);
        return leadersWatch_->resume(leaderVersion_);
    }
    readAll(*ports_.table, {.table = layout::kLeader, .part = layout::leaderPart(part)},
            kElectionTimeout, [self = shared_from_this(), part](const base::Result<RowPage> &page) {
                if (!page)
                    return self->retryAfterPause([self, part] { self->loadLeaders(part); });
                const Version version = page.value().version;
                self->leaderVersion_ =
                        part == 0 ? version : std::min(self->leaderVersion_, version);
                self->observeRows(page.value().rows);
                self->loadLeaders(part + 1);
            });
}

void CellLeadership::setWatchHealthy(bool isHealthy)
{
    for (const Seat &seat : seats_)
        seat.election->setWatchHealthy(isHealthy, systemNow().steady);
}

void CellLeadership::observeRows(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        const auto cell = layout::cellOfLeaderRow(row.key.key);
        if (!cell || *cell < 0 || *cell >= layout_->count() || row.isRemoved)
            continue; // the layout row shares the table
        const auto record = decodeLeader(row.value);
        if (!record) {
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"call", "read-leader"}, {"reason", record.error().message}});
            continue;
        }
        LeaderElection &election = *seatOf(*cell).election;
        election.observe(row.version, record.value(), systemNow().steady);
        peers_->setLeader(*cell, election.record().peerAddress);
        applyElection(*cell);
    }
}

// A released row, or a claim in flight, changes the number of cells that this daemon leads.
void CellLeadership::updateHeldCells()
{
    const auto held = std::count_if(seats_.begin(), seats_.end(), [](const Seat &seat) {
        return seat.election->keepsRow() || seat.election->isClaiming();
    });
    for (const Seat &seat : seats_)
        seat.election->setHeldCells(static_cast<int>(held) - (seat.election->isClaiming() ? 1 : 0));
}

// Visits the cells in random order, so that daemons which start together claim different cells.
void CellLeadership::runElections()
{
    leadersReport_.update(leadersWatch_->view(), systemNow().steady);
    std::vector<int> order(seats_.size());
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t left = order.size(); left > 1; --left)
        std::swap(order[left - 1], order[rng_.below(left)]);
    for (const int cell : order) {
        applyElection(cell);
        writeIfDue(cell);
    }
    requestYield();
    electionTimer_.expires_after(kElectionPeriod);
    electionTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->runElections();
    });
}

void CellLeadership::writeIfDue(int cell)
{
    updateHeldCells();
    updateTransfers(cell);
    if (auto next = seatOf(cell).election->nextWrite(systemNow().steady))
        write(cell, std::move(*next));
}

void CellLeadership::updateTransfers(int cell)
{
    const Seat &seat = seatOf(cell);
    if (seat.controller)
        seat.election->setTransfers(seat.controller->heldTransfers(),
                                    seat.controller->transfersKnownUntil(), systemNow().steady);
}

// One write reserves all machines that are requested in one pass.
void CellLeadership::requestWrite(int cell)
{
    if (std::exchange(seatOf(cell).isWriteRequested, true))
        return;
    boost::asio::post(loop_, [self = shared_from_this(), cell] {
        self->seatOf(cell).isWriteRequested = false;
        self->writeIfDue(cell);
    });
}

void CellLeadership::write(int cell, LeaderWrite write)
{
    const Controller *const controller = controllerOf(cell);
    if (controller != nullptr && controller->isLoaded()) {
        write.record.waitingJobs = controller->waitingJobs();
        write.record.machines = controller->machineNeeds();
        write.record.accounts = controller->accountNeeds();
        write.record.backlogs = controller->backlogs();
        write.record.jobMemory = publishedPart(controller->jobMemory());
    }
    const RowKey key = layout::leaderRow(cell);
    ports_.table->transact({.conditions = {{.key = key, .version = write.expected}},
                            .writes = {{.key = key, .value = encode(write.record)}}},
                           kElectionTimeout,
                           [self = shared_from_this(), cell,
                            write](const base::Result<TransactionResult> &result) {
                               const scheduler::Millis now = systemNow().steady;
                               LeaderElection &election = *self->seatOf(cell).election;
                               if (result && result.value().isCommitted) {
                                   election.committed(write, result.value().version, now);
                                   self->applyElection(cell);
                                   if (election.keepsRow())
                                       self->writeIfDue(cell); // requested since
                                   return;
                               }
                               election.writeFailed(write, now);
                               if (result)
                                   self->observeRows(result.value().current);
                           });
}

// Asks a leader with much less room for its cell to hand over.
void CellLeadership::requestYield()
{
    const scheduler::Millis now = systemNow().steady;
    if (now - yieldRequestedAt_ < kYieldPeriodMs || isStopping_ || !isReady_)
        return;
    updateHeldCells();
    for (std::size_t cell = 0; cell < seats_.size(); ++cell) {
        const LeaderElection &election = *seats_[cell].election;
        if (!election.shouldRequestYield(now))
            continue;
        yieldRequestedAt_ = now;
        return peers_->requestYield({.cell = static_cast<int>(cell),
                                     .memoryMib = settings_.memoryMib,
                                     .heldCells = election.heldCells()});
    }
}

void CellLeadership::handleYieldRequest(const YieldRequest &request)
{
    const Controller *const controller = controllerOf(request.cell);
    if (controller == nullptr || !controller->isLoaded())
        return;
    updateHeldCells();
    LeaderElection &election = *seatOf(request.cell).election;
    if (!election.isLeading(systemNow().steady)
        || !election.isHolderBusierThan(request.memoryMib, request.heldCells))
        return;
    stopController(request.cell, "more-room-elsewhere");
    election.yield();
}

// Starts and stops the controller of a cell according to its election. While the lease is
// uncertain, the controller keeps running but sends no orders; it stops when another daemon holds
// the row.
void CellLeadership::applyElection(int cell)
{
    const Seat &seat = seatOf(cell);
    if (seat.controller
        && (!seat.election->holdsRow() || seat.election->term() != seat.controllerTerm))
        stopController(cell, "superseded");
    const bool isLeader = seat.election->isLeading(systemNow().steady);
    if (seat.controller)
        seat.controller->sendReservedOrders();
    else if (isLeader && configuration_ && !isStopping_)
        startController(cell);
}

void CellLeadership::startController(int cell)
{
    Seat &seat = seatOf(cell);
    const LeaderElection &election = *seat.election;
    seat.controllerTerm = election.term();
    // Calls in flight keep parts of a stopped controller alive. Without the flag they could send
    // orders of the old term once this daemon leads the cell again.
    seat.isRevoked = std::make_shared<bool>(false);
    const std::shared_ptr<const bool> isRevoked = seat.isRevoked;
    base::logEvent(base::Event::OwnershipTaken,
                   {{"cell", std::to_string(cell)}, {"term", std::to_string(seat.controllerTerm)}});
    scheduler::SchedulerSettings scheduling;
    scheduling.fence = seat.controllerTerm;
    scheduling.maxLeaseMs = settings_.maxLeaseMs;
    scheduling.leaseMs = std::min(scheduling.leaseMs, settings_.maxLeaseMs);
    const scheduler::Millis previousLease = election.previousWorkerLease();
    scheduling.previousLeaseMs = previousLease != 0 ? previousLease : settings_.maxLeaseMs;
    scheduling.retentionMs = settings_.statusRetentionMs;
    // The rest is for the way of an order that was written in time, which may take as long as its
    // time limit. A shorter age would withhold starts between two answers of the watch.
    scheduling.maxJobsAgeMs = std::max(kMinJobsAgeMs, settings_.cancelMs * 2 / 3);
    scheduling.shareOfJobs = 1.0 / layout_->count();
    scheduling.controlsOverload = settings_.controlsOverload;
    seat.controller = std::make_unique<Controller>(
            ports_,
            ControllerHooks{
                    .clock = systemNow,
                    .maySendOrders =
                            [self = shared_from_this(), &election, isRevoked] {
                                return !*isRevoked && election.isLeading(systemNow().steady);
                            },
                    .orderValidity =
                            [self = shared_from_this(), &election, isRevoked] {
                                return scheduler::OrderValidity{.until = election.leadingUntil(),
                                                                .isRevoked = isRevoked};
                            },
                    // A worker has seen a newer term. The watch of the row reports it soon; until
                    // then, workers that have seen it reject every order.
                    .onFenced =
                            [cell] {
                                base::logEvent(
                                        base::Event::LeadershipLost,
                                        {{"reason", "fenced"}, {"cell", std::to_string(cell)}});
                            },
                    .otherCells = [self = shared_from_this(),
                                   cell] { return self->needsOfOthers(cell); },
                    .wavesKnownUntil =
                            [self = shared_from_this()] {
                                return self->wavesKnownUntil_ ? self->wavesKnownUntil_()
                                                              : systemNow().steady;
                            },
                    .machineOrders = machineOrderHooks(cell, isRevoked),
                    .transfersSettledUntil = election.transfersKnownUntil()},
            Cell{.layout = *layout_, .number = cell}, scheduling);
    seat.controller->configure(*configuration_);
    seat.controller->setWaves(waves_);
    seat.controller->start();
}

MachineOrderHooks CellLeadership::machineOrderHooks(int cell,
                                                    const std::shared_ptr<const bool> &isRevoked)
{
    LeaderElection &election = *seatOf(cell).election;
    return {.heldUntil =
                    [self = shared_from_this(), &election](const std::string &machine) {
                        return election.reservations().heldUntil(machine);
                    },
            .reserve =
                    [self = shared_from_this(), &election, cell,
                     isRevoked](const std::string &machine) {
                        if (*isRevoked)
                            return;
                        election.reservations().request(machine);
                        self->requestWrite(cell);
                    },
            .validity =
                    [self = shared_from_this(), &election, isRevoked](
                            const std::string &machine) -> std::optional<scheduler::OrderValidity> {
                const auto until = election.machineOrderUntil(machine, systemNow().steady);
                if (*isRevoked || !until)
                    return std::nullopt;
                return scheduler::OrderValidity{.until = *until, .isRevoked = isRevoked};
            },
            .recordSent =
                    [self = shared_from_this(), &election, isRevoked](const std::string &machine) {
                        if (!*isRevoked)
                            election.reservations().recordSent(machine);
                    },
            .recordAnswer =
                    [self = shared_from_this(), &election, isRevoked](const std::string &machine,
                                                                      MachineOrderStatus status) {
                        if (!*isRevoked)
                            election.reservations().recordAnswer(
                                    machine, status != MachineOrderStatus::Unknown,
                                    systemNow().steady);
                    },
            .hold = [self = shared_from_this(),
                     &election] { return election.machineOrderHold(systemNow().steady); },
            .gapMs = settings_.machineOrderGapMs};
}

void CellLeadership::stopController(int cell, const char *reason)
{
    Seat &seat = seatOf(cell);
    if (!seat.controller)
        return;
    base::logEvent(base::Event::LeadershipLost, {{"reason", reason},
                                                 {"cell", std::to_string(cell)},
                                                 {"term", std::to_string(seat.controllerTerm)}});
    *seat.isRevoked = true;
    updateTransfers(cell);
    // The controller may be on the call stack, so it is destroyed in a later loop iteration.
    boost::asio::post(loop_,
                      [controller = std::shared_ptr<Controller>(std::move(seat.controller))] {});
}

} // namespace chicorywick::entry
