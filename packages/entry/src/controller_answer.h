#pragma once

#include <chicorywick/scheduler/model.h>

#include <optional>

namespace chicorywick::entry {

/// @brief The state of a job from the controller of its cell, here or on another daemon.
struct ControllerAnswer
{
    bool isAnswered = false; ///< false: no loaded controller answered
    std::optional<scheduler::JobState> state;
};

} // namespace chicorywick::entry
