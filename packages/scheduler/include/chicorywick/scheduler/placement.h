#pragma once

#include <chicorywick/scheduler/model.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief A worker as placement sees it.
struct PlacementCandidate
{
    std::size_t index = 0; ///< the caller's number of the worker
    Resources free;
    const std::vector<std::string> *labels = nullptr;
    int tasksOfStep = 0; ///< of the same occurrence
    int tasksOfStepInRack = 0;
    int servingTasks = 0;
    int leftoverCpuTasks = 0;
    bool isAvoided = false; ///< the task's last run failed there

    bool operator==(const PlacementCandidate &) const = default;
};

/// @brief Chooses the worker for a task of a step, or none if no candidate may run it now.
/// Packs tightly, so that wide steps and machines that could leave find whole workers free.
std::optional<std::size_t> choosePlacement(const StepSpec &step,
                                           std::span<const PlacementCandidate> candidates);

} // namespace chicorywick::scheduler
