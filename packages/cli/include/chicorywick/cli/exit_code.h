#pragma once

#include <chicorywick/base/result.h>

namespace chicorywick::cli {

/// @brief Exit codes of the command line; docs/cli.md lists them.
enum class ExitCode : int {
    Ok = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
    OutcomeUnknown = 4,
    WaitTimedOut = 5,
    WaitTargetFailed = 6,
};

/// @brief Maps the error of a call to an exit code.
ExitCode exitCodeFor(base::Code code);

} // namespace chicorywick::cli
