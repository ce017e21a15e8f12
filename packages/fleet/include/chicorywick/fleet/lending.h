#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/availability_budget.h>

namespace chicorywick::fleet {

/// @brief A pool as the lending decision sees it. Members in flight are in none of its counts.
struct LendingPool
{
    std::string name;
    bool isSpare = false;
    AvailabilityBudget budget;
    /// Members that have arrived, whether available or not.
    std::uint32_t memberCount = 0;
    std::vector<PlacedInstance> unavailable;
    /// Members on their way here.
    std::uint32_t arriving = 0;
    /// Instances needed now, and the most needed within the hold time of the plan.
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
    /// Healthy members of other pools that the spare pool has lent to them.
    std::vector<LendingMember> lent;
    base::TimePoint now;
    /// Least time between two moves of an instance.
    base::Duration minStay{};

    bool operator==(const LendingView &) const = default;
};

struct InstanceMove
{
    std::string instance;
    std::string from;
    std::string to;

    bool operator==(const InstanceMove &) const = default;
};

/// @brief Whether a pool that loses one available member keeps its availability budget.
bool canLoseMember(const LendingPool &pool);

/// @brief The loans and returns to make now, at most limit.
///
/// Loans come first, to the pools that lack most. A loan returns when its borrower has not needed
/// it for the hold time, or as soon as another pool lacks what cannot be lent. No instance
/// moves twice within the least stay.
std::vector<InstanceMove> decideLending(const LendingView &view, std::size_t limit);

} // namespace chicorywick::fleet
