#include <chicorywick/base/hash.h>
#include <chicorywick/cluster/membership.h>

#include <algorithm>
#include <cmath>

namespace chicorywick::cluster {

namespace {

// News is sent this many times for each doubling of the members. A member that misses it all the
// same is repaired by the comparison of lists.
constexpr int kSendFactor = 3;
constexpr int kPauseTicks = 2;

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

// A process that was paused has missed answers through its own fault, so it accuses nobody.
void Membership::absorbPause(base::TimePoint now)
{
    wasPaused_ = lastTick_ != base::TimePoint{} && now - lastTick_ > kPauseTicks * options_.period;
    if (!wasPaused_)
        return;
    probes_.clear();
    relayed_.clear();
    for (auto &[id, member] : members_) {
        if (member.status == MemberStatus::Suspect)
            member.since = now;
    }
}

std::vector<Outgoing> Membership::tick(base::TimePoint now)
{
    std::vector<Outgoing> out;
    absorbPause(now);
    lastTick_ = now;
    if (hasLeft_)
        return out;
    repeatProbes(now, out);
    if (now >= nextPeriod_) {
        // The first period starts at a random phase, so that members do not probe in step.
        const bool isFirst = nextPeriod_ == base::TimePoint{};
        const auto jitter = static_cast<std::int64_t>(
                rng_.below(static_cast<std::uint64_t>(options_.period.count())));
        nextPeriod_ = now + (isFirst ? base::Duration(jitter) : options_.period);
        endProbes(now, out);
        startProbes(now, out);
        forgetOld(now);
    }
    expireSuspicions(now);
    gossip(now, out);
    return out;
}

void Membership::forgetOld(base::TimePoint now)
{
    std::erase_if(members_, [&](const auto &entry) {
        const Member &member = entry.second;
        return (member.status == MemberStatus::Dead || member.status == MemberStatus::Left)
               && now - member.since > options_.forgetAfter;
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
    addNews(member.identity.id);
}

// News of this member that it did not spread itself: it answers with a higher incarnation.
void Membership::refute(const v1::MemberUpdate &update)
{
    const bool isAccused = update.incarnation() == incarnation_
                           && update.state() != v1::MEMBER_STATE_ALIVE && !hasLeft_;
    if (!isAccused && update.incarnation() <= incarnation_)
        return;
    incarnation_ = std::max(incarnation_, update.incarnation()) + 1;
    addNews(self_.id);
}

void Membership::addNews(const std::string &id)
{
    std::erase_if(news_, [&](const News &news) { return news.member == id; });
    const auto count = static_cast<double>(members_.size()) + 2;
    const int sends = kSendFactor * static_cast<int>(std::ceil(std::log2(count)));
    news_.insert(news_.begin(), News{id, sends});
}

std::vector<Outgoing> Membership::leave(base::TimePoint now)
{
    std::vector<Outgoing> out;
    hasLeft_ = true;
    addNews(self_.id);
    lastTick_ = now;
    constexpr std::size_t kFarewells = 8;
    for (const MemberIdentity &target : pickTargets(kFarewells))
        out.push_back(make(target.address, target.id));
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
        const Member me{.identity = self_,
                        .status = hasLeft_ ? MemberStatus::Left : MemberStatus::Alive,
                        .incarnation = incarnation_,
                        .since = {},
                        .heardAt = {}};
        *message.add_updates() = toUpdate(me);
        return;
    }
    const auto found = members_.find(id);
    if (found != members_.end())
        *message.add_updates() = toUpdate(found->second);
}

void Membership::attachNews(v1::PeerMessage &message, const std::string &to)
{
    // The receiver hears first what is said of itself, so that it can refute.
    const auto receiver = members_.find(to);
    if (receiver != members_.end() && receiver->second.status != MemberStatus::Alive)
        attachUpdate(message, to);
    std::size_t attached = 0;
    for (News &news : news_) {
        if (attached == options_.maxUpdatesPerMessage)
            break;
        if (news.member == to)
            continue;
        attachUpdate(message, news.member);
        --news.sendsLeft;
        ++attached;
    }
    std::erase_if(news_, [](const News &news) { return news.sendsLeft <= 0; });
    // What was sent least goes first.
    std::stable_sort(news_.begin(), news_.end(), [](const News &left, const News &right) {
        return left.sendsLeft > right.sendsLeft;
    });
}

void Membership::stamp(v1::PeerMessage &message, const std::string &to)
{
    message.set_sender(self_.id);
    message.set_sender_address(self_.address);
    message.set_sender_zone(self_.zone);
    message.set_incarnation(incarnation_);
    message.set_members_digest(digest());
    attachNews(message, to);
}

Outgoing Membership::make(const std::string &address, const std::string &to,
                          v1::PeerMessage message)
{
    stamp(message, to);
    return Outgoing{address, std::move(message)};
}

void Membership::gossip(base::TimePoint now, std::vector<Outgoing> &out)
{
    if (news_.empty() || now < nextGossip_)
        return;
    nextGossip_ = now + options_.gossipInterval;
    for (const MemberIdentity &target : pickTargets(options_.gossipFanout))
        out.push_back(make(target.address, target.id));
}

} // namespace chicorywick::cluster
