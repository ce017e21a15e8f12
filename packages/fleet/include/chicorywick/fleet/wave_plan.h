#pragma once

#include <chicorywick/fleet/availability_budget.h>

#include <span>

namespace chicorywick::fleet {

/// @brief An instance of a wave's plan with its position.
struct NumberedEntry
{
    std::uint32_t number = 0;
    PlacedInstance instance;

    bool operator==(const NumberedEntry &) const = default;
};

/// @brief Most instances of one wave.
constexpr std::size_t kMaxPlanEntries = 10'000;

/// @brief Entries of one plan row. Names of the longest permitted length make 120 bytes an entry,
/// so a row has at most 48 KB.
constexpr std::size_t kPlanEntriesPerRow = 400;

/// @brief The immutable list of a wave's instances, ordered by zone, rack and id.
class WavePlan
{
public:
    static base::Result<WavePlan> create(std::vector<PlacedInstance> instances);
    static base::Result<WavePlan> fromRows(std::span<const std::string> rows);

    /// @brief The rows that hold the plan, each well below the table's limit.
    std::vector<std::string> toRows() const;

    const std::vector<NumberedEntry> &entries() const { return entries_; }

    bool operator==(const WavePlan &) const = default;

private:
    std::vector<NumberedEntry> entries_;
};

} // namespace chicorywick::fleet
