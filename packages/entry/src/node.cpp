#include "intake.h"
#include "peer_client.h"
#include "relayed_table.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/base/rng.h>
#include <chicorywick/base/unique_id.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/leader_election.h>
#include <chicorywick/entry/node.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

// A configuration must be in effect two seconds after it was stored. A stalled connection is
// detected within this time plus the slack of the watch.
constexpr auto kOperatorWatchTimeout = 1000ms;
constexpr auto kLeaderWatchTimeout = 1000ms;
constexpr auto kRetryPause = 150ms;
constexpr auto kElectionPeriod = 100ms;
constexpr auto kElectionTimeout = 1200ms;
// Without an answer from the store for this time, this instance is not ready: it cannot store jobs.
constexpr scheduler::Millis kStoreUnreachableMs = 2'500;
// Upper bound of the random delay that spreads the claims of daemons.
constexpr std::uint64_t kMaxClaimJitterMs = 150;
// The load balancer removes a daemon after two failed probes, one second apart. Requests arrive
// until then, and on open connections even later.
constexpr scheduler::Millis kReadinessDrainMs = 2'600;
constexpr scheduler::Millis kStopMarginMs = 1'500;
constexpr auto kStopPollInterval = 50ms;
constexpr std::size_t kIncarnationLength = 8;
// Interval of yield requests to a leader on a smaller machine.
constexpr scheduler::Millis kYieldPeriodMs = 1'000;

scheduler::Millis millisOf(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    constexpr std::int64_t kNanosPerMilli = 1'000'000;
    return static_cast<scheduler::Millis>(time.tv_sec) * 1000 + time.tv_nsec / kNanosPerMilli;
}

} // namespace

scheduler::Now systemNow()
{
    return {.steady = millisOf(CLOCK_BOOTTIME), .wall = millisOf(CLOCK_REALTIME)};
}

class Node::Impl : public std::enable_shared_from_this<Node::Impl>
{
public:
    Impl(NodeSettings settings, ControllerPorts ports, const CallerCodec &codec,
         const Metrics &metrics)
        : settings_(std::move(settings))
        , ports_(ports)
        , loop_(*ports.loop)
        , incarnation_(base::uniqueId().substr(0, kIncarnationLength))
        , rng_(std::hash<std::string>()(settings_.name + incarnation_))
        , election_(settings_.name + "#" + incarnation_,
                    settings_.peers.host + ":" + std::to_string(settings_.peers.port),
                    static_cast<scheduler::Millis>(rng_.below(kMaxClaimJitterMs)),
                    ElectionSettings{.workerLeaseMs = scheduler::SchedulerSettings().leaseMs,
                                     .memoryMib = settings_.memoryMib})
        , peers_(std::make_shared<PeerClient>(loop_))
        , relayed_(*ports.table, peers_, systemNow)
        , intake_(std::make_shared<Intake>(loop_, relayed_, codec, controllerQuery(), systemNow))
        , electionTimer_(loop_)
        , metrics_(metrics)
    {}

    base::Result<void> start()
    {
        callers_ = std::make_unique<http::Server>(
                loop_,
                [self = shared_from_this()](const http::Request &request, http::Responder respond) {
                    self->intake_->handle(request, std::move(respond));
                });
        readiness_ = std::make_unique<http::Server>(
                loop_,
                [self = shared_from_this()](const http::Request &, const http::Responder &respond) {
                    constexpr int kOk = 200;
                    constexpr int kUnavailable = 503;
                    respond(http::Response{.status = self->isReady() ? kOk : kUnavailable});
                });
        peerServer_ = std::make_unique<http::Server>(
                loop_, [self = shared_from_this()](const http::Request &request,
                                                   const http::Responder &respond) {
                    if (const auto larger = parseYieldRequest(request)) {
                        self->handleYieldRequest(*larger);
                        return respond({});
                    }
                    if (const auto row = parseAnnouncedRow(request)) {
                        if (self->controller_ && !row->key.key.empty())
                            self->controller_->applyStored(*row);
                        return respond({});
                    }
                    if (!relayTransaction(request, *self->ports_.table, respond))
                        respond(handlePeerQuery(request, self->controller_.get()));
                });
        metricsServer_ = std::make_unique<http::Server>(
                loop_,
                [self = shared_from_this()](const http::Request &, const http::Responder &respond) {
                    respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                             .body = self->metrics_.text()});
                });
        for (const auto &[server, endpoint] :
             {std::pair(callers_.get(), settings_.callers),
              std::pair(readiness_.get(), settings_.readiness),
              std::pair(peerServer_.get(), settings_.peers),
              std::pair(metricsServer_.get(), settings_.metrics)}) {
            if (const auto bound = server->listen(endpoint); !bound)
                return bound;
        }
        loadOperatorState();
        loadLeader();
        runElection();
        base::logEvent(base::Event::DaemonStarted,
                       {{"node", settings_.name}, {"incarnation", incarnation_}});
        return base::ok();
    }

    void stop(const std::function<void()> &stopped)
    {
        base::logEvent(base::Event::DaemonDraining, {{"node", settings_.name}});
        isStopping_ = true;
        election_.release();
        stopController("stop");
        callers_->drain();
        stopRequestedAt_ = systemNow().steady;
        pollStop(stopped);
    }

