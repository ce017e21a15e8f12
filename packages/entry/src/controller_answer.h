#pragma once

#include <chicorywick/scheduler/model.h>

#include <optional>

namespace chicorywick::entry {

/// @brief The controller's state of a job or queue, from this process or from the leader.
struct ControllerAnswer
{
    bool isAnswered = false; ///< false: no loaded controller answered
    std::optional<scheduler::JobState> state;
    int waiting = 0;
};

} // namespace chicorywick::entry
