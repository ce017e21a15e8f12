#pragma once

#include <chicorywick/cluster/config_follower.h>
#include <chicorywick/cluster/ownership.h>
#include <chicorywick/cluster/peer_agent.h>
#include <chicorywick/platform/memory_platform.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace chicorywick::evidence {

/// @brief Faults of the fake network. Probabilities are per message.
struct NetworkFaults
{
    double loss = 0;
    double duplicate = 0;
    base::Duration minDelay = std::chrono::microseconds(500);
    base::Duration maxDelay = std::chrono::milliseconds(2);
    /// Messages that arrive very late, out of order.
    double late = 0;
    base::Duration lateDelay = std::chrono::seconds(10);
};

/// @brief Settings of the fake network and its daemons.
struct NetworkOptions
{
    std::uint64_t seed = 1;
    cluster::PeerAgentOptions agent;
    cluster::ConfigFollowerOptions follower;
    bool followTable = true;
    base::Duration step = std::chrono::milliseconds(10);
    base::Duration tick = std::chrono::milliseconds(50);
};

/// @brief One daemon's parts of the cluster package, as PeerNode joins them.
struct SimDaemon
{
    cluster::MemberIdentity identity;
    std::unique_ptr<cluster::PeerAgent> agent;
    std::unique_ptr<cluster::Ownership> ownership;
    std::unique_ptr<cluster::TableRateLimiter> pacer;
    std::unique_ptr<cluster::ConfigFollower> follower;
    bool isUp = true;
    base::TimePoint frozenUntil{};
    base::TimePoint nextTick{};
    base::TimePoint nextFollow{};
    base::TimePoint startedAt{};
    std::vector<v1::PeerMessage> backlog;
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::size_t largestMessage = 0;
};

/// @brief Daemons over a fake network and the in-memory platform, in virtual time on one thread.
class PeerNetwork
{
public:
    using Cut = std::function<bool(const SimDaemon &from, const SimDaemon &to)>;
    using ConfigHook = std::function<void(const SimDaemon &, const cluster::ConfigApplier &)>;

    explicit PeerNetwork(NetworkOptions options)
        : options_(std::move(options))
        , rng_(options_.seed)
        , time_(std::make_shared<base::ManualTime>())
        , platform_(std::make_shared<platform::MemoryPlatform>(platform::MemoryPlatformOptions{
                  .clock = base::Clock(time_), .seed = options_.seed + 1}))
    {}

    base::TimePoint now() const { return time_->now(); }
    base::Clock clock() const { return base::Clock(time_); }
    platform::MemoryPlatform &platform() { return *platform_; }
    base::Rng &rng() { return rng_; }
    NetworkFaults &faults() { return faults_; }
    void setCut(Cut cut) { cut_ = std::move(cut); }
    void setConfigHook(ConfigHook hook) { configHook_ = std::move(hook); }
    std::map<std::string, SimDaemon> &daemons() { return daemons_; }
    SimDaemon &daemon(const std::string &id) { return daemons_.at(id); }
    cluster::ConfigStore store(const std::string &zone) const
    {
        return {platform::Table(platform::MemoryAccess{platform_, zone}), clock()};
    }

