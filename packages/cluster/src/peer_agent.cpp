#include <chicorywick/cluster/peer_agent.h>

#include <algorithm>

namespace chicorywick::cluster {

PeerAgent::PeerAgent(MemberIdentity self, std::uint64_t incarnation, PeerAgentOptions options,
                     std::uint64_t seed, PeerCallbacks callbacks)
    : options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , membership_(std::move(self), incarnation, options_.membership, seed)
{}

// Adds the digest of the configuration in force to every message.
void PeerAgent::finish(std::vector<OutgoingMessage> &out)
{
    for (OutgoingMessage &outgoing : out) {
        outgoing.message.set_deployment(options_.deployment);
        *outgoing.message.mutable_config() = config_.digest();
    }
    dispatchMemberEvents();
}

void PeerAgent::appendMessage(std::vector<OutgoingMessage> &out, const MemberIdentity &target,
                              v1::PeerMessage message)
{
    membership_.fillEnvelope(message, target.id);
    out.push_back({target.address, std::move(message)});
}

void PeerAgent::dispatchMemberEvents()
{
    for (const MemberEvent &event : membership_.takeEvents()) {
        if (callbacks_.onMember)
            callbacks_.onMember(event);
    }
}

std::vector<OutgoingMessage> PeerAgent::tick(base::TimePoint now)
{
    std::vector<OutgoingMessage> out = membership_.tick(now);
    if (memberConfigs_.size() > membership_.members().size())
        pruneMemberConfigs();
    pushConfig(now, out);
    continueSurvey(out);
    finish(out);
    return out;
}

std::vector<OutgoingMessage> PeerAgent::leave(base::TimePoint now)
{
    std::vector<OutgoingMessage> out = membership_.leave(now);
    finish(out);
    return out;
}

std::vector<OutgoingMessage> PeerAgent::receive(const v1::PeerMessage &message, base::TimePoint now)
{
    std::vector<OutgoingMessage> out;
    if (message.sender().empty() || message.sender() == membership_.self().id)
        return out;
    out = membership_.receive(message, now);
    if (!membership_.hasLeft()) {
        onConfigBody(message, now, out);
        dispatchHint(message, out);
        comparePeerConfig(message, now, out);
    }
    finish(out);
    return out;
}

void PeerAgent::onConfigBody(const v1::PeerMessage &message, base::TimePoint now,
                             std::vector<OutgoingMessage> &out)
{
    const MemberIdentity sender{message.sender(), message.sender_address(), message.sender_zone()};
    if (message.has_config_delta()) {
        if (config_.apply(message.config_delta(), ConfigSource::Peer, now) && callbacks_.onConfig)
            callbacks_.onConfig(config_);
    } else if (message.has_config_pull()) {
        for (v1::ConfigDelta &part : config_.deltaSince(message.config_pull().have_version())) {
            v1::PeerMessage answer;
            *answer.mutable_config_delta() = std::move(part);
            appendMessage(out, sender, std::move(answer));
        }
    } else if (message.has_status_query()) {
        v1::PeerMessage answer;
        answer.mutable_status_reply();
        appendMessage(out, sender, std::move(answer));
    }
}

void PeerAgent::comparePeerConfig(const v1::PeerMessage &message, base::TimePoint now,
                                  std::vector<OutgoingMessage> &out)
{
    if (!message.has_config())
        return;
    if (membership_.members().contains(message.sender())) {
        MemberConfig &known = memberConfigs_[message.sender()];
        // Only a status reply counts as an answer. Other messages may have been sent before the
        // survey started.
        if (message.has_status_reply())
            known.answeredAt = now;
        if (message.has_status_reply() || message.config().version() >= known.digest.version())
            known.digest = message.config();
    }
    config_.recordPeerVersion(message.config().version());
    if (message.config().version() <= config_.version() || now < nextPull_)
        return;
    nextPull_ = now + options_.configPullInterval;
    v1::PeerMessage pull;
    pull.mutable_config_pull()->set_have_version(config_.version());
    appendMessage(out, {message.sender(), message.sender_address(), message.sender_zone()},
                  std::move(pull));
}

void PeerAgent::applyFromTable(const v1::ConfigDelta &delta, base::TimePoint now)
{
    config_.recordTableHead(delta.version());
    if (config_.apply(delta, ConfigSource::Table, now) && callbacks_.onConfig)
        callbacks_.onConfig(config_);
}

// A new version is pushed to a few members, which push it on when they apply it, so it reaches the
// fleet in a logarithmic number of hops. Members that miss a push detect it from the digests in all
// messages.
void PeerAgent::pushConfig(base::TimePoint now, std::vector<OutgoingMessage> &out)
{
    if (config_.version() <= pushedVersion_ || now < nextPush_ || membership_.hasLeft())
        return;
    nextPush_ = now + options_.configPushInterval;
    const std::vector<v1::ConfigDelta> parts = config_.deltaSince(pushedVersion_);
    pushedVersion_ = config_.version();
    for (const MemberIdentity &target : membership_.pickTargets(options_.relayFanout)) {
        // A configuration of several parts is not pushed. Members that lack it pull it.
        v1::PeerMessage message;
        if (parts.size() == 1)
            *message.mutable_config_delta() = parts.front();
        appendMessage(out, target, std::move(message));
    }
}

bool PeerAgent::markSeen(const v1::Relay &relay)
{
    const std::string key = relay.origin() + '/' + std::to_string(relay.sequence());
    if (!seen_.insert(key).second)
        return false;
    seenOrder_.push_back(key);
    if (seenOrder_.size() > options_.maxSeenRelays) {
        seen_.erase(seenOrder_.front());
        seenOrder_.pop_front();
    }
    return true;
}

void PeerAgent::forward(const v1::PeerMessage &message, const std::string &except,
                        std::vector<OutgoingMessage> &out)
{
    v1::PeerMessage copy;
    *copy.mutable_relay() = message.relay();
    if (message.has_drain())
        *copy.mutable_drain() = message.drain();
    else if (message.has_burn())
        *copy.mutable_burn() = message.burn();
    for (const MemberIdentity &target : membership_.pickTargets(options_.relayFanout)) {
        if (target.id != except && target.id != message.relay().origin())
            appendMessage(out, target, copy);
    }
}

std::vector<OutgoingMessage> PeerAgent::originate(v1::PeerMessage message)
{
    // The incarnation distinguishes the relays of this process from those of an earlier process
    // with the same id.
    message.mutable_relay()->set_origin(membership_.self().id + '@'
                                        + std::to_string(membership_.incarnation()));
    message.mutable_relay()->set_sequence(nextRelay_++);
    markSeen(message.relay());
    std::vector<OutgoingMessage> out;
    forward(message, {}, out);
    finish(out);
    return out;
}

std::vector<OutgoingMessage> PeerAgent::broadcast(const v1::DrainNotice &notice)
{
    v1::PeerMessage message;
    *message.mutable_drain() = notice;
    return originate(std::move(message));
}

std::vector<OutgoingMessage> PeerAgent::broadcast(const v1::BurnSummary &summary)
{
    v1::PeerMessage message;
    *message.mutable_burn() = summary;
    return originate(std::move(message));
}

std::vector<OutgoingMessage> PeerAgent::sendLoad(const v1::LoadReport &report)
{
    std::vector<OutgoingMessage> out;
    v1::PeerMessage message;
    *message.mutable_load() = report;
    for (const MemberIdentity &target : membership_.pickTargets(options_.loadFanout))
        appendMessage(out, target, message);
    finish(out);
    return out;
}

void PeerAgent::dispatchHint(const v1::PeerMessage &message, std::vector<OutgoingMessage> &out)
{
    if (message.has_load() && callbacks_.onLoad)
        callbacks_.onLoad({message.sender(), message.sender_address(), message.sender_zone()},
                          message.load());
    if (!message.has_drain() && !message.has_burn())
        return;
    if (!message.has_relay() || !markSeen(message.relay()))
        return;
    if (message.has_drain() && callbacks_.onDrain)
        callbacks_.onDrain(message.drain());
    if (message.has_burn() && callbacks_.onBurn)
        callbacks_.onBurn(message.burn());
    forward(message, message.sender(), out);
}

void PeerAgent::startSurvey()
{
    pruneMemberConfigs();
    surveyQueue_.clear();
    for (const auto &[id, member] : membership_.members()) {
        if (member.status != MemberStatus::Left)
            surveyQueue_.push_back(member.identity);
    }
}

void PeerAgent::continueSurvey(std::vector<OutgoingMessage> &out)
{
    for (std::size_t i = 0; i < options_.surveyBatch && !surveyQueue_.empty(); ++i) {
        v1::PeerMessage query;
        query.mutable_status_query();
        appendMessage(out, surveyQueue_.back(), std::move(query));
        surveyQueue_.pop_back();
    }
}

void PeerAgent::pruneMemberConfigs()
{
    std::erase_if(memberConfigs_,
                  [&](const auto &entry) { return !membership_.members().contains(entry.first); });
}

} // namespace chicorywick::cluster
