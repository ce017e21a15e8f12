#pragma once

#include <chicorywick/base/clock.h>

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace chicorywick::cluster {

/// @brief A member that can own objects.
struct OwnerCandidate
{
    std::string id;
    std::string zone;

    bool operator==(const OwnerCandidate &) const = default;
};

/// @brief Assigns objects to the alive members by rendezvous hashing. Thread-safe.
///
/// Ownership is a hint. Two members may own an object at the same time for a short while, so writes
/// must stay conditional.
class Ownership
{
public:
    /// @brief A new owner waits for settleTime, so that the previous owner can finish its step.
    explicit Ownership(std::string self, base::Duration settleTime = std::chrono::seconds(2))
        : self_(std::move(self))
        , settleTime_(settleTime)
    {}

    /// @brief Sets the alive members, including this one.
    void setMembers(std::vector<OwnerCandidate> members, base::TimePoint now);

    /// @brief Releases all objects for settleTime. Called after a pause of the process, during
    /// which other members may have taken them over.
    void restartSettling(base::TimePoint now);

    /// @brief The member that owns an object. Members of the given zone are preferred.
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
