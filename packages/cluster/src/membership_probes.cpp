#include <chicorywick/base/hash.h>
#include <chicorywick/cluster/membership.h>

#include <algorithm>

namespace chicorywick::cluster {

namespace {

// On average one dead member is probed every second period, to detect a healed network partition.
constexpr double kDeadProbeProbability = 0.5;
constexpr std::size_t kMaxRelayedProbes = 256;
// Unconfirmed candidates probed per period.
constexpr std::size_t kCandidatesPerPeriod = 2;

bool isUp(const Member &member)
{
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

template <typename Item>
void shuffle(std::vector<Item> &items, base::Rng &rng)
{
    for (std::size_t i = items.size(); i > 1; --i)
        std::swap(items[i - 1], items[rng.below(i)]);
}

} // namespace

// Round robin over a shuffled list limits the time between two probes of a member.
std::optional<MemberIdentity> Membership::nextZoneTarget()
{
    for (int refill = 0; refill < 2; ++refill) {
        while (!probeOrder_.empty()) {
            const auto found = members_.find(probeOrder_.back());
            probeOrder_.pop_back();
            if (found != members_.end() && isUp(found->second)
                && found->second.identity.zone == self_.zone)
                return found->second.identity;
        }
        for (const auto &[id, member] : members_) {
            if (isUp(member) && member.identity.zone == self_.zone)
                probeOrder_.push_back(id);
        }
        shuffle(probeOrder_, rng_);
    }
    return std::nullopt;
}

std::set<std::string> Membership::otherZones() const
{
    std::set<std::string> zones;
    for (const auto &[id, member] : members_) {
        if (isUp(member) && member.identity.zone != self_.zone)
            zones.insert(member.identity.zone);
    }
    return zones;
}

// The members of a zone with the highest hash scores for the other zone maintain the links to it,
// so members select them without messages.
std::vector<std::string> Membership::linkedZones() const
{
    std::vector<std::string> linked;
    for (const std::string &zone : otherZones()) {
        const std::string key = self_.zone + ">" + zone;
        const std::uint64_t own = base::hash64(key, base::hash64(self_.id));
        std::size_t higherScores = 0;
        for (const auto &[id, member] : members_) {
            if (member.status == MemberStatus::Alive && member.identity.zone == self_.zone
                && base::hash64(key, base::hash64(id)) > own)
                ++higherScores;
        }
        if (higherScores < options_.linksPerZone)
            linked.push_back(zone);
    }
    return linked;
}

std::vector<MemberIdentity> Membership::linkTargets()
{
    std::vector<std::string> zones = linkedZones();
    shuffle(zones, rng_);
    if (zones.size() > options_.maxLinks)
        zones.resize(options_.maxLinks);
    std::vector<MemberIdentity> targets;
    for (const std::string &zone : zones) {
        std::vector<const Member *> zoneMembers;
        for (const auto &[id, member] : members_) {
            if (isUp(member) && member.identity.zone == zone)
                zoneMembers.push_back(&member);
        }
        if (!zoneMembers.empty())
            targets.push_back(zoneMembers[rng_.below(zoneMembers.size())]->identity);
    }
    return targets;
}

std::vector<MemberIdentity> Membership::pickTargets(std::size_t count)
{
    std::vector<MemberIdentity> local;
    for (const auto &[id, member] : members_) {
        if (isUp(member) && member.identity.zone == self_.zone)
            local.push_back(member.identity);
    }
    shuffle(local, rng_);
    if (local.size() > count)
        local.resize(count);
    const std::vector<MemberIdentity> links = linkTargets();
    local.insert(local.end(), links.begin(),
                 links.begin() + static_cast<std::ptrdiff_t>(std::min(count, links.size())));
    return local;
}

void Membership::probeUnreachable(std::vector<OutgoingMessage> &out)
{
    std::vector<MemberIdentity> deadMembers;
    for (const auto &[id, member] : members_) {
        if (member.status == MemberStatus::Dead)
            deadMembers.push_back(member.identity);
    }
    if (!deadMembers.empty() && rng_.chance(kDeadProbeProbability)) {
        const MemberIdentity &target = deadMembers[rng_.below(deadMembers.size())];
        v1::PeerMessage ping;
        ping.mutable_ping()->set_sequence(nextSequence_++);
        ping.mutable_ping()->set_target(target.id);
        out.push_back(makeMessage(target.address, target.id, std::move(ping)));
    }
    std::vector<MemberIdentity> unconfirmedTargets = unconfirmedCandidates();
    shuffle(unconfirmedTargets, rng_);
    for (std::size_t i = 0; i < std::min(unconfirmedTargets.size(), kCandidatesPerPeriod); ++i) {
        v1::PeerMessage ping;
        ping.mutable_ping()->set_sequence(nextSequence_++);
        ping.mutable_ping()->set_target(unconfirmedTargets[i].id);
        out.push_back(makeMessage(unconfirmedTargets[i].address, unconfirmedTargets[i].id,
                                  std::move(ping)));
    }
}

void Membership::startProbe(const MemberIdentity &target, base::TimePoint now,
                            std::vector<OutgoingMessage> &out)
{
    const std::uint64_t sequence = nextSequence_++;
    probes_.push_back({target, sequence, now});
    v1::PeerMessage ping;
    ping.mutable_ping()->set_sequence(sequence);
    ping.mutable_ping()->set_target(target.id);
    out.push_back(makeMessage(target.address, target.id, std::move(ping)));
}

void Membership::startProbes(base::TimePoint now, std::vector<OutgoingMessage> &out)
{
    if (const auto target = nextZoneTarget())
        startProbe(*target, now, out);
    for (const MemberIdentity &target : linkTargets())
        startProbe(target, now, out);
    probeUnreachable(out);
}

void Membership::repeatProbes(base::TimePoint now, std::vector<OutgoingMessage> &out)
{
    for (Probe &probe : probes_) {
        if (probe.isRepeated || now - probe.startedAt < options_.directTimeout)
            continue;
        probe.isRepeated = true;
        v1::PeerMessage ping;
        ping.mutable_ping()->set_sequence(probe.sequence);
        ping.mutable_ping()->set_target(probe.target.id);
        out.push_back(makeMessage(probe.target.address, probe.target.id, std::move(ping)));
        v1::PeerMessage request;
        request.mutable_ping_request()->set_sequence(probe.sequence);
        request.mutable_ping_request()->set_target(probe.target.id);
        request.mutable_ping_request()->set_target_address(probe.target.address);
        for (const MemberIdentity &relay : pickTargets(options_.indirectProbes)) {
            if (relay.id != probe.target.id)
                out.push_back(makeMessage(relay.address, relay.id, request));
        }
    }
}

void Membership::expireProbes(base::TimePoint now, std::vector<OutgoingMessage> &out)
{
    for (const Probe &probe : std::exchange(probes_, {})) {
        const auto found = members_.find(probe.target.id);
        // The probed process was replaced meanwhile. Its probe is no evidence about the new
        // process.
        if (found == members_.end() || found->second.identity != probe.target)
            continue;
        suspect(probe.target.id, now);
        v1::PeerMessage notice;
        out.push_back(makeMessage(probe.target.address, probe.target.id, std::move(notice)));
    }
    std::erase_if(relayed_, [&](const auto &entry) {
        return now - entry.second.startedAt > options_.period;
    });
}

void Membership::suspect(const std::string &id, base::TimePoint now)
{
    Member &member = members_.at(id);
    if (member.status == MemberStatus::Alive)
        setStatus(member, MemberStatus::Suspect, member.incarnation, now);
}

void Membership::expireSuspicions(base::TimePoint now)
{
    for (auto &[id, member] : members_) {
        if (member.status == MemberStatus::Suspect && now - member.since >= options_.suspicionTime)
            setStatus(member, MemberStatus::Dead, member.incarnation, now);
    }
}

void Membership::recordSender(const v1::PeerMessage &message, base::TimePoint now)
{
    v1::MemberUpdate update;
    update.set_id(message.sender());
    update.set_address(message.sender_address());
    update.set_zone(message.sender_zone());
    update.set_incarnation(message.incarnation());
    update.set_state(v1::MEMBER_STATE_ALIVE);
    merge(update, now);
    const auto found = members_.find(message.sender());
    if (found == members_.end() || message.incarnation() < found->second.incarnation)
        return;
    found->second.lastMessageAt = now;
    // The member is alive, but only its own refutation clears the suspicion. The time to refute
    // restarts, because the suspicion may not have reached the member yet.
    if (found->second.status == MemberStatus::Suspect)
        found->second.since = now;
}

std::vector<OutgoingMessage> Membership::receive(const v1::PeerMessage &message,
                                                 base::TimePoint now)
{
    std::vector<OutgoingMessage> out;
    if (message.sender().empty() || message.sender() == self_.id)
        return out;
    for (const v1::MemberUpdate &update : message.updates())
        merge(update, now);
    recordSender(message, now);
    if (hasLeft_)
        return out;
    if (message.has_ping())
        onPing(message, out);
    else if (message.has_ack())
        onAck(message, out);
    else if (message.has_ping_request())
        onPingRequest(message, now, out);
    else if (message.has_sync_request() || message.has_sync_reply())
        onSync(message, out);
    maybeSync(message, now, out);
    return out;
}

void Membership::onPing(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out)
{
    if (message.ping().target() != self_.id)
        return;
    v1::PeerMessage ack;
    ack.mutable_ack()->set_sequence(message.ping().sequence());
    ack.mutable_ack()->set_subject(self_.id);
    out.push_back(makeMessage(message.sender_address(), message.sender(), std::move(ack)));
}

void Membership::onAck(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out)
{
    const std::uint64_t sequence = message.ack().sequence();
    const auto relayed = relayed_.find(sequence);
    if (relayed != relayed_.end()) {
        v1::PeerMessage ack;
        ack.mutable_ack()->set_sequence(relayed->second.sequence);
        ack.mutable_ack()->set_subject(message.ack().subject());
        out.push_back(makeMessage(relayed->second.requesterAddress, {}, std::move(ack)));
        relayed_.erase(relayed);
        return;
    }
    std::erase_if(probes_, [&](const Probe &probe) {
        return probe.sequence == sequence && probe.target.id == message.ack().subject();
    });
}

void Membership::onPingRequest(const v1::PeerMessage &message, base::TimePoint now,
                               std::vector<OutgoingMessage> &out)
{
    if (relayed_.size() >= kMaxRelayedProbes)
        return;
    const v1::PingRequest &request = message.ping_request();
    const std::uint64_t sequence = nextSequence_++;
    relayed_[sequence] = {message.sender_address(), request.sequence(), now};
    v1::PeerMessage ping;
    ping.mutable_ping()->set_sequence(sequence);
    ping.mutable_ping()->set_target(request.target());
    out.push_back(makeMessage(request.target_address(), request.target(), std::move(ping)));
}

void Membership::maybeSync(const v1::PeerMessage &message, base::TimePoint now,
                           std::vector<OutgoingMessage> &out)
{
    if (message.members_digest() == digest() || now < nextSync_ || message.has_sync_request()
        || message.has_sync_reply())
        return;
    const auto jitter = static_cast<std::int64_t>(
            rng_.below(static_cast<std::uint64_t>(options_.syncInterval.count())));
    nextSync_ = now + options_.syncInterval + base::Duration(jitter);
    v1::PeerMessage request;
    for (const std::uint64_t bucket : digests())
        request.mutable_sync_request()->add_digests(bucket);
    out.push_back(makeMessage(message.sender_address(), message.sender(), std::move(request)));
}

// The reply to a sync request has the local digests and all members of differing buckets, including
// dead ones. The digests let the peer send back its updates in turn.
void Membership::onSync(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out)
{
    constexpr int kMaxSyncUpdates = 300;
    const auto &remoteDigests = message.has_sync_request() ? message.sync_request().digests()
                                                           : message.sync_reply().digests();
    const Digests localDigests = digests();
    if (static_cast<std::size_t>(remoteDigests.size()) != localDigests.size())
        return;
    v1::PeerMessage reply;
    const auto addIfDiffering = [&](const std::string &id) {
        const std::size_t bucket = base::hash64(id) % localDigests.size();
        if (remoteDigests[static_cast<int>(bucket)] != localDigests[bucket]
            && reply.updates_size() < kMaxSyncUpdates)
            attachUpdate(reply, id);
    };
    addIfDiffering(self_.id);
    for (const auto &[id, member] : members_)
        addIfDiffering(id);
    if (reply.updates_size() == 0)
        return;
    if (message.has_sync_request()) {
        for (const std::uint64_t bucket : localDigests)
            reply.mutable_sync_reply()->add_digests(bucket);
    }
    out.push_back(makeMessage(message.sender_address(), message.sender(), std::move(reply)));
}

} // namespace chicorywick::cluster
