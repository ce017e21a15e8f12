#include "controller_impl.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/caller_codec.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/records.h>

#include <algorithm>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTickPeriod = 100ms;
// A tick that is later than this is logged.
constexpr scheduler::Millis kLateTickMs = 250;
constexpr auto kWriteTimeout = 1000ms;
constexpr auto kRetryPause = 200ms;
// While machines move, the rows of workers change hundreds of times a second, and every change
// would cost each leader a call without a pause.
constexpr WatchTiming kWorkersTiming{.wait = 800ms, .pause = 50ms};
// Four answers must fit into the age up to which tasks start.
WatchTiming jobsTiming(const scheduler::SchedulerSettings &settings)
{
    WatchTiming timing;
    timing.wait = std::min(timing.wait, std::chrono::milliseconds(settings.maxJobsAgeMs / 4));
    return timing;
}

// Replaces the specification in the row of an ended job.
constexpr const char *kEndedJobValue = "{}";
constexpr scheduler::Millis kCompactionPeriodMs = 1'000;
// Shorter backlogs refuse no submission, and would make the row of the leader larger.
constexpr scheduler::Millis kMinBacklogMs = 500;
// At the start of a peak, and of a term, most of the capacity has yet to join: idle machines are
// lent and workers reply within this time.
constexpr scheduler::Millis kLastingBacklogMs = 3'000;
// Row removals per transaction; an expired job has three rows.
constexpr std::size_t kRemovalsPerWrite = 30;

} // namespace

Controller::Controller(ControllerPorts ports, ControllerHooks hooks, Cell cell,
                       scheduler::SchedulerSettings settings)
    : impl_(std::make_shared<Impl>(ports, std::move(hooks), std::move(cell), settings))
{}

Controller::~Controller()
{
    impl_->stop();
}

void Controller::start()
{
    impl_->start();
}

void Controller::configure(const Configuration &configuration)
{
    impl_->configure(configuration);
}

void Controller::setWaves(const std::vector<WaveRequest> &waves)
{
    impl_->setWaves(waves);
}

void Controller::applyStored(const Row &row)
{
    impl_->applyStored(row);
}

std::map<std::string, scheduler::Millis> Controller::heldTransfers() const
{
    return impl_->heldTransfers();
}

Version Controller::transfersKnownUntil() const
{
    return impl_->transfersKnownUntil();
}

void Controller::sendReservedOrders()
{
    impl_->sendReservedOrders();
}

bool Controller::isLoaded() const
{
    return impl_->isLoaded();
}

std::optional<scheduler::JobState> Controller::reportedState(const std::string &id) const
{
    return impl_->reportedState(id);
}

std::map<std::string, int> Controller::waitingJobs() const
{
    return impl_->waitingJobs();
}

MachineNeeds Controller::machineNeeds() const
{
    return impl_->machineNeeds();
}

const AccountNeeds &Controller::accountNeeds() const
{
    return impl_->accountNeeds();
}

std::map<std::string, scheduler::Millis> Controller::backlogs() const
{
    return impl_->backlogs();
}

const scheduler::JobMemory &Controller::jobMemory() const
{
    return impl_->jobMemory();
}

