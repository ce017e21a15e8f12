#pragma once

#include <chicorywick/base/clock.h>

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace chicorywick::cluster {

/// @brief A member that objects can be assigned to.
struct OwnerCandidate
{
    std::string id;
    std::string zone;

    bool operator==(const OwnerCandidate &) const = default;
};

/// @brief Divides objects among the alive members by rendezvous hashing; thread-safe.
///
/// A hint: two members may own an object for a moment, so writes stay conditional.
class Ownership
{
public:
    /// @brief A new owner waits for settleTime, in which the previous owner finishes its step.
    explicit Ownership(std::string self, base::Duration settleTime = std::chrono::seconds(2))
        : self_(std::move(self))
        , settleTime_(settleTime)
    {}

    /// @brief Sets the alive members, including this one.
    void setMembers(std::vector<OwnerCandidate> members, base::TimePoint now);

    /// @brief Gives everything up for settleTime, after this process was paused.
    void restartSettling(base::TimePoint now);

    /// @brief The member that should drive an object; members of its zone come first.
    std::string ownerOf(const std::string &key, const std::string &zone = {}) const;

    /// @brief True if this member has owned the object for at least settleTime.
    bool isOwner(const std::string &key, const std::string &zone, base::TimePoint now) const;

private:
    struct View
    {
        std::vector<OwnerCandidate> members;
        base::TimePoint from;
    };

    static std::string pick(const View &view, const std::string &key, const std::string &zone);

    std::string self_;
    base::Duration settleTime_;
    mutable std::mutex mutex_;
    std::deque<View> views_;
};

} // namespace chicorywick::cluster
