#include <chicorywick/cli/exit_code.h>

namespace chicorywick::cli {

ExitCode exitCodeFor(base::Code code)
{
    switch (code) {
    case base::Code::UsageError:
        return ExitCode::Usage;
    case base::Code::ServerUnreachable:
        return ExitCode::Unreachable;
    case base::Code::PlatformUnknownOutcome:
        return ExitCode::OutcomeUnknown;
    case base::Code::WaitTimedOut:
        return ExitCode::WaitTimedOut;
    default:
        return ExitCode::Refused;
    }
}

} // namespace chicorywick::cli
