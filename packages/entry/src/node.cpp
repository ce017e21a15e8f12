#include "announcer.h"
#include "cell_leadership.h"
#include "configuration_exchange.h"
#include "intake.h"
#include "peer_client.h"
#include "relayed_table.h"
#include "view_report.h"
#include "view_watch.h"

#include <chicorywick/base/hash.h>
#include <chicorywick/base/log_event.h>
#include <chicorywick/base/unique_id.h>
#include <chicorywick/entry/node.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <ctime>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

// A configuration must be in effect two seconds after it was stored.
constexpr WatchTiming kOperatorTiming{.wait = 1000ms, .pause = 0ms};
constexpr auto kReportPeriod = 250ms;
// Without an answer from the store for this time, this instance is not ready: it cannot store jobs.
constexpr scheduler::Millis kStoreUnreachableMs = 2'500;
// A watch without changes is answered after its wait; the rest is for the way of the answer.
constexpr scheduler::Millis kConfigurationOverdueMs = 1'500;
// While the store rejects this instance, peers are asked without waiting for its next answer.
constexpr scheduler::Millis kPeerConfigurationOverdueMs = 500;
// An answer of the store that arrives is waited for until then.
constexpr scheduler::Millis kSlowConfigurationMs = 3'000;
// The load balancer removes a daemon after two failed probes, one second apart. Requests arrive
// until then, and on open connections even later.
constexpr scheduler::Millis kReadinessDrainMs = 2'600;
constexpr scheduler::Millis kStopMarginMs = 1'500;
constexpr auto kStopPollInterval = 50ms;
constexpr std::size_t kIncarnationLength = 8;
// Twice the largest body that callers are allowed.
constexpr std::size_t kMaxCallerBodyBytes = 512 * 1024;
// Probes and metrics have no body.
// A machine whose memory is not known counts as one with this much.
constexpr std::int64_t kDefaultMemoryMib = 256;
constexpr std::int64_t kBytesPerMib = 1024 * 1024;
constexpr std::int64_t kMaxCallerBufferBytes = 40 * kBytesPerMib;
constexpr std::int64_t kCallerBufferShare = 8;
constexpr std::int64_t kJobMemoryShare = 4;
// The page takes a millisecond to write, and its readers ask every few seconds.
constexpr scheduler::Millis kMetricsPageAgeMs = 200;
constexpr http::ServerLimits kProbeLimits{
        .maxBodyBytes = 4 * 1024, .maxBufferedBytes = 1024 * 1024, .maxConnections = 100};

scheduler::Millis millisOf(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    constexpr std::int64_t kNanosPerMilli = 1'000'000;
    return static_cast<scheduler::Millis>(time.tv_sec) * 1000 + time.tv_nsec / kNanosPerMilli;
}

std::int64_t memoryBytes(const NodeSettings &settings)
{
    return kBytesPerMib * (settings.memoryMib > 0 ? settings.memoryMib : kDefaultMemoryMib);
}

