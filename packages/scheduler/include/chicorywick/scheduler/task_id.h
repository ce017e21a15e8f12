#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace chicorywick::scheduler {

/// @brief Identifies a task by job, occurrence, step and index.
struct TaskId
{
    std::string job;
    std::int64_t occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskId &) const = default;

    /// @brief Returns JOB.OCCURRENCE.STEP.INDEX.
    std::string text() const;
};

/// @brief Parses the format of TaskId::text().
std::optional<TaskId> parseTaskId(const std::string &text);

} // namespace chicorywick::scheduler
