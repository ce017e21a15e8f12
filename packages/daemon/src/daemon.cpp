#include "daemon_parts.h"

#include <chicorywick/base/hash.h>
#include <chicorywick/base/log_event.h>
#include <chicorywick/base/unique_id.h>

#include <fstream>
#include <thread>

namespace chicorywick::daemon {

namespace {

base::Result<std::string> readToken(const std::string &path)
{
    std::ifstream file(path);
    std::string token;
    if (!std::getline(file, token) || token.empty())
        return base::makeError(base::Code::SettingsInvalid,
                               "/operator_token_file: found no token in '" + path
                                       + "', allowed: a file whose first line is the token");
    return token;
}

void logListener(const char *name, const std::string &address)
{
    base::logEvent(base::Event::ListenerOpened, {{"listener", name}, {"address", address}});
}

std::string addressText(const std::string &host, int port)
{
    return host + ":" + std::to_string(port);
}

} // namespace

Daemon::Daemon(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

Daemon::~Daemon() = default;

base::Result<std::unique_ptr<Daemon>> Daemon::start(const Settings &settings)
{
    auto impl = std::make_unique<Impl>(settings);
    BOOST_OUTCOME_TRYV(impl->start());
    return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

DaemonPorts Daemon::ports() const
{
    return impl_->ports();
}

void Daemon::stop()
{
    impl_->stop();
}

Daemon::Impl::Impl(Settings settings)
    : settings_(std::move(settings))
    , platform_(openPlatform(settings_))
    , dispatcher_(std::make_shared<serving::Dispatcher>(clock_, base::hash64(base::uniqueId())))
    , claims_(std::make_shared<serving::IdempotencyStore>(platform_.table, platform_.objects,
                                                          clock_))
    , jobWrites_(jobs::makeWriteBudget(jobs::kDefaultWrites))
    , routing_(settings_.zone, clock_, platform_, dispatcher_, [this](const std::string &upstream) {
        v1::DrainNotice notice;
        notice.set_upstream(upstream);
        notice.set_draining(true);
        notice.set_noticed_at_ms(base::toMillis(clock_.now()));
        if (peers_)
            peers_->broadcastDrain(notice);
    })
{}

Daemon::Impl::~Impl()
{
    stop();
}

base::Result<void> Daemon::Impl::start()
{
    BOOST_OUTCOME_TRY(token, readToken(settings_.operatorTokenFile));
    token_ = token;
    // An entry instance that opens its listener knows upstreams that work.
    routing_.refreshList();
    routing_.probe();
    BOOST_OUTCOME_TRYV(startPeers());
    BOOST_OUTCOME_TRYV(startServing());
    BOOST_OUTCOME_TRYV(startOperators());
    BOOST_OUTCOME_TRYV(startHealth());
    startTasks();
    base::logEvent(base::Event::DaemonStarted, {{"member", settings_.memberId},
                                                {"zone", settings_.zone},
                                                {"deployment", settings_.deployment}});
    return base::ok();
}

base::Result<void> Daemon::Impl::startPeers()
{
    cluster::PeerNodeOptions options;
    options.id = settings_.memberId;
    options.zone = settings_.zone;
    options.transport.deployment = settings_.deployment;
    options.transport.listenAddress = addressText(settings_.peers.host, settings_.peers.port);
    options.agent.deployment = settings_.deployment;
    const cluster::PeerNodePlatform access{cluster::ConfigStore(platform_.table, clock_),
                                           platform_.instances};
    BOOST_OUTCOME_TRY(node, cluster::PeerNode::start(options, access, clock_, peerCallbacks()));
    peers_ = std::move(node);
    logListener("peers", peers_->address());
    return base::ok();
}

base::Result<void> Daemon::Impl::startServing()
{
    serving::CallerProxyOptions options;
    options.host = settings_.callers.host;
    options.port = settings_.callers.port;
    options.maxThreads = static_cast<std::size_t>(settings_.callerThreads);
    options.onFinished = [this](const serving::FinishedRequest &request) { onFinished(request); };
    BOOST_OUTCOME_TRY(proxy, serving::CallerProxy::open(options, dispatcher_, claims_, clock_));
    proxy_ = std::move(proxy);
    logListener("callers", addressText(options.host, proxy_->port()));
    return base::ok();
}

base::Result<void> Daemon::Impl::startOperators()
{
    twirp::ListenerOptions options;
    options.host = settings_.operators.host;
    options.port = settings_.operators.port;
    options.token = token_;
    BOOST_OUTCOME_TRY(listener, twirp::Listener::open(options, operatorRouter()));
    operators_ = std::move(listener);
    logListener("operators", addressText(options.host, operators_->port()));
    return base::ok();
}

base::Result<void> Daemon::Impl::startHealth()
{
    BOOST_OUTCOME_TRY(listener, HealthListener::open(settings_.health,
                                                     {.isReady = [this] { return isReady(); },
                                                      .metrics =
                                                              [this] {
                                                                  updateMetrics();
                                                                  return metrics_.text();
                                                              }}));
    health_ = std::move(listener);
    logListener("health", addressText(settings_.health.host, health_->port()));
    return base::ok();
}

DaemonPorts Daemon::Impl::ports() const
{
    return {.callers = proxy_->port(),
            .operators = operators_->port(),
            .health = health_->port(),
            .peers = peers_->address()};
}

bool Daemon::Impl::isReady() const
{
    return !isDraining_ && routing_.hasList();
}

// Readiness fails first, so that the balancer sends new requests elsewhere before any is refused.
// The control work stops next: other daemons take it over while the requests in flight finish here.
void Daemon::Impl::stop()
{
    if (isStopped_.exchange(true))
        return;
    isDraining_ = true;
    base::logEvent(base::Event::DaemonDraining, {{"member", settings_.memberId}});
    tasks_.clear();
    if (proxy_) {
        std::this_thread::sleep_for(settings_.readinessGrace);
        proxy_->beginDrain();
        proxy_->stop();
    }
    if (operators_)
        operators_->stop();
    peers_.reset();
    if (health_)
        health_->stop();
    base::logEvent(base::Event::DaemonStopped, {{"member", settings_.memberId}});
}

} // namespace chicorywick::daemon