    /// @brief Starts a process, also in place of one with the same id.
    SimDaemon &start(const std::string &id, const std::string &zone)
    {
        SimDaemon &daemon = daemons_[id];
        const auto counters = daemon.sentMessages;
        daemon = SimDaemon{};
        daemon.sentMessages = counters;
        daemon.identity = {id, "addr-" + id, zone};
        daemon.startedAt = now();
        cluster::PeerCallbacks callbacks;
        callbacks.onConfig = [this, id](const cluster::ConfigApplier &config) {
            if (configHook_)
                configHook_(daemons_.at(id), config);
        };
        daemon.agent = std::make_unique<cluster::PeerAgent>(
                daemon.identity, static_cast<std::uint64_t>(base::toMillis(now())), options_.agent,
                rng_(), callbacks);
        daemon.ownership = std::make_unique<cluster::Ownership>(id);
        daemon.pacer = std::make_unique<cluster::TableRateLimiter>(
                cluster::TableRateLimiterOptions{}, rng_());
        if (options_.followTable)
            follow(daemon);
        daemon.nextTick = now() + base::Duration(static_cast<std::int64_t>(rng_.below(50'000)));
        return daemon;
    }

    void kill(const std::string &id) { daemons_.at(id).isUp = false; }
    void leave(const std::string &id)
    {
        SimDaemon &daemon = daemons_.at(id);
        send(daemon, daemon.agent->leave(now()));
        daemon.isUp = false;
    }
    void freeze(const std::string &id, base::Duration pause)
    {
        daemons_.at(id).frozenUntil = now() + pause;
    }

    /// @brief Gives every daemon the list of those that run, as the platform's list would.
    void publishList(const std::vector<std::string> &ids)
    {
        std::vector<cluster::MemberIdentity> listed;
        for (const std::string &id : ids)
            listed.push_back(daemons_.at(id).identity);
        for (auto &[id, daemon] : daemons_) {
            if (daemon.isUp)
                daemon.agent->membership().setCandidates(listed);
        }
    }
    void publishList()
    {
        std::vector<std::string> ids;
        for (const auto &[id, daemon] : daemons_) {
            if (daemon.isUp)
                ids.push_back(id);
        }
        publishList(ids);
    }

    bool isRunning(const SimDaemon &daemon) const
    {
        return daemon.isUp && daemon.frozenUntil <= now();
    }

    void send(SimDaemon &from, const std::vector<cluster::OutgoingMessage> &outgoing)
    {
        for (const cluster::OutgoingMessage &message : outgoing)
            sendOne(from, message);
    }

    /// @brief Advances virtual time; the hook runs after every step and ends the run if it returns
    /// false.
    bool run(base::Duration time, const std::function<bool()> &afterStep = {})
    {
        const base::TimePoint end = now() + time;
        while (now() < end) {
            time_->advance(options_.step);
            deliver();
            for (auto &[id, daemon] : daemons_)
                runDaemon(daemon);
            if (afterStep && !afterStep())
                return false;
        }
        return true;
    }

    /// @brief Runs until the condition holds; nothing if it does not within the bound.
    std::optional<base::Duration> runUntil(base::Duration bound,
                                           const std::function<bool()> &condition)
    {
        const base::TimePoint start = now();
        if (condition())
            return base::Duration::zero();
        if (run(bound, [&] { return !condition(); }))
            return std::nullopt;
        return now() - start;
    }

private:
    struct Delivery
    {
        base::TimePoint at;
        std::uint64_t order = 0;
        std::string to;
        v1::PeerMessage message;

        bool operator<(const Delivery &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void follow(SimDaemon &daemon)
    {
        const std::string id = daemon.identity.id;
        cluster::ConfigFollowerCallbacks ports{
                .version = [this, id] { return daemons_.at(id).agent->config().version(); },
                .aliveMembers = [this,
                                 id] { return daemons_.at(id).agent->membership().alive().size(); },
                .apply =
                        [this, id](std::uint64_t, const v1::ConfigDelta &delta) {
                            daemons_.at(id).agent->applyFromTable(delta, now());
                        }};
        daemon.follower = std::make_unique<cluster::ConfigFollower>(store(daemon.identity.zone),
                                                                    *daemon.pacer, std::move(ports),
                                                                    options_.follower, rng_());
    }

    void sendOne(SimDaemon &from, const cluster::OutgoingMessage &outgoing)
    {
        const std::size_t size = outgoing.message.ByteSizeLong();
        ++from.sentMessages;
        from.sentBytes += size;
        from.largestMessage = std::max(from.largestMessage, size);
        constexpr std::string_view kPrefix = "addr-";
        const std::string to = outgoing.address.substr(kPrefix.size());
        const auto target = daemons_.find(to);
        if (target == daemons_.end() || (cut_ && cut_(from, target->second))
            || rng_.chance(faults_.loss))
            return;
        const int copies = rng_.chance(faults_.duplicate) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            queue_.push({now() + delay(), ++order_, to, outgoing.message});
    }

    base::Duration delay()
    {
        const auto range =
                static_cast<std::uint64_t>((faults_.maxDelay - faults_.minDelay).count());
        base::Duration drawn =
                faults_.minDelay + base::Duration(static_cast<std::int64_t>(rng_.below(range + 1)));
        if (rng_.chance(faults_.late))
            drawn += base::Duration(static_cast<std::int64_t>(
                    rng_.below(static_cast<std::uint64_t>(faults_.lateDelay.count()))));
        return drawn;
    }

    void deliver()
    {
        while (!queue_.empty() && queue_.top().at <= now()) {
            const Delivery delivery = queue_.top();
            queue_.pop();
            SimDaemon &daemon = daemons_.at(delivery.to);
            if (!daemon.isUp)
                continue;
            constexpr std::size_t kMaxBacklog = 2000;
            if (daemon.frozenUntil > now()) {
                if (daemon.backlog.size() < kMaxBacklog)
                    daemon.backlog.push_back(delivery.message);
                continue;
            }
            receive(daemon, delivery.message);
        }
    }

    void receive(SimDaemon &daemon, const v1::PeerMessage &message)
    {
        ++daemon.receivedMessages;
        daemon.receivedBytes += message.ByteSizeLong();
        send(daemon, daemon.agent->receive(message, now()));
    }

    void runDaemon(SimDaemon &daemon)
    {
        if (!isRunning(daemon))
            return;
        for (const v1::PeerMessage &message : std::exchange(daemon.backlog, {}))
            receive(daemon, message);
        if (daemon.follower && now() >= daemon.nextFollow)
            daemon.nextFollow = daemon.follower->step(now());
        if (now() < daemon.nextTick)
            return;
        daemon.nextTick = now() + options_.tick;
        send(daemon, daemon.agent->tick(now()));
        std::vector<cluster::OwnerCandidate> candidates;
        for (const cluster::MemberIdentity &member : daemon.agent->membership().alive())
            candidates.push_back({member.id, member.zone});
        daemon.pacer->setMembers(candidates.size());
        if (daemon.agent->membership().wasPaused())
            daemon.ownership->restartSettling(now());
        daemon.ownership->setMembers(std::move(candidates), now());
    }

    NetworkOptions options_;
    base::Rng rng_;
    std::shared_ptr<base::ManualTime> time_;
    std::shared_ptr<platform::MemoryPlatform> platform_;
    NetworkFaults faults_;
    Cut cut_;
    ConfigHook configHook_;
    std::map<std::string, SimDaemon> daemons_;
    std::priority_queue<Delivery> queue_;
    std::uint64_t order_ = 0;
};

} // namespace chicorywick::evidence