Controller::Impl::Impl(ControllerPorts ports, ControllerHooks hooks, Cell cell,
                       scheduler::SchedulerSettings settings)
    : ports_(ports)
    , hooks_(std::move(hooks))
    , cell_(std::move(cell))
    , rows_(cell_.rows())
    , pacer_(std::make_shared<ActionPacer>(*ports.loop))
    , scheduler_(*ports.orders,
                 {.clock = hooks_.clock,
                  .maySendOrders = hooks_.maySendOrders,
                  .onFenced = hooks_.onFenced,
                  .onProgress = [this] { journal_->request(); },
                  .orderValidity = hooks_.orderValidity,
                  .jobsKnownUntil = [this] { return jobsWatch_->view().knownUntil(); },
                  .defer = [this](std::function<void()> action) { pacer_->run(std::move(action)); },
                  .fenceFor =
                          [this](const std::string &machine) {
                              return ledger_ ? ledger_->fenceFor(machine) : fence_;
                          }},
                 settings)
    , jobsWatch_(std::make_shared<TableWatch>(
              *ports.loop, *ports.table, rows_.jobsTable(),
              TableWatchHooks{.clock = [clock = hooks_.clock] { return clock().steady; },
                              .onRows = [this](const RowPage &page) { applyJobRows(page.rows); },
                              .onHistoryLost = [this] { loadJobs(); }},
              jobsTiming(settings)))
    , workersWatch_(std::make_shared<ViewWatch<WorkerList>>(
              *ports.loop,
              [discovery = ports.discovery](const WatchRequest &request,
                                            Callback<WorkerList> done) {
                  discovery->watch(request, std::move(done));
              },
              WatchHooks<WorkerList>{
                      .clock = [clock = hooks_.clock] { return clock().steady; },
                      .onRows = [this](const WorkerList &list) { applyWorkers(list, false); },
                      .onHistoryLost = [this] { retryAfterPause([this] { loadWorkers(); }); }},
              kWorkersTiming))
    , journal_(std::make_shared<ProgressJournal>(*ports.loop, *ports.table, rows_, scheduler_,
                                                 hooks_.maySendOrders))
    , roster_(std::make_shared<RosterJournal>(*ports.table, rows_, scheduler_,
                                              hooks_.maySendOrders))
    , ledger_(cell_.layout.count() == 1
                      ? nullptr
                      : std::make_shared<MachineLedger>(
                              *ports.loop, *ports.table, cell_, settings.fence,
                              MachineLedgerHooks{
                                      .clock = [clock = hooks_.clock] { return clock().steady; },
                                      .mayWrite = hooks_.maySendOrders,
                                      .onReceived = [this] { addReceivedWorkers(); },
                                      .settledUntil = hooks_.transfersSettledUntil,
                                      .orderGapMs = hooks_.machineOrders.gapMs}))
    , machines_(std::make_shared<ReservingMachines>(*ports.machines, hooks_.clock,
                                                    hooks_.machineOrders))
    , inventory_(*machines_, hooks_.clock, cell_, ledger_, hooks_.machineOrders.heldUntil)
    , waves_(std::make_shared<WaveRunner>(WaveRunnerPorts{.machines = machines_.get(),
                                                          .operators = ports.operators,
                                                          .table = ports.table},
                                          hooks_, scheduler_, inventory_, cell_, settings.fence,
                                          ledger_))
    , poolBalancer_(std::make_shared<PoolBalancer>(
              *machines_, hooks_, scheduler_, inventory_, settings.fence,
              LendingPorts{.ledger = ledger_,
                           .isInOpenWave =
                                   [waves = waves_](const std::string &machine) {
                                       return waves->isInOpenWave(machine);
                                   },
                           .maintainedFor =
                                   [waves = waves_](const std::string &machine) {
                                       return waves->maintainedFor(machine);
                                   },
                           .onMachinesKept = [this] { addReceivedWorkers(); }}))
    , quota_(std::make_shared<AccountQuota>(*ports.loop, *ports.table, hooks_, scheduler_, cell_,
                                            settings.fence))
    , tickTimer_(*ports.loop)
    , fence_(settings.fence)
    , retentionMs_(settings.retentionMs)
    , jobsReport_("jobs", cell_.number, settings.maxJobsAgeMs)
    , workersReport_("workers", cell_.number)
    , machineOrderReport_(cell_.number)
{}

void Controller::Impl::start()
{
    loadMachines();
}

void Controller::Impl::stop()
{
    isStopped_ = true;
    tickTimer_.cancel();
    jobsWatch_->stop();
    workersWatch_->stop();
    journal_->stop();
    roster_->stop();
    waves_->stop();
    poolBalancer_->stop();
    machines_->stop();
    quota_->stop();
    if (ledger_)
        ledger_->stop();
}

void Controller::Impl::configure(const Configuration &configuration)
{
    configuration_ = configuration;
    std::vector<scheduler::QueuePolicy> queues;
    for (const QueueRoute &route : configuration.routes)
        queues.push_back(route.policy);
    std::vector<scheduler::AccountPolicy> accounts;
    for (const ClientAccount &account :
         configuration.accounts.value_or(std::vector<ClientAccount>()))
        accounts.push_back(account.policy);
    scheduler_.setAccounts(accounts);
    quota_->configure(configuration.accounts);
    scheduler_.setQueues(queues);
    applyUsedServices();
}

