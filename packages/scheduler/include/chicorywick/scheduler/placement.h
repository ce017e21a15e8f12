#pragma once

#include <chicorywick/scheduler/model.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief True if the labels hold the one that the step requires, or it requires none.
bool hasRequiredLabel(const StepSpec &step, const std::vector<std::string> &labels);

/// @brief A worker considered for a task.
struct PlacementCandidate
{
    std::size_t index = 0; ///< index of the worker in the caller's list
    Resources free;
    const std::vector<std::string> *labels = nullptr;
    int tasksOfStep = 0; ///< tasks of the same step and occurrence
    int tasksOfStepInRack = 0;
    int servingTasks = 0;
    int leftoverCpuTasks = 0;
    int neighbours = 0;     ///< tasks that a crash would end too; 0 for a task that never crashed
    bool isAvoided = false; ///< the last run of the task failed on this worker

    bool operator==(const PlacementCandidate &) const = default;
};

/// @brief Chooses a worker for a task of the step; none if no candidate can run it now.
/// Uses best-fit packing, which keeps whole workers free for large tasks and for release.
std::optional<std::size_t> choosePlacement(const StepSpec &step,
                                           std::span<const PlacementCandidate> candidates);

} // namespace chicorywick::scheduler