http::ServerLimits callerLimits(const NodeSettings &settings)
{
    const std::int64_t share =
            std::min(memoryBytes(settings) / kCallerBufferShare, kMaxCallerBufferBytes);
    return {.maxBodyBytes = kMaxCallerBodyBytes,
            .maxBufferedBytes =
                    settings.callerBufferBytes.value_or(static_cast<std::size_t>(share)),
            .maxConnections = settings.callerConnections};
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
        , peerAddress_(settings_.peers.host + ":" + std::to_string(settings_.peers.port))
        , peers_(std::make_shared<PeerClient>(loop_, peerAddress_))
        , cells_(std::make_shared<CellLeadership>(settings_, ports_, peers_, incarnation_))
        , announcer_(std::make_shared<Announcer>(
                  loop_,
                  [cells = cells_, peers = peers_](int cell, const Row &row,
                                                   std::function<void(bool)> done) {
                      if (cells->applyStored(cell, row))
                          return done(true);
                      peers->announce(cell, row, std::move(done));
                  }))
        , relayed_(*ports.table, peers_, systemNow)
        , intake_(std::make_shared<Intake>(
                  loop_, relayed_, codec, controllerQuery(), systemNow,
                  settings_.jobMemoryBytes.value_or(memoryBytes(settings_) / kJobMemoryShare)))
        , metrics_(metrics)
        , reportTimer_(loop_)
    {}

    base::Result<void> start()
    {
        callers_ = std::make_unique<http::Server>(
                loop_,
                [self = shared_from_this()](const http::Request &request, http::Responder respond) {
                    self->intake_->handle(request, std::move(respond));
                },
                callerLimits(settings_));
        readiness_ = std::make_unique<http::Server>(
                loop_,
                [self = shared_from_this()](const http::Request &, const http::Responder &respond) {
                    constexpr int kOk = 200;
                    constexpr int kUnavailable = 503;
                    respond(http::Response{.status = self->isReady() ? kOk : kUnavailable});
                },
                kProbeLimits);
        exchange_ = std::make_shared<ConfigurationExchange>(
                loop_, peerAddress_, base::hash64(incarnation_),
                ConfigurationExchangeHooks{
                        .clock = [] { return systemNow().steady; },
                        .onAnswer =
                                [self = shared_from_this()](const PeerConfiguration &answer) {
                                    self->applyFromPeers(answer);
                                }});
        peerServer_ = std::make_unique<http::Server>(
                loop_,
                [self = shared_from_this()](const http::Request &request,
                                            const http::Responder &respond) {
                    self->exchange_->recordSender(request);
                    if (answerConfigurationQuery(request, self->sharedConfiguration_,
                                                 self->configurationAgeMs(), respond))
                        return;
                    if (const auto yieldRequest = parseYieldRequest(request)) {
                        self->cells_->handleYieldRequest(*yieldRequest);
                        return respond({});
                    }
                    if (const auto announced = parseAnnouncedRow(request)) {
                        return respond(answerAnnouncement(*announced, [&](const AnnouncedRow &row) {
                            return self->cells_->applyStored(row.cell, row.row);
                        }));
                    }
                    if (!relayTransaction(request, *self->ports_.table, respond))
                        respond(handlePeerQuery(request, [&](int cell) {
                            return self->cells_->controllerOf(cell);
                        }));
                },
                http::ServerLimits{.maxBufferedBytes = settings_.peerBufferBytes,
                                   .maxConnections = settings_.peerConnections});
        metricsServer_ = std::make_unique<http::Server>(
                loop_,
                [self = shared_from_this()](const http::Request &, const http::Responder &respond) {
                    respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                             .body = self->metricsPage()});
                },
                kProbeLimits);
        for (const auto &[server, endpoint] :
             {std::pair(callers_.get(), settings_.callers),
              std::pair(readiness_.get(), settings_.readiness),
              std::pair(peerServer_.get(), settings_.peers),
              std::pair(metricsServer_.get(), settings_.metrics)}) {
            if (const auto bound = server->listen(endpoint); !bound)
                return bound;
        }
        watchOperatorState();
        intake_->setConfigurationCheck([self = shared_from_this()] {
            const auto ageMs = self->configurationAgeMs();
            return ageMs && *ageMs <= self->settings_.configurationDelayMs;
        });
        reportViewAge();
        cells_->start([self = shared_from_this()](const CellLayout &layout) {
            self->intake_->setLayout(layout);
        });
        base::logEvent(base::Event::DaemonStarted,
                       {{"node", settings_.name}, {"incarnation", incarnation_}});
        return base::ok();
    }

    void stop(const std::function<void()> &stopped)
    {
        base::logEvent(base::Event::DaemonDraining, {{"node", settings_.name}});
        isStopping_ = true;
        cells_->release();
        callers_->drain();
        stopRequestedAt_ = systemNow().steady;
        pollStop(stopped);
    }