// Jobs of a removed queue still use its service, so this also follows the loading of the jobs.
void Controller::Impl::applyUsedServices()
{
    poolBalancer_->configure(configuration_);
    const std::set<std::string> used = scheduler_.usedServices();
    std::set<std::string> unusedPools;
    for (const auto &[name, setup] : configuration_.services)
        if (!used.contains(name))
            unusedPools.insert(name);
    waves_->setUnusedPools(unusedPools);
}

std::optional<scheduler::JobState> Controller::Impl::reportedState(const std::string &id) const
{
    const auto state = scheduler_.stateOf(id);
    const bool isFinal =
            state == scheduler::JobState::Completed || state == scheduler::JobState::Failed;
    // The next leader could revert a final state that is not stored.
    if (isFinal && journal_->isPending(id))
        return scheduler::JobState::Running;
    return state;
}

std::map<std::string, scheduler::Millis> Controller::Impl::backlogs() const
{
    auto backlogs = scheduler_.backlogs();
    const scheduler::Millis now = hooks_.clock().steady;
    std::erase_if(backlogs, [this, now](const auto &backlog) {
        const auto since = backlogSince_.find(backlog.first);
        return since == backlogSince_.end() || now - since->second < kLastingBacklogMs;
    });
    return backlogs;
}

void Controller::Impl::updateBacklogs()
{
    const auto backlogs = scheduler_.backlogs();
    std::erase_if(backlogSince_, [&backlogs](const auto &since) {
        const auto backlog = backlogs.find(since.first);
        return backlog == backlogs.end() || backlog->second < kMinBacklogMs;
    });
    for (const auto &[queue, backlogMs] : backlogs)
        if (backlogMs >= kMinBacklogMs)
            backlogSince_.try_emplace(queue, hooks_.clock().steady);
}

void Controller::Impl::retryAfterPause(std::function<void()> action)
{
    runAfter(kRetryPause, std::move(action));
}

void Controller::Impl::runAfter(std::chrono::milliseconds pause, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(*ports_.loop, pause);
    timer->async_wait([self = shared_from_this(), timer,
                       action = std::move(action)](const boost::system::error_code &error) {
        if (!error && !self->isStopped_)
            action();
    });
}

// A job and its cancellation can be read together, the job first. With the cancellations applied
// first, no task of a cancelled job starts.
void Controller::Impl::applyJobRows(const std::vector<Row> &rows)
{
    for (const Row &row : rows)
        applyCancellation(row);
    for (const Row &row : rows)
        applyJobRow(row);
}

void Controller::Impl::applyCancellation(const Row &row)
{
    const std::string id = layout::cancelledJob(row.key.key);
    if (id.empty() || row.isRemoved)
        return;
    cancelled_.add(id, hooks_.clock().steady);
    scheduler_.cancelJob(id);
}

void Controller::Impl::applyJobRow(const Row &row)
{
    if (row.isRemoved || !layout::cancelledJob(row.key.key).empty())
        return;
    const auto progress = loadedProgress_.find(row.key.key);
    if (row.value == kEndedJobValue) {
        if (progress != loadedProgress_.end())
            scheduler_.addJob({.id = row.key.key}, progress->second);
        return;
    }
    if (scheduler_.stateOf(row.key.key))
        return; // already announced by the daemon that stored it
    const auto spec = decodeJob(row.value);
    // A row that the scheduler cannot handle would end each leader of the cell in turn.
    const auto checked = spec ? validateJob(spec.value()) : base::Result<void>(spec.error());
    const bool isOwn = spec && spec.value().id == row.key.key;
    if (!checked || !isOwn) {
        base::logEvent(base::Event::JobRefused, {{"job", row.key.key},
                                                 {"reason", checked ? "the row holds another job"
                                                                    : checked.error().message}});
        return;
    }
    const bool hasEnded = progress != loadedProgress_.end() && isTerminal(progress->second.state);
    if (cancelled_.contains(row.key.key) && !hasEnded)
        return scheduler_.addCancelledJob(spec.value());
    // A job without stored progress may have been started by a previous leader, unless the job was
    // stored after this leader's claim: previous leaders had stopped by then.
    std::optional<scheduler::JobProgress> initialProgress;
    if (progress != loadedProgress_.end())
        initialProgress = progress->second;
    else if (!isLoaded_ && row.version < fence_)
        initialProgress = scheduler::JobProgress{};
    scheduler_.addJob(spec.value(), initialProgress);
}

