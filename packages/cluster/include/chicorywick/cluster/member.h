#pragma once

#include "chicorywick/v1/peer.pb.h"

#include <chicorywick/base/clock.h>

#include <string>

namespace chicorywick::cluster {

enum class MemberStatus { Alive, Suspect, Dead, Left };

/// @brief Id, listening address and zone of a member.
struct MemberIdentity
{
    std::string id;
    std::string address;
    std::string zone;

    bool operator==(const MemberIdentity &) const = default;
};

/// @brief Local state of a member.
struct Member
{
    MemberIdentity identity;
    MemberStatus status = MemberStatus::Alive;
    std::uint64_t incarnation = 0;
    base::TimePoint since;
    /// Time of the last message received from the member itself.
    base::TimePoint lastMessageAt;

    bool operator==(const Member &) const = default;
};

/// @brief A status change of a member, for logs and callbacks.
struct MemberEvent
{
    MemberIdentity identity;
    MemberStatus status = MemberStatus::Alive;
    std::uint64_t incarnation = 0;

    bool operator==(const MemberEvent &) const = default;
};

/// @brief A message and its destination address.
struct OutgoingMessage
{
    std::string address;
    v1::PeerMessage message;
};

/// @brief True if an update overrides the local state: it has a higher incarnation, or a later
/// value of MemberStatus at the same incarnation.
bool supersedes(MemberStatus status, std::uint64_t incarnation, const Member &known);

v1::MemberUpdate toUpdate(const Member &member);
Member toMember(const v1::MemberUpdate &update, base::TimePoint now);

} // namespace chicorywick::cluster