private:
    bool isReady() const
    {
        return !isStopping_ && configuration_.has_value() && cells_->hasLayout()
               && systemNow().steady - storeAnsweredAt_ < kStoreUnreachableMs;
    }

    ControllerQuery controllerQuery()
    {
        return {.state =
                        [this](int cell, const std::string &id,
                               std::function<void(ControllerAnswer)> done) {
                            if (const Controller *const leader = cells_->controllerOf(cell))
                                return done(answerState(*leader, id));
                            peers_->queryState(cell, id, std::move(done));
                        },
                .waiting = [this](const std::string &queue) { return cells_->waitingJobs(queue); },
                .backlogMs =
                        [this](int cell, const std::string &queue) {
                            return cells_->backlogMs(cell, queue);
                        },
                .jobMemory = [this](int cell) { return cells_->jobMemory(cell); },
                .announce = [this](int cell, const Row &row) { announcer_->announce(cell, row); }};
    }

    const std::string &metricsPage()
    {
        const scheduler::Millis now = systemNow().steady;
        if (metricsPage_.empty() || now - metricsPageAt_ >= kMetricsPageAgeMs) {
            metricsPage_ = metrics_.text();
            metricsPageAt_ = now;
        }
        return metricsPage_;
    }

    void recordStoreResponse()
    {
        const scheduler::Millis now = systemNow().steady;
        if (isStoreUnreachable_)
            base::logEvent(base::Event::PlatformRecovered,
                           {{"silent_ms", std::to_string(now - storeAnsweredAt_)}});
        isStoreUnreachable_ = false;
        storeAnsweredAt_ = now;
        cells_->setReady(!isStopping_);
    }

    void recordStoreFailure(const char *call, const base::Error &error)
    {
        if (!isStoreUnreachable_)
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"call", call}, {"reason", error.message}});
        isStoreUnreachable_ = true;
        cells_->setReady(false);
    }

    void watchOperatorState()
    {
        operatorWatch_ = std::make_shared<ViewWatch<OperatorState>>(
                loop_,
                [operators = ports_.operators](const WatchRequest &request,
                                               Callback<OperatorState> done) {
                    operators->watch(request, std::move(done));
                },
                WatchHooks<OperatorState>{
                        .clock = [] { return systemNow().steady; },
                        .onRows =
                                [self = shared_from_this()](const OperatorState &state) {
                                    self->recordStoreResponse();
                                    self->apply(state);
                                },
                        .load =
                                [operators =
                                         ports_.operators](const http::TransferPointer &transfer,
                                                           Callback<OperatorState> done) {
                                    operators->load(transfer, std::move(done));
                                },
                        .onFailure =
                                [self = shared_from_this()](const base::Error &error) {
                                    self->recordStoreFailure("watch-configuration", error);
                                }},
                kOperatorTiming);
        cells_->setWavesView([watch = operatorWatch_] { return watch->view().knownUntil(); });
        operatorWatch_->start();
    }

    void reportViewAge()
    {
        operatorReport_.update(operatorWatch_->view(), systemNow().steady);
        askPeersIfOverdue();
        reportTimer_.expires_after(kReportPeriod);
        reportTimer_.async_wait(
                [self = shared_from_this()](const boost::system::error_code &error) {
                    if (!error)
                        self->reportViewAge();
                });
    }

    std::int64_t version() const { return configuration_ ? configuration_->version : 0; }

    /// Time since the configuration in force was last known to be the newest.
    std::optional<scheduler::Millis> configurationAgeMs() const
    {
        const scheduler::Millis knownUntil =
                std::max(operatorWatch_->view().knownUntil(), knownFromPeersUntil_);
        if (!configuration_ || knownUntil == 0)
            return std::nullopt;
        return systemNow().steady - knownUntil;
    }

    // The store may reject this instance and serve the others, which then know newer versions.
    void askPeersIfOverdue()
    {
        const auto ageMs = configurationAgeMs();
        scheduler::Millis limitMs = kConfigurationOverdueMs;
        if (isStoreUnreachable_)
            limitMs = kPeerConfigurationOverdueMs;
        else if (operatorWatch_->isAnyArriving())
            limitMs = kSlowConfigurationMs;
        if (!ageMs || *ageMs > limitMs)
            exchange_->ask(version(), peers_->leaderAddresses());
    }

    void applyFromPeers(const PeerConfiguration &answer)
    {
        if (answer.text) {
            const auto configuration = ports_.operators->decode(*answer.text);
            if (!configuration)
                return base::logEvent(base::Event::ConfigRefused,
                                      {{"reason", configuration.error().message}});
            const std::int64_t newVersion = configuration.value().version;
            if (newVersion > version())
                base::logEvent(base::Event::ConfigFromPeers,
                               {{"version", std::to_string(newVersion)},
                                {"former", std::to_string(version())},
                                {"bytes", std::to_string(answer.text->size())}});
            apply({.configuration = configuration.value(), .configurationText = *answer.text});
        }
        knownFromPeersUntil_ = std::max(knownFromPeersUntil_, answer.knownUntil);
    }

    void apply(const OperatorState &state)
    {
        for (const WaveRequest &wave : state.waves)
            waves_[wave.number] = wave;
        if (!state.waves.empty())
            cells_->setWaves(waveList());
        const auto &next = state.configuration;
        if (!next || (configuration_ && next->version <= configuration_->version))
            return;
        configuration_ = next;
        sharedConfiguration_.set(next->version, state.configurationText);
        intake_->configure(*next);
        cells_->configure(*next);
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
    std::string peerAddress_;
    std::shared_ptr<PeerClient> peers_;
    std::shared_ptr<CellLeadership> cells_;
    std::shared_ptr<Announcer> announcer_;
    RelayedTable relayed_;
    std::shared_ptr<Intake> intake_;
    std::shared_ptr<ConfigurationExchange> exchange_;
    std::unique_ptr<http::Server> callers_;
    std::unique_ptr<http::Server> readiness_;
    std::unique_ptr<http::Server> peerServer_;
    std::unique_ptr<http::Server> metricsServer_;
    const Metrics &metrics_;
    std::string metricsPage_;
    scheduler::Millis metricsPageAt_ = 0;
    std::optional<Configuration> configuration_;
    SharedConfiguration sharedConfiguration_; ///< configuration_ for peers
    scheduler::Millis knownFromPeersUntil_ = 0;
    std::map<std::int64_t, WaveRequest> waves_;
    std::shared_ptr<ViewWatch<OperatorState>> operatorWatch_;
    ViewReport operatorReport_{"operators"};
    boost::asio::steady_timer reportTimer_;
    scheduler::Millis storeAnsweredAt_ = 0;
    bool isStoreUnreachable_ = false;
    bool isStopping_ = false;
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
