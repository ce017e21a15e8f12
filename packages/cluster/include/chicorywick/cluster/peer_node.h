#pragma once

#include <chicorywick/cluster/config_follower.h>
#include <chicorywick/cluster/ownership.h>
#include <chicorywick/cluster/peer_agent.h>
#include <chicorywick/cluster/peer_transport.h>
#include <chicorywick/platform/instance_list.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace chicorywick::cluster {

/// @brief Settings of a peer node.
struct PeerNodeOptions
{
    /// The id in the platform's instance list.
    std::string id;
    std::string zone;
    PeerTransportOptions transport;
    /// Address that peers connect to. Empty means the listening address.
    std::string advertisedAddress;
    PeerAgentOptions agent;
    ConfigFollowerOptions follower;
    base::Duration listInterval = std::chrono::seconds(2);
    base::Duration settleTime = std::chrono::seconds(2);
};

/// @brief Platform services that a node reads. Absent services are not used.
struct PeerNodePlatform
{
    std::optional<ConfigStore> config;
    std::optional<platform::InstanceList> instances;
};

/// @brief A consistent snapshot of the members.
struct MembersView
{
    MemberIdentity self;
    std::uint64_t incarnation = 0;
    std::vector<Member> members;
    /// Listed by the platform, but not, or no longer, members.
    std::vector<MemberIdentity> unconfirmed;
    /// Time of the platform's instance list, or no value before its first answer.
    std::optional<base::TimePoint> listObservedAt;
};

/// @brief Runs the peer agent over ZeroMQ on one thread and the platform reads on another.
///
/// Callbacks run in order on the peer thread without a lock held. They must not block for long.
class PeerNode
{
public:
    static base::Result<std::unique_ptr<PeerNode>> start(PeerNodeOptions options,
                                                         PeerNodePlatform platform,
                                                         base::Clock clock,
                                                         const PeerCallbacks &callbacks = {});

    /// @brief Stops both threads. The peer thread announces the departure before it ends.
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    const std::string &address() const { return self_.address; }
    MembersView members() const;
    PeerTraffic traffic() const { return transport_->traffic(); }
    Ownership &ownership() { return ownership_; }
    TableRateLimiter &tableRateLimiter() { return rateLimiter_; }
    bool isPlatformReachable() const { return platformReachable_; }

    std::uint64_t configVersion() const;
    std::vector<v1::ConfigItem> configItems() const;
    v1::ConfigDigest configDigest() const;

    /// @brief Sets the peers to contact. The platform's instance list, if used, replaces them.
    void setCandidates(std::vector<MemberIdentity> candidates);

    /// @brief Makes the platform thread read the table without delay, after an accepted change.
    void refreshConfig();

    /// @brief Queries all members for their configuration version. Waits for the replies at most
    /// for the given time.
    v1::ConfigStatusResponse surveyConfig(base::Duration wait);

    void sendLoad(const v1::LoadReport &report);
    void broadcastDrain(const v1::DrainNotice &notice);
    void broadcastBurn(const v1::BurnSummary &summary);

private:
    PeerNode(PeerNodeOptions options, PeerNodePlatform platform, base::Clock clock,
             const PeerCallbacks &callbacks, std::unique_ptr<PeerTransport> transport);

    PeerCallbacks deferCallbacks(const PeerCallbacks &callbacks);
    void runPeers();
    void runPlatform();
    void readInstanceList(base::TimePoint now);
    void post(std::vector<OutgoingMessage> outgoing);
    void send(const std::vector<OutgoingMessage> &outgoing);
    void updateOwnership(base::TimePoint now);
    void runDeferred();
    v1::ConfigStatusResponse statusSince(base::TimePoint start) const;

    PeerNodeOptions options_;
    PeerNodePlatform platform_;
    base::Clock clock_;
    std::unique_ptr<PeerTransport> transport_;
    MemberIdentity self_;
    Ownership ownership_;
    TableRateLimiter rateLimiter_;
    mutable std::mutex mutex_;
    std::vector<std::function<void()>> deferred_;
    PeerAgent agent_;
    std::vector<OutgoingMessage> posted_;
    std::optional<base::TimePoint> listObservedAt_;
    std::mutex platformMutex_;
    std::condition_variable platformWake_;
    bool refreshRequested_ = false;
    std::atomic<bool> platformReachable_ = false;
    std::atomic<bool> stopping_ = false;
    std::thread peerThread_;
    std::thread platformThread_;
};

} // namespace chicorywick::cluster
