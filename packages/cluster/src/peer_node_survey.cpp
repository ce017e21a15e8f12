#include <chicorywick/cluster/peer_node.h>

#include <algorithm>

namespace chicorywick::cluster {

namespace {

v1::MemberConfigStatus statusOf(const MemberIdentity &member)
{
    v1::MemberConfigStatus status;
    status.set_member(member.id);
    status.set_zone(member.zone);
    return status;
}

void fill(v1::MemberConfigStatus &status, const v1::ConfigDigest &digest)
{
    status.set_version(digest.version());
    status.set_in_force_since_ms(digest.in_force_since_ms());
    status.set_from_peers(digest.from_peers());
}

} // namespace

// A member counts as reached only if it replied after the survey started. The last reported state
// of other members is still included.
v1::ConfigStatusResponse PeerNode::statusSince(base::TimePoint start) const
{
    const std::lock_guard lock(mutex_);
    v1::ConfigStatusResponse response;
    response.set_head_version(agent_.config().highestVersionSeen());
    v1::MemberConfigStatus &own = *response.add_members();
    own = statusOf(self_);
    own.set_reached(true);
    fill(own, agent_.config().digest());
    for (const auto &[id, member] : agent_.membership().members()) {
        if (member.status == MemberStatus::Left)
            continue;
        v1::MemberConfigStatus &status = *response.add_members();
        status = statusOf(member.identity);
        const auto reported = agent_.memberConfigs().find(id);
        if (reported == agent_.memberConfigs().end())
            continue;
        status.set_reached(reported->second.answeredAt >= start);
        fill(status, reported->second.digest);
    }
    for (const MemberIdentity &candidate : agent_.membership().unconfirmedCandidates())
        *response.add_members() = statusOf(candidate);
    std::sort(response.mutable_members()->begin(), response.mutable_members()->end(),
              [](const auto &left, const auto &right) { return left.member() < right.member(); });
    return response;
}

v1::ConfigStatusResponse PeerNode::surveyConfig(base::Duration wait)
{
    const base::TimePoint start = clock_.now();
    const auto deadline = std::chrono::steady_clock::now() + wait;
    {
        const std::lock_guard lock(mutex_);
        agent_.startSurvey();
    }
    transport_->wake();
    while (true) {
        v1::ConfigStatusResponse response = statusSince(start);
        const bool isComplete =
                std::all_of(response.members().begin(), response.members().end(),
                            [](const v1::MemberConfigStatus &member) { return member.reached(); });
        if (isComplete || stopping_ || std::chrono::steady_clock::now() >= deadline)
            return response;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

} // namespace chicorywick::cluster
