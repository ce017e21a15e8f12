#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/availability_budget.h>

namespace chicorywick::fleet {

/// @brief State of a pool for the lending decision. Members in flight count only as arriving.
struct LendingPool
{
    std::string name;
    bool isSpare = false;
    AvailabilityBudget budget;
    /// Members that have arrived, available or not.
    std::uint32_t memberCount = 0;
    std::vector<PlacedInstance> unavailable;
    /// Members in flight to this pool.
    std::uint32_t arriving = 0;
    /// Instances needed now, and the highest number needed within the plan's hold time.
    std::uint32_t needed = 0;
    std::uint32_t recentPeak = 0;

    std::uint32_t available() const;

    bool operator==(const LendingPool &) const = default;
};

/// @brief A healthy member that has arrived, with the time of its last move.
struct LendingMember
{
    PlacedInstance instance;
    std::string pool;
    base::TimePoint movedAt{};

    bool operator==(const LendingMember &) const = default;
};

struct LendingView
{
    std::vector<LendingPool> pools;
    /// Healthy members of the spare pool.
    std::vector<LendingMember> lendable;
    /// Healthy members of other pools that are on loan from the spare pool.
    std::vector<LendingMember> lent;
    base::TimePoint now;
    /// Minimum time between two moves of an instance.
    base::Duration minMoveInterval{};

    bool operator==(const LendingView &) const = default;
};

struct InstanceMove
{
    std::string instance;
    std::string from;
    std::string to;

    bool operator==(const InstanceMove &) const = default;
};

/// @brief Whether the pool stays within its availability budget if it loses one available member.
bool canLoseMember(const LendingPool &pool);

/// @brief Selects the loans and returns to carry out now, at most `limit`.
///
/// Loans come first and go to the largest shortage. A loan returns when its borrower has not needed
/// it for the hold time, or as soon as another pool has a shortage that lending cannot cover. No
/// instance moves twice within the minimum move interval.
std::vector<InstanceMove> decideLending(const LendingView &view, std::size_t limit);

} // namespace chicorywick::fleet