// Until loading completes, rows of jobs are left to loadJobs(): a previous leader may have started
// the job. A cancellation may be newer than the rows that were read.
void Controller::Impl::applyStored(const Row &row)
{
    if (isStopped_)
        return;
    if (isLoaded_)
        return applyJobRows({row});
    applyCancellation(row);
}

void Controller::Impl::reportDelays()
{
    const scheduler::Millis now = hooks_.clock().steady;
    const scheduler::Millis lateMs = now - tickedAt_ - kTickPeriod.count();
    if (tickedAt_ != 0 && lateMs > kLateTickMs)
        base::logEvent(base::Event::LoopDelayed, {{"late_ms", std::to_string(lateMs)}});
    tickedAt_ = now;
    jobsReport_.update(jobsWatch_->view(), now);
    workersReport_.update(workersWatch_->view(), now);
    if (hooks_.machineOrders.hold) {
        const auto slow = machines_->hold();
        machineOrderReport_.update(slow ? slow : hooks_.machineOrders.hold(), now);
    }
}

void Controller::Impl::scheduleTick()
{
    tickTimer_.expires_after(kTickPeriod);
    tickTimer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->isStopped_)
            return;
        self->tick();
        self->scheduleTick();
    });
}

void Controller::Impl::tick()
{
    reportDelays();
    scheduler_.tick();
    updateBacklogs();
    roster_->update();
    machines_->update();
    waves_->tick();
    poolBalancer_->tick();
    quota_->tick();
    compactEndedJobs();
    removeExpiredJobs();
}

// Drops the specification of ended jobs, so that the next leader loads less data. The row stays, so
// that a late retry of the submission finds that the job exists.
void Controller::Impl::compactEndedJobs()
{
    const scheduler::Millis now = hooks_.clock().steady;
    if (now - compactedAt_ < kCompactionPeriodMs || !hooks_.maySendOrders())
        return;
    compactedAt_ = now;
    std::map<std::string, Transaction> byPart;
    for (const std::string &id : journal_->takeEndedJobs()) {
        const RowKey job = rows_.jobRow(id);
        byPart[job.part].writes.push_back({.key = job, .value = kEndedJobValue});
    }
    // A failed write only makes the next load longer.
    for (const auto &[part, transaction] : byPart)
        ports_.table->transact(transaction, kWriteTimeout, logFailureOf("shrink-jobs"));
}

void Controller::Impl::removeExpiredJobs()
{
    if (!hooks_.maySendOrders())
        return;
    std::map<std::string, Transaction> byPart;
    for (const std::string &id : scheduler_.takeExpiredJobs()) {
        const RowKey job = rows_.jobRow(id);
        byPart[job.part].removals.push_back(job);
        byPart[job.part].removals.push_back(rows_.cancelRow(id));
        const RowKey progress = rows_.progressRow(id);
        byPart[progress.part].removals.push_back(progress);
        journal_->forget(id);
        cancelled_.erase(id);
    }
    // Cancellations of jobs that were never stored, or whose removal failed before.
    const auto hasJob = [this](const std::string &id) {
        return scheduler_.stateOf(id).has_value();
    };
    for (const std::string &id :
         cancelled_.takeExpired(hooks_.clock().steady - retentionMs_, hasJob)) {
        const RowKey row = rows_.cancelRow(id);
        byPart[row.part].removals.push_back(row);
    }
    for (auto &[part, transaction] : byPart)
        for (std::size_t from = 0; from < transaction.removals.size(); from += kRemovalsPerWrite) {
            const auto begin = transaction.removals.begin() + static_cast<std::ptrdiff_t>(from);
            const auto end = transaction.removals.begin()
                             + static_cast<std::ptrdiff_t>(std::min(from + kRemovalsPerWrite,
                                                                    transaction.removals.size()));
            // After a failed write, the next leader finds and removes the rows.
            ports_.table->transact({.removals = {begin, end}}, kWriteTimeout,
                                   logFailureOf("remove-jobs"));
        }
}

} // namespace chicorywick::entry
