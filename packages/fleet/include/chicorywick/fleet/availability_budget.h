#pragma once

#include "chicorywick/v1/fleet.pb.h"

#include <chicorywick/base/result.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace chicorywick::fleet {

/// @brief Maximum length of an instance, pool or wave name, and of a failure domain name. These
/// lengths keep a pool row with all grants and unhealthy members below the table's limit of 64 KB.
constexpr std::size_t kMaxNameLength = 48;
constexpr std::size_t kMaxDomainLength = 32;

/// @brief Maximum limit of any budget. Bounds the number of grants in a pool row.
constexpr std::uint32_t kMaxUnavailable = 128;

/// @brief Rejects a name that is empty, too long or contains characters other than letters, digits,
/// '.', '_' and '-'.
base::Result<void> checkName(const std::string &what, const std::string &name,
                             std::size_t maxLength = kMaxNameLength);

/// @brief An instance and its failure domains.
struct PlacedInstance
{
    std::string id;
    std::string rack;
    std::string zone;

    bool operator==(const PlacedInstance &) const = default;
    bool operator<(const PlacedInstance &other) const
    {
        return std::tie(id, rack, zone) < std::tie(other.id, other.rack, other.zone);
    }
};

/// @brief Maximum number of unavailable instances.
struct MaxCount
{
    std::uint32_t instances = 0;

    bool operator==(const MaxCount &) const = default;
};

/// @brief Maximum percentage of unavailable instances, rounded down to whole instances.
struct MaxPercent
{
    std::uint32_t percent = 0;

    bool operator==(const MaxPercent &) const = default;
};

/// @brief Limits how many instances of a pool may be unavailable at once, and in how many failure
/// domains.
class AvailabilityBudget
{
public:
    /// @brief A budget that permits no disruption.
    AvailabilityBudget() = default;

    static base::Result<AvailabilityBudget> fromProto(const v1::Budget &budget);
    v1::Budget toProto() const;

    /// @brief Maximum number of unavailable instances in a pool with this many members.
    std::uint32_t limit(std::uint32_t memberCount) const;

    /// @brief Describes the limit that this set of unavailable instances exceeds; empty if there is
    /// none.
    std::string violation(const std::vector<PlacedInstance> &unavailable,
                          std::uint32_t memberCount) const;

    bool operator==(const AvailabilityBudget &) const = default;

private:
    std::variant<MaxCount, MaxPercent> limit_;
    std::uint32_t maxRacks_ = 0;
    std::uint32_t maxZones_ = 0;
};

} // namespace chicorywick::fleet
