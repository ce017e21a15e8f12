#pragma once

#include "chicorywick/v1/peer.pb.h"

#include <chicorywick/base/clock.h>

#include <string>

namespace chicorywick::cluster {

enum class MemberStatus { Alive, Suspect, Dead, Left };

/// @brief Who a member is and where it listens.
struct MemberIdentity
{
    std::string id;
    std::string address;
    std::string zone;

    bool operator==(const MemberIdentity &) const = default;
};

/// @brief What this daemon knows of a member.
struct Member
{
    MemberIdentity identity;
    MemberStatus status = MemberStatus::Alive;
    std::uint64_t incarnation = 0;
    base::TimePoint since;
    /// Time of the last message that came from the member itself.
    base::TimePoint lastMessageAt;

    bool operator==(const Member &) const = default;
};

/// @brief A member's change of status, for logs and callbacks.
struct MemberEvent
{
    MemberIdentity identity;
    MemberStatus status = MemberStatus::Alive;
    std::uint64_t incarnation = 0;

    bool operator==(const MemberEvent &) const = default;
};

/// @brief A message to send to an address.
struct OutgoingMessage
{
    std::string address;
    v1::PeerMessage message;
};

/// @brief True if an update replaces what is known: a higher incarnation, or the worse status at
/// the same one.
bool supersedes(MemberStatus status, std::uint64_t incarnation, const Member &known);

v1::MemberUpdate toUpdate(const Member &member);
Member toMember(const v1::MemberUpdate &update, base::TimePoint now);

} // namespace chicorywick::cluster
