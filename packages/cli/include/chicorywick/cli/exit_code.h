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
    EndedBadly = 6,
};

/// @brief The exit code for an error of a call.
ExitCode exitCodeFor(base::Code code);

} // namespace chicorywick::cli
