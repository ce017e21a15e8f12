#pragma once

#include <chicorywick/fleet/availability_budget.h>
#include <chicorywick/fleet/pool_health.h>

#include <span>

namespace chicorywick::fleet {

/// @brief Maximum number of unhealthy members in a pool row. Higher than the limit of any budget.
constexpr std::size_t kMaxRecordedUnhealthy = 256;

/// @brief Permission to make one instance unavailable. Valid until the instance is observed
/// healthy.
struct Grant
{
    PlacedInstance instance;
    std::string wave;
    std::uint64_t fence = 0;
    std::int64_t grantedAtMs = 0;

    bool operator==(const Grant &) const = default;
};

struct PoolData
{
    std::string name;
    AvailabilityBudget budget;
    std::uint32_t memberCount = 0;
    std::uint64_t membersRevision = 0;
    std::vector<Grant> grants;
    bool isSpare = false;
    std::uint32_t targetSize = 0;
    std::vector<PlacedInstance> unhealthy;
    std::int64_t healthObservedAtMs = 0;

    bool operator==(const PoolData &) const = default;
};

/// @brief A pool with its budget. Methods return the changed pool, or an error if a rule forbids
/// the change.
class Pool
{
public:
    static base::Result<Pool> create(const std::string &name, const AvailabilityBudget &budget,
                                     bool isSpare, std::uint32_t targetSize);
    static base::Result<Pool> fromRow(const std::string &row);
    std::string toRow() const;
    v1::PoolRow toProto() const;

    const PoolData &data() const { return data_; }
    const Grant *findGrant(const std::string &instance) const;

    /// @brief Granted and unhealthy instances without duplicates.
    std::vector<PlacedInstance> unavailable() const;

    /// @brief Number of further healthy instances that the budget allows to disrupt, regardless of
    /// failure domains.
    std::uint32_t allowedDisruptions() const;

    /// @brief Describes why the budget allows no disruption of a healthy instance now; empty if it
    /// allows one.
    std::string exhaustionReason() const;

    Pool withBudget(const AvailabilityBudget &budget, std::uint32_t targetSize) const;
    Pool withMember() const;

    /// @brief Removes a member and its grant, if any.
    base::Result<Pool> withoutMember(const std::string &instance) const;

    /// @brief Records an observation. Fails if it is outdated or older than the recorded one.
    base::Result<Pool> withHealth(const PoolHealth &health) const;

    /// @brief Whether recording the observation would change the recorded unhealthy members.
    bool wouldChangeHealth(const PoolHealth &health) const;

    /// @brief Adds grants. Fails unless the budget permits all of them together.
    base::Result<Pool> withGrants(std::span<const Grant> grants) const;

    /// @brief Replaces the fence of a grant.
    base::Result<Pool> withFence(const std::string &instance, std::uint64_t fence) const;

    /// @brief Removes a grant.
    base::Result<Pool> withoutGrant(const std::string &instance) const;

    bool operator==(const Pool &) const = default;

private:
    explicit Pool(PoolData data)
        : data_(std::move(data))
    {}

    PoolData data_;
};

} // namespace chicorywick::fleet
