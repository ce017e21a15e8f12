#include <chicorywick/base/hash.h>
#include <chicorywick/base/log_event.h>
#include <chicorywick/cluster/peer_node.h>

#include <algorithm>

namespace chicorywick::cluster {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(50);
constexpr base::Duration kOwnershipInterval = std::chrono::milliseconds(200);
constexpr std::size_t kMaxPosted = 4096;

std::uint64_t seedFor(const std::string &id, base::TimePoint now)
{
    return base::hash64(id, static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

void logMember(const MemberEvent &event)
{
    base::Event logged = base::Event::MemberJoined;
    if (event.status == MemberStatus::Suspect)
        logged = base::Event::MemberSuspected;
    else if (event.status == MemberStatus::Dead)
        logged = base::Event::MemberDead;
    else if (event.status == MemberStatus::Left)
        return;
    base::logEvent(logged, {{"member", event.identity.id},
                            {"zone", event.identity.zone},
                            {"address", event.identity.address},
                            {"incarnation", std::to_string(event.incarnation)}});
}

void logConfig(const ConfigApplier &config)
{
    base::logEvent(base::Event::ConfigApplied, {{"version", std::to_string(config.version())}});
    if (config.isFromPeers() && !config.hasReadTable())
        base::logEvent(base::Event::ConfigFromPeers,
                       {{"version", std::to_string(config.version())}});
}

} // namespace

base::Result<std::unique_ptr<PeerNode>> PeerNode::start(PeerNodeOptions options,
                                                        PeerNodePlatform platform,
                                                        base::Clock clock,
                                                        const PeerCallbacks &callbacks)
{
    options.transport.deployment = options.agent.deployment;
    BOOST_OUTCOME_TRY(transport, PeerTransport::open(options.transport));
    std::unique_ptr<PeerNode> node(new PeerNode(std::move(options), std::move(platform),
                                                std::move(clock), callbacks, std::move(transport)));
    node->peerThread_ = std::thread([raw = node.get()] { raw->runPeers(); });
    node->platformThread_ = std::thread([raw = node.get()] { raw->runPlatform(); });
    return node;
}

PeerNode::PeerNode(PeerNodeOptions options, PeerNodePlatform platform, base::Clock clock,
                   const PeerCallbacks &callbacks, std::unique_ptr<PeerTransport> transport)
    : options_(std::move(options))
    , platform_(std::move(platform))
    , clock_(std::move(clock))
    , transport_(std::move(transport))
    , self_{options_.id,
            options_.advertisedAddress.empty() ? transport_->address() : options_.advertisedAddress,
            options_.zone}
    , ownership_(options_.id, options_.settleTime)
    , rateLimiter_(TableRateLimiterOptions{}, seedFor(options_.id, clock_.now()))
    , agent_(self_, static_cast<std::uint64_t>(base::toMillis(clock_.now())), options_.agent,
             seedFor(options_.id, clock_.now()), deferCallbacks(callbacks))
{}

PeerNode::~PeerNode()
{
    stopping_ = true;
    transport_->wake();
    {
        const std::lock_guard lock(platformMutex_);
        platformWake_.notify_all();
    }
    if (peerThread_.joinable())
        peerThread_.join();
    if (platformThread_.joinable())
        platformThread_.join();
}

// The agent invokes callbacks with the lock held. They are queued and run after its release, so
// that they may call the node. All run on one thread, because two threads could deliver a higher
// version before a lower one.
PeerCallbacks PeerNode::deferCallbacks(const PeerCallbacks &callbacks)
{
    PeerCallbacks wrapped;
    if (callbacks.onLoad)
        wrapped.onLoad = [this, call = callbacks.onLoad](const MemberIdentity &from,
                                                         const v1::LoadReport &report) {
            deferred_.emplace_back([=] { call(from, report); });
        };
    if (callbacks.onDrain)
        wrapped.onDrain = [this, call = callbacks.onDrain](const v1::DrainNotice &notice) {
            deferred_.emplace_back([=] { call(notice); });
        };
    if (callbacks.onBurn)
        wrapped.onBurn = [this, call = callbacks.onBurn](const v1::BurnSummary &summary) {
            deferred_.emplace_back([=] { call(summary); });
        };
    wrapped.onConfig = [this, call = callbacks.onConfig](const ConfigApplier &config) {
        deferred_.emplace_back([call, config] {
            logConfig(config);
            if (call)
                call(config);
        });
    };
    wrapped.onMember = [this, call = callbacks.onMember](const MemberEvent &event) {
        deferred_.emplace_back([=] {
            logMember(event);
            if (call)
                call(event);
        });
    };
    return wrapped;
}

void PeerNode::runDeferred()
{
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard lock(mutex_);
        calls.swap(deferred_);
    }
    for (const auto &call : calls)
        call();
}

void PeerNode::send(const std::vector<OutgoingMessage> &outgoing)
{
    for (const OutgoingMessage &message : outgoing)
        transport_->send(message);
}

void PeerNode::post(std::vector<OutgoingMessage> outgoing)
{
    {
        const std::lock_guard lock(mutex_);
        const std::size_t room = kMaxPosted - std::min(kMaxPosted, posted_.size());
        const std::size_t count = std::min(room, outgoing.size());
        std::move(outgoing.begin(), outgoing.begin() + static_cast<std::ptrdiff_t>(count),
                  std::back_inserter(posted_));
    }
    transport_->wake();
}

void PeerNode::updateOwnership(base::TimePoint now)
{
    std::vector<OwnerCandidate> candidates;
    bool wasPaused = false;
    {
        const std::lock_guard lock(mutex_);
        for (const MemberIdentity &member : agent_.membership().alive())
            candidates.push_back({member.id, member.zone});
        wasPaused = agent_.membership().wasPaused();
    }
    rateLimiter_.setMembers(candidates.size());
    if (wasPaused)
        ownership_.restartSettling(now);
    ownership_.setMembers(std::move(candidates), now);
}

void PeerNode::runPeers()
{
    base::TimePoint nextTick = clock_.now();
    base::TimePoint nextOwnership = nextTick;
    while (!stopping_) {
        const base::Duration wait = std::max(base::Duration::zero(), nextTick - clock_.now());
        transport_->poll(std::min(wait, kTickInterval), [this](const v1::PeerMessage &message) {
            std::vector<OutgoingMessage> out;
            {
                const std::lock_guard lock(mutex_);
                out = agent_.receive(message, clock_.now());
            }
            send(out);
        });
        const base::TimePoint now = clock_.now();
        std::vector<OutgoingMessage> out;
        {
            const std::lock_guard lock(mutex_);
            out.swap(posted_);
            if (now >= nextTick) {
                nextTick = now + kTickInterval;
                std::vector<OutgoingMessage> ticked = agent_.tick(now);
                std::move(ticked.begin(), ticked.end(), std::back_inserter(out));
            }
        }
        send(out);
        if (now >= nextOwnership) {
            nextOwnership = now + kOwnershipInterval;
            updateOwnership(now);
        }
        runDeferred();
    }
    const std::lock_guard lock(mutex_);
    send(agent_.leave(clock_.now()));
}

void PeerNode::readInstanceList(base::TimePoint now)
{
    const auto listing = platform_.instances->list();
    if (!listing) {
        base::logEvent(base::Event::PlatformUnreachable,
                       {{"service", "instance-list"}, {"reason", listing.error().message}});
        return;
    }
    std::vector<MemberIdentity> candidates;
    for (const platform::ListedInstance &listed : listing.value().instances) {
        if (listed.kind == platform::InstanceKind::Entry && !listed.leaving)
            candidates.push_back({listed.id, listed.address, listed.zone});
    }
    const std::lock_guard lock(mutex_);
    listObservedAt_ = std::min(now, listing.value().observedAt);
    agent_.membership().setCandidates(std::move(candidates));
}

void PeerNode::runPlatform()
{
    std::optional<ConfigFollower> follower;
    if (platform_.config) {
        ConfigFollowerCallbacks followerCallbacks{
                .version = [this] { return configVersion(); },
                .aliveMembers =
                        [this] {
                            const std::lock_guard lock(mutex_);
                            return agent_.membership().alive().size();
                        },
                .apply =
                        [this](std::uint64_t, const v1::ConfigDelta &delta) {
                            const std::lock_guard lock(mutex_);
                            agent_.applyFromTable(delta, clock_.now());
                        }};
        follower.emplace(*platform_.config, rateLimiter_, std::move(followerCallbacks),
                         options_.follower, seedFor(self_.id, clock_.now()));
    }
    base::TimePoint nextList = clock_.now();
    while (!stopping_) {
        const base::TimePoint now = clock_.now();
        base::TimePoint next = now + std::chrono::seconds(1);
        if (platform_.instances && now >= nextList) {
            readInstanceList(now);
            nextList = now + options_.listInterval;
        }
        if (follower) {
            bool wanted = false;
            {
                const std::lock_guard lock(platformMutex_);
                wanted = std::exchange(refreshRequested_, false);
            }
            next = wanted ? follower->stepNow(now) : follower->step(now);
            platformReachable_ = follower->isPlatformReachable();
        }
        // Wakes the peer thread, which runs the callbacks that the reads have queued.
        transport_->wake();
        next = std::min(next, nextList);
        std::unique_lock lock(platformMutex_);
        platformWake_.wait_for(lock, std::max(next - clock_.now(), base::Duration(1000)),
                               [this] { return stopping_ || refreshRequested_; });
    }
}

void PeerNode::setCandidates(std::vector<MemberIdentity> candidates)
{
    const std::lock_guard lock(mutex_);
    agent_.membership().setCandidates(std::move(candidates));
}

void PeerNode::refreshConfig()
{
    const std::lock_guard lock(platformMutex_);
    refreshRequested_ = true;
    platformWake_.notify_all();
}

MembersView PeerNode::members() const
{
    const std::lock_guard lock(mutex_);
    MembersView view;
    view.self = self_;
    view.incarnation = agent_.membership().incarnation();
    for (const auto &[id, member] : agent_.membership().members())
        view.members.push_back(member);
    view.unconfirmed = agent_.membership().unconfirmedCandidates();
    view.listObservedAt = listObservedAt_;
    return view;
}

std::uint64_t PeerNode::configVersion() const
{
    const std::lock_guard lock(mutex_);
    return agent_.config().version();
}

std::vector<v1::ConfigItem> PeerNode::configItems() const
{
    const std::lock_guard lock(mutex_);
    return agent_.config().items();
}

v1::ConfigDigest PeerNode::configDigest() const
{
    const std::lock_guard lock(mutex_);
    return agent_.config().digest();
}

void PeerNode::sendLoad(const v1::LoadReport &report)
{
    std::vector<OutgoingMessage> out;
    {
        const std::lock_guard lock(mutex_);
        out = agent_.sendLoad(report);
    }
    post(std::move(out));
}

void PeerNode::broadcastDrain(const v1::DrainNotice &notice)
{
    std::vector<OutgoingMessage> out;
    {
        const std::lock_guard lock(mutex_);
        out = agent_.broadcast(notice);
    }
    post(std::move(out));
}

void PeerNode::broadcastBurn(const v1::BurnSummary &summary)
{
    std::vector<OutgoingMessage> out;
    {
        const std::lock_guard lock(mutex_);
        out = agent_.broadcast(summary);
    }
    post(std::move(out));
}

} // namespace chicorywick::cluster
