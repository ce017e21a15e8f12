#include <chicorywick/cluster/member.h>

namespace chicorywick::cluster {

bool supersedes(MemberStatus status, std::uint64_t incarnation, const Member &known)
{
    if (incarnation != known.incarnation)
        return incarnation > known.incarnation;
    return static_cast<int>(status) > static_cast<int>(known.status);
}

v1::MemberUpdate toUpdate(const Member &member)
{
    v1::MemberUpdate update;
    update.set_id(member.identity.id);
    update.set_address(member.identity.address);
    update.set_zone(member.identity.zone);
    update.set_state(static_cast<v1::MemberState>(member.status));
    update.set_incarnation(member.incarnation);
    return update;
}

Member toMember(const v1::MemberUpdate &update, base::TimePoint now)
{
    return Member{.identity = {update.id(), update.address(), update.zone()},
                  .status = static_cast<MemberStatus>(update.state()),
                  .incarnation = update.incarnation(),
                  .since = now,
                  .lastMessageAt = {}};
}

} // namespace chicorywick::cluster
