#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/cli/session.h>

#include <functional>

namespace chicorywick::cli {

/// @brief Status of a wave or job as of one poll.
struct WaitStatus
{
    bool ended = false;
    bool succeeded = false;
    /// Line that describes the current progress.
    std::string progress;
};

/// @brief Polls every 500 ms until the wave or job has ended or the time limit is reached. Prints
/// each change of the progress line to standard error. Retries while the server or the platform is
/// unavailable; any other error ends the wait.
ExitCode waitForEnd(const Session &session, base::Duration limit,
                    const std::function<base::Result<WaitStatus>()> &poll);

} // namespace chicorywick::cli
