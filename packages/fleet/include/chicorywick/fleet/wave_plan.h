#pragma once

#include <chicorywick/fleet/availability_budget.h>

#include <span>

namespace chicorywick::fleet {

/// @brief An instance in a wave's plan with its position.
struct PlanEntry
{
    std::uint32_t number = 0;
    PlacedInstance instance;

    bool operator==(const PlanEntry &) const = default;
};

/// @brief Maximum number of instances in one wave.
constexpr std::size_t kMaxPlanEntries = 10'000;

/// @brief Number of entries per plan row. With names of the maximum length, an entry takes 120
/// bytes, so a row takes at most 48 KB.
constexpr std::size_t kPlanEntriesPerRow = 400;

/// @brief The immutable list of a wave's instances, ordered by zone, rack and id.
class WavePlan
{
public:
    static base::Result<WavePlan> create(std::vector<PlacedInstance> instances);
    static base::Result<WavePlan> fromRows(std::span<const std::string> rows);

    /// @brief Serializes the plan into rows, each well below the table's size limit.
    std::vector<std::string> toRows() const;

    const std::vector<PlanEntry> &entries() const { return entries_; }

    bool operator==(const WavePlan &) const = default;

private:
    std::vector<PlanEntry> entries_;
};

} // namespace chicorywick::fleet
