#include "daemon_parts.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/platform/run_once.h>

#include <algorithm>

namespace chicorywick::daemon {

namespace {

using namespace std::chrono_literals;

// The list and the grants are read every second, so that an upstream gets no new work 3 s after it
// leaves.
constexpr base::Duration kListInterval = 1s;
constexpr base::Duration kGrantInterval = 1s;
constexpr base::Duration kWaveInterval = 500ms;
constexpr base::Duration kJobInterval = 200ms;
constexpr base::Duration kMemberInterval = 1s;
constexpr base::Duration kLoadInterval = 500ms;
constexpr base::Duration kBurnInterval = 5s;
constexpr base::Duration kSurveyWait = 1s;

// One daemon at a time reads this many rows in each pass: 20 rows and at most 20 deletions a
// second, little beside the table's capacity.
constexpr base::Duration kRetentionInterval = 5s;
constexpr std::uint32_t kRetentionRows = 50;

// The interval between burn summaries grows with the members, so that a daemon's traffic stays
// flat.
constexpr base::Duration kBurnSpreadPerMember = 1s;
constexpr base::Duration kMaxBurnSpread = 60s;

} // namespace

void Daemon::Impl::startTasks()
{
    fleet::WaveDriverOptions waveOptions;
    waveOptions.clock = clock_;
    waveOptions.minDrainTime = settings_.minDrain;
    waveOptions.owns = [this](const std::string &wave) {
        return peers_->ownership().isOwner("wave/" + wave, "", clock_.now());
    };
    waves_ = std::make_unique<fleet::WaveDriver>(fleet::FleetRepository(platform_.table),
                                                 platform_.instances, platform_.control,
                                                 waveOptions);
    jobs::JobDriverOptions jobOptions;
    jobOptions.clock = clock_;
    jobOptions.writeBudget = jobWrites_;
    jobs_ = std::make_unique<jobs::JobDriver>(jobs::JobPlatform{platform_.table, platform_.objects,
                                                                platform_.instances,
                                                                platform_.workers},
                                              jobOptions);

    const auto add = [this](base::Duration interval, std::function<void()> work) {
        tasks_.push_back(std::make_unique<PeriodicTask>(interval, std::move(work)));
    };
    add(kListInterval, [this] { routing_.refreshList(); });
    add(kGrantInterval, [this] { routing_.refreshGrants(); });
    add(serving::HealthPolicy().interval, [this] { routing_.probe(); });
    add(kMemberInterval, [this] { updateMembers(); });
    add(kLoadInterval, [this] { spreadLoad(); });
    add(kBurnInterval, [this] { spreadBurn(); });
    add(kRetentionInterval, [this] { removeExpiredRows(); });
    add(kWaveInterval, [this] { stepWaves(); });
    add(kJobInterval, [this] { stepJobs(); });
}

cluster::PeerCallbacks Daemon::Impl::peerCallbacks()
{
    cluster::PeerCallbacks callbacks;
    callbacks.onLoad = [this](const cluster::MemberIdentity &from, const v1::LoadReport &report) {
        remoteLoads_.note(from.id, report, clock_.now());
    };
    callbacks.onDrain = [this](const v1::DrainNotice &notice) {
        routing_.noteDrain(notice.upstream(), base::fromMillis(notice.noticed_at_ms()));
    };
    callbacks.onBurn = [this](const v1::BurnSummary &summary) {
        ledger_.add(summary, clock_.now());
    };
    callbacks.onConfig = [this](const cluster::ConfigApplier &config) { onConfig(config); };
    return callbacks;
}

void Daemon::Impl::onConfig(const cluster::ConfigApplier &config)
{
    ConfigView view = makeConfigView(config.items());
    routing_.setConfig(view);
    config_.publish(std::make_unique<const ConfigView>(std::move(view)));
    base::logEvent(config.isFromPeers() ? base::Event::ConfigFromPeers : base::Event::ConfigApplied,
                   {{"version", std::to_string(config.version())}});
}

// A request that the caller cancelled is no failure of the service.
void Daemon::Impl::onFinished(const serving::FinishedRequest &request)
{
    metrics_.countRequest(request.service, request.outcome, request.latency);
    if (request.service.empty())
        return;
    const std::uint32_t latencyMs = config_.read([&](const ConfigView &view) {
        const auto found = view.services.find(request.service);
        const bool isConfigured = found != view.services.end() && found->second.has_objective();
        return isConfigured ? found->second.objective().latency_ms()
                            : defaultObjective().latency_ms();
    });
    constexpr int kFirstServerError = 500;
    if (request.outcome != "completed" || request.status >= kFirstServerError)
        recorder_.record(request.service, report::RequestResult::Failed);
    else if (request.latency > std::chrono::milliseconds(latencyMs))
        recorder_.record(request.service, report::RequestResult::Slow);
    else
        recorder_.record(request.service, report::RequestResult::Good);
}

void Daemon::Impl::stepWaves()
{
    waves_->step(clock_.now());
}

void Daemon::Impl::stepJobs()
{
    const base::TimePoint now = clock_.now();
    std::vector<std::string> mine;
    for (const std::string &pool : routing_.pools()) {
        if (peers_->ownership().isOwner("jobs/" + pool, "", now))
            mine.push_back(pool);
    }
    jobs_->setPools(std::move(mine));
    jobs_->setQuotas(config_.read([](const ConfigView &view) { return view.teams; }));
    jobs_->step(now);
}

void Daemon::Impl::updateMembers()
{
    const cluster::MembersView view = peers_->members();
    unsigned inZone = 1;
    unsigned aliveMembers = 1;
    for (const cluster::Member &member : view.members) {
        const bool isAlive = member.status == cluster::MemberStatus::Alive
                             || member.status == cluster::MemberStatus::Suspect;
        aliveMembers += isAlive ? 1 : 0;
        inZone += isAlive && member.identity.zone == settings_.zone ? 1 : 0;
    }
    routing_.setEntryInstancesInZone(inZone);
    // The daemons share the writes that jobs may take of the table.
    jobWrites_->setRate(clock_.now(), jobs::kDefaultWrites / static_cast<double>(aliveMembers));
}

void Daemon::Impl::removeExpiredRows()
{
    if (!peers_->ownership().isOwner("retention", "", clock_.now()))
        return;
    const auto claims = claims_->removeExpired(claimsCursor_, kRetentionRows);
    if (claims)
        claimsCursor_ = claims.value();
    const auto operations = platform::removeExpiredOperations(platform_.table, clock_,
                                                              operationsCursor_, kRetentionRows);
    if (operations)
        operationsCursor_ = operations.value();
}

void Daemon::Impl::spreadLoad()
{
    v1::LoadReport report;
    for (const serving::UpstreamLoadView &view : dispatcher_->loads()) {
        if (view.inFlight == 0)
            continue;
        v1::UpstreamLoad *load = report.add_loads();
        load->set_upstream(view.id);
        load->set_in_flight(view.inFlight);
    }
    if (!report.loads().empty())
        peers_->sendLoad(report);
    for (const auto &[upstream, inFlight] : remoteLoads_.totals(clock_.now()))
        dispatcher_->reportRemoteLoad(upstream, inFlight);
}

void Daemon::Impl::spreadBurn()
{
    const base::TimePoint now = clock_.now();
    recorder_.collect(now);
    const v1::BurnSummary summary = recorder_.summary(settings_.memberId, settings_.zone);
    ledger_.add(summary, now);
    const auto members = static_cast<std::int64_t>(peers_->members().members.size());
    const base::Duration interval =
            std::min<base::Duration>(kBurnSpreadPerMember * members, kMaxBurnSpread);
    if (now - burnSpreadAt_ < interval)
        return;
    burnSpreadAt_ = now;
    peers_->broadcastBurn(summary);
}

twirp::Router Daemon::Impl::operatorRouter()
{
    twirp::Router router;
    fleet::addFleetServices(router,
                            {platform_.table, platform_.instances, platform_.control, clock_});
    jobs::addJobServices(
            router, {jobs::JobRepository(platform_.table, platform_.objects), clock_, jobWrites_});
    cluster::addConfigServices(router, cluster::ConfigStore(platform_.table, clock_),
                               {.status = [this] { return peers_->surveyConfig(kSurveyWait); },
                                .onAccepted = [this] { peers_->refreshConfig(); }});
    addReportServices(router, {.burn = [this] { return burnReport(); },
                               .status = [this] { return status(); }});
    return router;
}

v1::BurnReport Daemon::Impl::burnReport() const
{
    const ConfigView view = config_.read([](const ConfigView &current) { return current; });
    return ledger_.report(objectivesOf(view, routing_.services()), routing_.zones(), clock_.now());
}

v1::StatusResponse Daemon::Impl::status() const
{
    const cluster::MembersView view = peers_->members();
    v1::StatusResponse response;
    response.set_member(settings_.memberId);
    response.set_zone(settings_.zone);
    response.set_deployment(settings_.deployment);
    response.set_draining(isDraining_);
    response.set_platform_reachable(peers_->isPlatformReachable());
    response.set_config_version(peers_->configVersion());
    const auto add = [&](const cluster::MemberIdentity &identity, const char *state,
                         std::uint64_t incarnation) {
        v1::MemberStatus *status = response.add_members();
        status->set_member(identity.id);
        status->set_zone(identity.zone);
        status->set_state(state);
        status->set_incarnation(incarnation);
    };
    add(view.self, "alive", view.incarnation);
    constexpr std::array kStates{"alive", "suspect", "dead", "left"};
    for (const cluster::Member &member : view.members)
        add(member.identity, kStates.at(static_cast<std::size_t>(member.status)),
            member.incarnation);
    for (const cluster::MemberIdentity &listed : view.unconfirmed)
        add(listed, "listed, not heard from", 0);
    return response;
}

void Daemon::Impl::updateMetrics()
{
    metrics_.setGauge("in_flight", static_cast<double>(dispatcher_->inFlight()));
    metrics_.setGauge("queued", static_cast<double>(dispatcher_->queued()));
    metrics_.setGauge("config_version", static_cast<double>(peers_->configVersion()));
    metrics_.setGauge("platform_reachable", peers_->isPlatformReachable() ? 1 : 0);
    metrics_.setGauge("draining", isDraining_ ? 1 : 0);
    metrics_.setGauge("members", static_cast<double>(peers_->members().members.size() + 1));
    const cluster::PeerTraffic traffic = peers_->traffic();
    metrics_.setGauge("peer_bytes_sent", static_cast<double>(traffic.sentBytes));
    metrics_.setGauge("peer_bytes_received", static_cast<double>(traffic.receivedBytes));
    metrics_.setGauge("peer_messages_refused",
                      static_cast<double>(traffic.refusedDeployment + traffic.refusedVersion
                                          + traffic.refusedMalformed + traffic.refusedSize));
}

} // namespace chicorywick::daemon