private:
    bool isReady() const
    {
        return !isStopping_ && configuration_.has_value()
               && systemNow().steady - storeAnsweredAt_ < kStoreUnreachableMs;
    }

    ControllerQuery controllerQuery()
    {
        return {.state =
                        [this](const std::string &id, std::function<void(ControllerAnswer)> done) {
                            if (controller_)
                                return done(answerState(*controller_, id));
                            peers_->queryState(id, std::move(done));
                        },
                .waiting =
                        [this](const std::string &queue,
                               std::function<void(ControllerAnswer)> done) {
                            if (controller_)
                                return done(answerWaiting(*controller_, queue));
                            peers_->queryWaiting(queue, std::move(done));
                        },
                .announce =
                        [this](const Row &row) {
                            if (controller_)
                                return controller_->applyStored(row);
                            peers_->announce(row);
                        }};
    }

    void retryAfterPause(std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kRetryPause);
        timer->async_wait(
                [timer, action = std::move(action)](const boost::system::error_code &error) {
                    if (!error)
                        action();
                });
    }

    void recordStoreResponse()
    {
        const scheduler::Millis now = systemNow().steady;
        if (isStoreUnreachable_)
            base::logEvent(base::Event::PlatformRecovered,
                           {{"silent_ms", std::to_string(now - storeAnsweredAt_)}});
        isStoreUnreachable_ = false;
        storeAnsweredAt_ = now;
    }

    void recordStoreFailure(const char *call, const base::Error &error)
    {
        if (!isStoreUnreachable_)
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"call", call}, {"reason", error.message}});
        isStoreUnreachable_ = true;
    }

    void loadOperatorState()
    {
        ports_.operators->load(
                [self = shared_from_this()](const base::Result<OperatorState> &state) {
                    if (!state) {
                        self->recordStoreFailure("load-configuration", state.error());
                        return self->retryAfterPause([self] { self->loadOperatorState(); });
                    }
                    self->recordStoreResponse();
                    self->apply(state.value());
                    self->watchOperatorState();
                });
    }

    void watchOperatorState()
    {
        ports_.operators->watch(
                operatorVersion_, kOperatorWatchTimeout,
                [self = shared_from_this()](const base::Result<OperatorState> &state) {
                    if (!state) {
                        self->recordStoreFailure("watch-configuration", state.error());
                        const bool isHistoryLost =
                                state.error().code == base::Code::HistoryUnavailable;
                        return self->retryAfterPause([self, isHistoryLost] {
                            if (isHistoryLost)
                                self->loadOperatorState();
                            else
                                self->watchOperatorState();
                        });
                    }
                    self->recordStoreResponse();
                    self->apply(state.value());
                    self->watchOperatorState();
                });
    }

    void apply(const OperatorState &state)
    {
        operatorVersion_ = std::max(operatorVersion_, state.version);
        for (const WaveRequest &wave : state.waves)
            waves_[wave.number] = wave;
        if (controller_ && !state.waves.empty())
            controller_->setWaves(waveList());
        const auto &next = state.configuration;
        if (!next || (configuration_ && next->version <= configuration_->version))
            return;
        configuration_ = next;
        intake_->configure(*next);
        if (controller_)
            controller_->configure(*next);
        base::logEvent(base::Event::ConfigApplied,
                       {{"version", std::to_string(next->version)},
                        {"routes", std::to_string(next->routes.size())}});
    }

    std::vector<WaveRequest> waveList() const
    {
        std::vector<WaveRequest> waves;
        for (const auto &[number, wave] : waves_)
            waves.push_back(wave);
        return waves;
    }

    void observeRows(const std::vector<Row> &rows)
    {
        for (const Row &row : rows) {
            if (row.key.key != layout::leaderRow().key || row.isRemoved)
                continue; // wave rows share the table
            const auto record = decodeLeader(row.value);
            if (!record) {
                base::logEvent(base::Event::PlatformUnreachable,
                               {{"call", "read-leader"}, {"reason", record.error().message}});
                continue;
            }
            election_.observe(row.version, record.value(), systemNow().steady);
        }
        peers_->setLeader(election_.record().peerAddress);
        applyElection();
    }

    void loadLeader()
    {
        const RowKey key = layout::leaderRow();
        ports_.table->read({.table = key.table, .part = key.part}, kElectionTimeout,
                           [self = shared_from_this()](const base::Result<RowPage> &page) {
                               if (!page)
                                   return self->retryAfterPause([self] { self->loadLeader(); });
                               const bool isAbsent = page.value().rows.empty();
                               if (isAbsent)
                                   self->election_.observe(0, {}, systemNow().steady);
                               self->observeRows(page.value().rows);
                               self->leaderVersion_ = page.value().version;
                               self->watchLeader();
                           });
    }

    void watchLeader()
    {
        ports_.table->watch(
                layout::kLeader, leaderVersion_, kLeaderWatchTimeout,
                [self = shared_from_this()](const base::Result<RowPage> &page) {
                    if (!page && page.error().code == base::Code::HistoryUnavailable)
                        return self->loadLeader();
                    self->election_.setWatchHealthy(page.has_value(), systemNow().steady);
                    if (!page)
                        return self->retryAfterPause([self] { self->watchLeader(); });
                    self->leaderVersion_ = std::max(self->leaderVersion_, page.value().version);
                    self->observeRows(page.value().rows);
                    self->watchLeader();
                });
    }

    void runElection()
    {
        applyElection();
        if (const auto write = election_.nextWrite(systemNow().steady))
            writeLeader(*write);
        requestYield();
        electionTimer_.expires_after(kElectionPeriod);
        electionTimer_.async_wait(
                [self = shared_from_this()](const boost::system::error_code &error) {
                    if (!error)
                        self->runElection();
                });
    }

    // Asks a leader on a much smaller machine to hand over.
    void requestYield()
    {
        const scheduler::Millis now = systemNow().steady;
        const bool isDue = now - yieldRequestedAt_ >= kYieldPeriodMs;
        if (!isDue || isStopping_ || !isReady() || !election_.shouldRequestYield(now))
            return;
        yieldRequestedAt_ = now;
        peers_->requestYield(settings_.memoryMib);
    }

    void handleYieldRequest(std::int64_t memoryMib)
    {
        if (!controller_ || !controller_->isLoaded() || !election_.isLeading(systemNow().steady)
            || !election_.isHolderSmallerThan(memoryMib))
            return;
        stopController("larger-machine");
        election_.yield();
    }

    void writeLeader(const LeaderWrite &write)
    {
        const RowKey key = layout::leaderRow();
        ports_.table->transact(
                {.conditions = {{.key = key, .version = write.expected}},
                 .writes = {{.key = key, .value = encode(write.record)}}},
                kElectionTimeout,
                [self = shared_from_this(), write](const base::Result<TransactionResult> &result) {
                    const scheduler::Millis now = systemNow().steady;
                    if (result && result.value().isCommitted) {
                        self->election_.committed(write, result.value().version, now);
                        self->applyElection();
                        return;
                    }
                    self->election_.writeFailed(write, now);
                    if (result)
                        self->observeRows(result.value().current);
                });
    }

    // Starts and stops the controller according to the election. While the lease is uncertain, the
    // controller keeps running but sends no orders; it stops when another daemon holds the row.
    void applyElection()
    {
        if (controller_ && (!election_.holdsRow() || election_.term() != controllerTerm_))
            stopController("superseded");
        const bool isLeader = election_.isLeading(systemNow().steady);
        if (controller_ || !isLeader || !configuration_ || isStopping_)
            return;
        controllerTerm_ = election_.term();
        base::logEvent(base::Event::OwnershipTaken, {{"term", std::to_string(controllerTerm_)}});
        scheduler::SchedulerSettings scheduling;
        scheduling.fence = controllerTerm_;
        scheduling.maxLeaseMs = settings_.maxLeaseMs;
        scheduling.leaseMs = std::min(scheduling.leaseMs, settings_.maxLeaseMs);
        const scheduler::Millis previousLease = election_.previousWorkerLease();
        scheduling.previousLeaseMs = previousLease != 0 ? previousLease : settings_.maxLeaseMs;
        scheduling.retentionMs = settings_.statusRetentionMs;
        controller_ = std::make_unique<Controller>(
                ports_,
                ControllerHooks{.clock = systemNow,
                                .maySendOrders =
                                        [self = shared_from_this()] {
                                            return self->election_.isLeading(systemNow().steady);
                                        },
                                .maySendMachineOrders =
                                        [self = shared_from_this()] {
                                            return self->election_.maySendMachineOrders(
                                                    systemNow().steady);
                                        },
                                .onFenced = [self = shared_from_this()] { self->onFenced(); }},
                scheduling);
        controller_->configure(*configuration_);
        controller_->setWaves(waveList());
        controller_->start();
    }

    // A worker has seen a newer term. The watch of the row reports it soon; until then, workers
    // that have seen it reject every order.
    void onFenced() { base::logEvent(base::Event::LeadershipLost, {{"reason", "fenced"}}); }

    void stopController(const char *reason)
    {
        if (!controller_)
            return;
        base::logEvent(base::Event::LeadershipLost,
                       {{"reason", reason}, {"term", std::to_string(controllerTerm_)}});
        // The controller may be on the call stack, so it is destroyed in a later loop iteration.
        boost::asio::post(loop_,
                          [controller = std::shared_ptr<Controller>(std::move(controller_))] {});
    }

    void pollStop(const std::function<void()> &stopped)
    {
        const scheduler::Millis waited = systemNow().steady - stopRequestedAt_;
        const bool isIdle = callers_->inFlight() == 0 && waited > kReadinessDrainMs;
        if (isIdle || waited > settings_.stopGraceMs - kStopMarginMs) {
            base::logEvent(base::Event::DaemonStopped,
                           {{"unanswered", std::to_string(callers_->inFlight())}});
            return stopped();
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kStopPollInterval);
        timer->async_wait([self = shared_from_this(), timer, stopped](
                                  const boost::system::error_code &) { self->pollStop(stopped); });
    }

    NodeSettings settings_;
    ControllerPorts ports_;
    boost::asio::io_context &loop_;
    std::string incarnation_;
    base::Rng rng_;
    LeaderElection election_;
    std::shared_ptr<PeerClient> peers_;
    RelayedTable relayed_;
    std::shared_ptr<Intake> intake_;
    boost::asio::steady_timer electionTimer_;
    std::unique_ptr<http::Server> callers_;
    std::unique_ptr<http::Server> readiness_;
    std::unique_ptr<http::Server> peerServer_;
    std::unique_ptr<http::Server> metricsServer_;
    const Metrics &metrics_;
    std::unique_ptr<Controller> controller_;
    Version controllerTerm_ = 0;
    std::optional<Configuration> configuration_;
    std::map<std::int64_t, WaveRequest> waves_;
    Version operatorVersion_ = 0;
    Version leaderVersion_ = 0;
    scheduler::Millis storeAnsweredAt_ = 0;
    bool isStoreUnreachable_ = false;
    bool isStopping_ = false;
    scheduler::Millis yieldRequestedAt_ = 0;
    scheduler::Millis stopRequestedAt_ = 0;
};

Node::Node(NodeSettings settings, ControllerPorts ports, const CallerCodec &codec,
           const Metrics &metrics)
    : impl_(std::make_shared<Impl>(std::move(settings), ports, codec, metrics))
{}

Node::~Node() = default;

base::Result<void> Node::start()
{
    return impl_->start();
}

void Node::stop(const std::function<void()> &stopped)
{
    impl_->stop(stopped);
}

} // namespace chicorywick::entry
