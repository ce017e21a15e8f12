#include <chicorywick/cli/wait.h>

#include <ostream>
#include <thread>

namespace chicorywick::cli {

namespace {

constexpr base::Duration kPollInterval = std::chrono::milliseconds(500);

} // namespace

ExitCode waitForEnd(const Session &session, base::Duration limit,
                    const std::function<base::Result<WaitStatus>()> &poll)
{
    const base::Clock clock;
    const base::TimePoint deadline = clock.now() + limit;
    std::string shown;
    while (true) {
        const base::Result<WaitStatus> pollResult = poll();
        if (!pollResult && pollResult.error().code != base::Code::ServerUnreachable
            && pollResult.error().code != base::Code::PlatformUnavailable)
            return session.fail(pollResult.error());
        const std::string progress =
                pollResult ? pollResult.value().progress : pollResult.error().message;
        if (progress != shown) {
            session.err() << progress << '\n';
            shown = progress;
        }
        if (pollResult && pollResult.value().ended)
            return pollResult.value().succeeded ? ExitCode::Ok : ExitCode::WaitTargetFailed;
        if (clock.now() >= deadline)
            return session.fail(base::makeError(base::Code::WaitTimedOut, shown));
        std::this_thread::sleep_for(kPollInterval);
    }
}

} // namespace chicorywick::cli
