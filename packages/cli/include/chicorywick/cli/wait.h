#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/cli/session.h>

#include <functional>

namespace chicorywick::cli {

/// @brief What one look at a wave or job found.
struct WaitStep
{
    bool ended = false;
    bool endedWell = false;
    /// Line shown while the wait goes on.
    std::string progress;
};

/// @brief Looks again every second until the end or the time limit; prints each change of the
/// progress line to standard error. An unreachable server is retried until the limit.
ExitCode waitForEnd(const Session &session, base::Duration limit,
                    const std::function<base::Result<WaitStep>()> &look);

} // namespace chicorywick::cli
