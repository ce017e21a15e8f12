#include <chicorywick/cli/wait.h>

#include <ostream>
#include <thread>

namespace chicorywick::cli {

namespace {

constexpr base::Duration kPollInterval = std::chrono::milliseconds(500);

} // namespace

ExitCode waitForEnd(const Session &session, base::Duration limit,
                    const std::function<base::Result<WaitStep>()> &look)
{
    const base::Clock clock;
    const base::TimePoint deadline = clock.now() + limit;
    std::string shown;
    while (true) {
        const base::Result<WaitStep> step = look();
        if (!step && step.error().code != base::Code::ServerUnreachable
            && step.error().code != base::Code::PlatformUnavailable)
            return session.fail(step.error());
        const std::string progress = step ? step.value().progress : step.error().message;
        if (progress != shown) {
            session.err() << progress << '\n';
            shown = progress;
        }
        if (step && step.value().ended)
            return step.value().endedWell ? ExitCode::Ok : ExitCode::EndedBadly;
        if (clock.now() >= deadline)
            return session.fail(base::makeError(base::Code::WaitTimedOut, shown));
        std::this_thread::sleep_for(kPollInterval);
    }
}

} // namespace chicorywick::cli
