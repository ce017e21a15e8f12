#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace chicorywick::scheduler {

/// @brief Names one task: job, occurrence, step and index.
struct TaskId
{
    std::string job;
    std::int64_t occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskId &) const = default;

    /// @brief The text JOB.OCCURRENCE.STEP.INDEX.
    std::string text() const;
};

/// @brief Reads what TaskId::text() writes.
std::optional<TaskId> parseTaskId(const std::string &text);

} // namespace chicorywick::scheduler
