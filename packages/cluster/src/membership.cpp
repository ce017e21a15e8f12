#include <chicorywick/base/hash.h>
#include <chicorywick/cluster/membership.h>

#include <algorithm>
#include <cmath>

namespace chicorywick::cluster {

namespace {

// An update is sent this many times per doubling of the member count. A member that misses it is
// repaired by the member list sync.
constexpr int kRetransmitFactor = 3;
constexpr int kPausePeriods = 2;

} // namespace

Membership::Membership(MemberIdentity self, std::uint64_t incarnation, MembershipOptions options,
                       std::uint64_t seed)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , options_(options)
    , rng_(seed)
    , nextSequence_(rng_())
{}

void Membership::setCandidates(std::vector<MemberIdentity> candidates)
{
    candidates_.clear();
    for (MemberIdentity &candidate : candidates) {
        if (candidate.id != self_.id && candidates_.size() < options_.maxMembers)
            candidates_.emplace(candidate.id, std::move(candidate));
    }
}

std::vector<MemberIdentity> Membership::unconfirmedCandidates() const
{
    std::vector<MemberIdentity> unconfirmed;
    for (const auto &[id, candidate] : candidates_) {
        if (!members_.contains(id))
            unconfirmed.push_back(candidate);
    }
    return unconfirmed;
}

std::vector<MemberIdentity> Membership::alive() const
{
    std::vector<MemberIdentity> found;
    if (!hasLeft_)
        found.push_back(self_);
    for (const auto &[id, member] : members_) {
        if (member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect)
            found.push_back(member.identity);
    }
    return found;
}

std::vector<MemberEvent> Membership::takeEvents()
{
    return std::exchange(events_, {});
}

// A paused process missed answers itself, so it must not suspect members or declare them dead.
// Pending probes are discarded and the time to refute restarts for all suspected members.
void Membership::handlePause(base::TimePoint now)
{
    wasPaused_ =
            lastTick_ != base::TimePoint{} && now - lastTick_ > kPausePeriods * options_.period;
    if (!wasPaused_)
        return;
    probes_.clear();
    relayed_.clear();
    for (auto &[id, member] : members_) {
        if (member.status == MemberStatus::Suspect)
            member.since = now;
    }
}

std::vector<OutgoingMessage> Membership::tick(base::TimePoint now)
{
    std::vector<OutgoingMessage> out;
    handlePause(now);
    lastTick_ = now;
    if (hasLeft_)
        return out;
    repeatProbes(now, out);
    if (now >= nextPeriod_) {
        // The second period starts at a random offset, so that members do not probe at the same
        // time.
        const bool isFirst = nextPeriod_ == base::TimePoint{};
        const auto jitter = static_cast<std::int64_t>(
                rng_.below(static_cast<std::uint64_t>(options_.period.count())));
        nextPeriod_ = now + (isFirst ? base::Duration(jitter) : options_.period);
        expireProbes(now, out);
        startProbes(now, out);
        removeExpiredMembers(now);
    }
    expireSuspicions(now);
    gossip(now, out);
    return out;
}

void Membership::removeExpiredMembers(base::TimePoint now)
{
    std::erase_if(members_, [&](const auto &entry) {
        const Member &member = entry.second;
        return (member.status == MemberStatus::Dead || member.status == MemberStatus::Left)
               && now - member.since > options_.goneMemberRetention;
    });
}

void Membership::merge(const v1::MemberUpdate &update, base::TimePoint now)
{
    if (update.id().empty() || !v1::MemberState_IsValid(update.state()))
        return;
    if (update.id() == self_.id) {
        refute(update);
        return;
    }
    const Member incoming = toMember(update, now);
    const auto found = members_.find(update.id());
    if (found == members_.end()) {
        if (members_.size() >= options_.maxMembers || update.address().empty())
            return;
        Member &added = members_.emplace(update.id(), incoming).first->second;
        setStatus(added, incoming.status, incoming.incarnation, now);
        return;
    }
    Member &known = found->second;
    if (!supersedes(incoming.status, incoming.incarnation, known))
        return;
    if (incoming.incarnation > known.incarnation)
        known.identity = incoming.identity;
    setStatus(known, incoming.status, incoming.incarnation, now);
}

void Membership::setStatus(Member &member, MemberStatus status, std::uint64_t incarnation,
                           base::TimePoint now)
{
    member.status = status;
    member.incarnation = incarnation;
    member.since = now;
    events_.push_back({member.identity, status, incarnation});
    queueUpdate(member.identity.id);
}

// A peer spreads an outdated or false update about this member: raises the incarnation to override
// it.
void Membership::refute(const v1::MemberUpdate &update)
{
    const bool isAccused = update.incarnation() == incarnation_
                           && update.state() != v1::MEMBER_STATE_ALIVE && !hasLeft_;
    if (!isAccused && update.incarnation() <= incarnation_)
        return;
    incarnation_ = std::max(incarnation_, update.incarnation()) + 1;
    queueUpdate(self_.id);
}

void Membership::queueUpdate(const std::string &id)
{
    std::erase_if(pendingUpdates_,
                  [&](const PendingUpdate &pending) { return pending.member == id; });
    const auto count = static_cast<double>(members_.size()) + 2;
    const int sends = kRetransmitFactor * static_cast<int>(std::ceil(std::log2(count)));
    pendingUpdates_.insert(pendingUpdates_.begin(), PendingUpdate{id, sends});
}

std::vector<OutgoingMessage> Membership::leave(base::TimePoint now)
{
    std::vector<OutgoingMessage> out;
    hasLeft_ = true;
    queueUpdate(self_.id);
    lastTick_ = now;
    constexpr std::size_t kLeaveFanout = 8;
    for (const MemberIdentity &target : pickTargets(kLeaveFanout))
        out.push_back(makeMessage(target.address, target.id));
    return out;
}

Membership::Digests Membership::digests() const
{
    Digests digests{};
    const auto add = [&](const std::string &id, std::uint64_t incarnation) {
        const std::uint64_t hash = base::hash64(id);
        digests[hash % digests.size()] ^= base::hash64(id, incarnation);
    };
    add(self_.id, incarnation_);
    for (const auto &[id, member] : members_) {
        if (member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect)
            add(id, member.incarnation);
    }
    return digests;
}

std::uint64_t Membership::digest() const
{
    std::uint64_t combined = 0;
    for (const std::uint64_t bucket : digests())
        combined ^= bucket;
    return combined;
}

void Membership::attachUpdate(v1::PeerMessage &message, const std::string &id) const
{
    if (id == self_.id) {
        const Member localMember{.identity = self_,
                                 .status = hasLeft_ ? MemberStatus::Left : MemberStatus::Alive,
                                 .incarnation = incarnation_,
                                 .since = {},
                                 .lastMessageAt = {}};
        *message.add_updates() = toUpdate(localMember);
        return;
    }
    const auto found = members_.find(id);
    if (found != members_.end())
        *message.add_updates() = toUpdate(found->second);
}

void Membership::attachPendingUpdates(v1::PeerMessage &message, const std::string &to)
{
    // An update about the receiver goes first, so that the receiver can refute it.
    const auto receiver = members_.find(to);
    if (receiver != members_.end() && receiver->second.status != MemberStatus::Alive)
        attachUpdate(message, to);
    std::size_t attached = 0;
    for (PendingUpdate &pending : pendingUpdates_) {
        if (attached == options_.maxUpdatesPerMessage)
            break;
        if (pending.member == to)
            continue;
        attachUpdate(message, pending.member);
        --pending.sendsLeft;
        ++attached;
    }
    std::erase_if(pendingUpdates_,
                  [](const PendingUpdate &pending) { return pending.sendsLeft <= 0; });
    // The least sent updates go first.
    std::stable_sort(pendingUpdates_.begin(), pendingUpdates_.end(),
                     [](const PendingUpdate &left, const PendingUpdate &right) {
                         return left.sendsLeft > right.sendsLeft;
                     });
}

void Membership::fillEnvelope(v1::PeerMessage &message, const std::string &to)
{
    message.set_sender(self_.id);
    message.set_sender_address(self_.address);
    message.set_sender_zone(self_.zone);
    message.set_incarnation(incarnation_);
    message.set_members_digest(digest());
    attachPendingUpdates(message, to);
}

OutgoingMessage Membership::makeMessage(const std::string &address, const std::string &to,
                                        v1::PeerMessage message)
{
    fillEnvelope(message, to);
    return OutgoingMessage{address, std::move(message)};
}

void Membership::gossip(base::TimePoint now, std::vector<OutgoingMessage> &out)
{
    if (pendingUpdates_.empty() || now < nextGossip_)
        return;
    nextGossip_ = now + options_.gossipInterval;
    for (const MemberIdentity &target : pickTargets(options_.gossipFanout))
        out.push_back(makeMessage(target.address, target.id));
}

} // namespace chicorywick::cluster
