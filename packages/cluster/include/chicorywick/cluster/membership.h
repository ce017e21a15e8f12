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

/// @brief Times and bounds of the membership protocol.
struct MembershipOptions
{
    /// Each period one member of the own zone is probed, and one over each link to another zone.
    base::Duration period = std::chrono::seconds(1);
    /// Without an answer after this time the probe is repeated through other members.
    base::Duration directTimeout = std::chrono::milliseconds(300);
    std::size_t indirectProbes = 3;
    /// Time in which a suspected member can refute. A pause below period plus this is survived.
    base::Duration suspicionTime = std::chrono::seconds(4);
    /// Members per zone that keep links to one other zone.
    std::size_t linksPerZone = 2;
    /// Links that one member keeps at most.
    std::size_t maxLinks = 6;
    /// PendingUpdate is passed on this often while there is any.
    base::Duration gossipInterval = std::chrono::milliseconds(200);
    std::size_t gossipFanout = 2;
    std::size_t maxUpdatesPerMessage = 12;
    /// Shortest time between two comparisons of the whole member list with a peer.
    base::Duration syncInterval = std::chrono::seconds(2);
    /// Dead and departed members are forgotten after this time.
    base::Duration goneMemberRetention = std::chrono::minutes(30);
    std::size_t maxMembers = 1024;
};

/// @brief SWIM-like failure detection and dissemination; a pure state machine.
///
/// The caller passes messages and time in and sends the messages that come out. Any message may be
/// lost, late, repeated or out of order.
class Membership
{
public:
    /// @brief The incarnation must grow when a process with the same id starts again; the time in
    /// milliseconds serves.
    Membership(MemberIdentity self, std::uint64_t incarnation, MembershipOptions options,
               std::uint64_t seed);

    /// @brief Sets the addresses to try that the platform's lagging list names. They are probed and
    /// become members when they answer.
    void setCandidates(std::vector<MemberIdentity> candidates);

    std::vector<OutgoingMessage> tick(base::TimePoint now);
    std::vector<OutgoingMessage> receive(const v1::PeerMessage &message, base::TimePoint now);

    /// @brief Announces that this member leaves; it answers no more probes.
    std::vector<OutgoingMessage> leave(base::TimePoint now);

    /// @brief Fills the sender, digest and news into a message to a member.
    void fillEnvelope(v1::PeerMessage &message, const std::string &to);

    const MemberIdentity &self() const { return self_; }
    std::uint64_t incarnation() const { return incarnation_; }
    bool hasLeft() const { return hasLeft_; }

    /// @brief All known members except this one, also dead and departed ones.
    const std::map<std::string, Member> &members() const { return members_; }

    /// @brief Candidates of the list that never answered.
    std::vector<MemberIdentity> unconfirmedCandidates() const;

    /// @brief Alive and suspected members and this one.
    std::vector<MemberIdentity> alive() const;

    /// @brief The members that news goes to first: some of the own zone and the links.
    std::vector<MemberIdentity> pickTargets(std::size_t count);

    /// @brief Members of other zones that this one keeps links to, one per zone.
    std::vector<MemberIdentity> linkTargets();

    /// @brief True if the last tick came so late that this process must have been paused.
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
