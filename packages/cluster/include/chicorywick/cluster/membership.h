#pragma once

#include <chicorywick/base/rng.h>
#include <chicorywick/cluster/member.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace chicorywick::cluster {

/// @brief Timing and limits of the membership protocol.
struct MembershipOptions
{
    /// Each period probes one member of the local zone and one over each link to another zone.
    base::Duration period = std::chrono::seconds(1);
    /// An unanswered probe is repeated after this time, directly and through other members.
    base::Duration directTimeout = std::chrono::milliseconds(300);
    std::size_t indirectProbes = 3;
    /// Time for a suspected member to refute. A process pause shorter than period plus this time
    /// does not mark the member as dead.
    base::Duration suspicionTime = std::chrono::seconds(4);
    /// Members per zone that maintain links to each other zone.
    std::size_t linksPerZone = 2;
    /// Maximum number of links per member.
    std::size_t maxLinks = 6;
    /// Interval between gossip rounds while updates are pending.
    base::Duration gossipInterval = std::chrono::milliseconds(200);
    std::size_t gossipFanout = 2;
    std::size_t maxUpdatesPerMessage = 12;
    /// Minimum interval between two syncs of the full member list with a peer.
    base::Duration syncInterval = std::chrono::seconds(2);
    /// Dead and departed members are removed after this time.
    base::Duration goneMemberRetention = std::chrono::minutes(30);
    std::size_t maxMembers = 1024;
};

/// @brief SWIM-style failure detection and dissemination. A state machine without I/O.
///
/// The caller passes in received messages and the time, and sends the returned messages. Messages
/// may be lost, delayed, duplicated or reordered.
class Membership
{
public:
    /// @brief The incarnation must increase when a process restarts with the same id. The start
    /// time in milliseconds satisfies this.
    Membership(MemberIdentity self, std::uint64_t incarnation, MembershipOptions options,
               std::uint64_t seed);

    /// @brief Sets the instances of the platform's list, which may be out of date. They are probed
    /// and become members when they answer.
    void setCandidates(std::vector<MemberIdentity> candidates);

    std::vector<OutgoingMessage> tick(base::TimePoint now);
    std::vector<OutgoingMessage> receive(const v1::PeerMessage &message, base::TimePoint now);

    /// @brief Announces that this member leaves. It does not answer probes afterwards.
    std::vector<OutgoingMessage> leave(base::TimePoint now);

    /// @brief Sets the sender fields and the members digest, and attaches pending updates.
    void fillEnvelope(v1::PeerMessage &message, const std::string &to);

    const MemberIdentity &self() const { return self_; }
    std::uint64_t incarnation() const { return incarnation_; }
    bool hasLeft() const { return hasLeft_; }

    /// @brief All members except this one, including dead and departed ones.
    const std::map<std::string, Member> &members() const { return members_; }

    /// @brief Candidates that are not, or no longer, members.
    std::vector<MemberIdentity> unconfirmedCandidates() const;

    /// @brief Alive and suspected members, including this one until it leaves.
    std::vector<MemberIdentity> alive() const;

    /// @brief Random gossip targets: up to count members of the local zone and up to count links.
    std::vector<MemberIdentity> pickTargets(std::size_t count);

    /// @brief Random members of the zones that this one maintains links to, one per zone.
    std::vector<MemberIdentity> linkTargets();

    /// @brief True if the last tick was so late that the process must have been paused.
    bool wasPaused() const { return wasPaused_; }

    std::vector<MemberEvent> takeEvents();

private:
    using Digests = std::array<std::uint64_t, 16>;

    struct Probe
    {
        MemberIdentity target;
        std::uint64_t sequence = 0;
        base::TimePoint startedAt;
        bool isRepeated = false;
    };

    struct RelayedProbe
    {
        std::string requesterAddress;
        std::uint64_t sequence = 0;
        base::TimePoint startedAt;
    };

    struct PendingUpdate
    {
        std::string member;
        int sendsLeft = 0;
    };

    // Failure detection.
    void startProbes(base::TimePoint now, std::vector<OutgoingMessage> &out);
    void startProbe(const MemberIdentity &target, base::TimePoint now,
                    std::vector<OutgoingMessage> &out);
    void repeatProbes(base::TimePoint now, std::vector<OutgoingMessage> &out);
    void expireProbes(base::TimePoint now, std::vector<OutgoingMessage> &out);
    void probeUnreachable(std::vector<OutgoingMessage> &out);
    void expireSuspicions(base::TimePoint now);
    void suspect(const std::string &id, base::TimePoint now);
    std::optional<MemberIdentity> nextZoneTarget();
    std::set<std::string> otherZones() const;
    std::vector<std::string> linkedZones() const;
    void handlePause(base::TimePoint now);
    void removeExpiredMembers(base::TimePoint now);

    // Messages.
    void onPing(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out);
    void onAck(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out);
    void onPingRequest(const v1::PeerMessage &message, base::TimePoint now,
                       std::vector<OutgoingMessage> &out);
    void onSync(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out);
    void recordSender(const v1::PeerMessage &message, base::TimePoint now);
    void maybeSync(const v1::PeerMessage &message, base::TimePoint now,
                   std::vector<OutgoingMessage> &out);

    // Dissemination.
    void merge(const v1::MemberUpdate &update, base::TimePoint now);
    void refute(const v1::MemberUpdate &update);
    void setStatus(Member &member, MemberStatus status, std::uint64_t incarnation,
                   base::TimePoint now);
    void queueUpdate(const std::string &id);
    void gossip(base::TimePoint now, std::vector<OutgoingMessage> &out);
    void attachPendingUpdates(v1::PeerMessage &message, const std::string &to);
    void attachUpdate(v1::PeerMessage &message, const std::string &id) const;
    Digests digests() const;
    std::uint64_t digest() const;
    OutgoingMessage makeMessage(const std::string &address, const std::string &to,
                                v1::PeerMessage message = {});

    MemberIdentity self_;
    std::uint64_t incarnation_;
    MembershipOptions options_;
    base::Rng rng_;
    std::map<std::string, Member> members_;
    std::map<std::string, MemberIdentity> candidates_;
    std::vector<Probe> probes_;
    std::map<std::uint64_t, RelayedProbe> relayed_;
    std::vector<PendingUpdate> pendingUpdates_;
    std::vector<std::string> probeOrder_;
    std::vector<MemberEvent> events_;
    std::uint64_t nextSequence_;
    base::TimePoint lastTick_{};
    base::TimePoint nextPeriod_{};
    base::TimePoint nextGossip_{};
    base::TimePoint nextSync_{};
    bool hasLeft_ = false;
    bool wasPaused_ = false;
};

} // namespace chicorywick::cluster
