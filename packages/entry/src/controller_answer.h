#pragma once

#include <chicorywick/scheduler/model.h>

#include <optional>

namespace chicorywick::entry {

/// @brief What a driver knows of a job or a queue, asked for in this process or over the network.
struct ControllerAnswer
{
    bool isAnswered = false; ///< false: no driver could be asked
    std::optional<scheduler::JobState> state;
    int waiting = 0;
};

} // namespace chicorywick::entry
