#include "hosted_deployment.h"

#include <doctest/doctest.h>

#include <csignal>

namespace chicorywick::hosted {

using namespace std::chrono_literals;

namespace {

constexpr int kDaemons = 3;
constexpr int kRunners = 6;
constexpr int kOrdinaryJobs = 20;
constexpr int kCrashingJobs = 4;
constexpr auto kRunnerDownTime = 1s;
// Five starts of a task, each lost after the longest lease (6 s) at the latest, and two changes of
// the leader of at most 5 s.
constexpr auto kFailedWithin = 40s;

// Returns the number of the killed daemon.
int killLeader(HostedDeployment &deployment)
{
    const int leader = deployment.leader();
    REQUIRE(leader >= 0);
    deployment.daemon(leader).signal(SIGKILL);
    REQUIRE(deployment.daemon(leader).waitForExit(5s));
    return leader;
}

// Polls faster than a task needs to crash its runner.
template <typename Condition>
bool waitClosely(Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

std::string idOf(const char *prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace

// Guards against endless starts of a task that crashes its runners, also when the leaders that saw
// the crashes are killed, and against ordinary jobs that are given up because they ran beside it.
TEST_CASE("a job that crashes its runners fails and ordinary jobs beside it complete")
{
    HostedDeployment deployment(kDaemons, kRunners, 6, 280, kRunnerDownTime);
    REQUIRE(deployment.waitUntilReady());
    const auto submitOrdinary = [&deployment](int first) {
        for (int job = first; job < first + kOrdinaryJobs / 2; ++job)
            REQUIRE(deployment.submit(job % kDaemons, idOf("ordinary", job)) == 200);
    };
    const auto submitCrashing = [&deployment](int first) {
        for (int job = first; job < first + kCrashingJobs / 2; ++job)
            REQUIRE(deployment.submitCrashing(job % kDaemons, idOf("crashing", job)) == 200);
    };

    // The restarted daemon leads again at once, because it holds the leader row under its name.
    submitOrdinary(0);
    const int starts = deployment.crashingTaskStarts();
    submitCrashing(0);
    CHECK(waitClosely([&] { return deployment.crashingTaskStarts() > starts; }));
    deployment.startDaemon(killLeader(deployment));
    REQUIRE(deployment.waitUntilReady());

    // Another daemon takes over while the killed one is down.
    submitOrdinary(kOrdinaryJobs / 2);
    const int crashes = deployment.crashes();
    submitCrashing(kCrashingJobs / 2);
    const auto deadline = std::chrono::steady_clock::now() + kFailedWithin;
    CHECK(waitClosely([&] { return deployment.crashes() > crashes; }));
    const int killed = killLeader(deployment);
    CHECK(e2e::waitUntil(10s, [&] { return deployment.leader() != killed; }));
    deployment.startDaemon(killed);
    REQUIRE(deployment.waitUntilReady());

    const auto awaitState = [&](const std::string &id, const std::string &state) {
        const auto left = std::chrono::duration_cast<std::chrono::seconds>(
                deadline - std::chrono::steady_clock::now());
        CHECK_MESSAGE(e2e::waitUntil(left, [&] { return deployment.stateOf(0, id) == state; }), id,
                      " is not ", state, " in time");
    };
    for (int job = 0; job < kOrdinaryJobs; ++job)
        awaitState(idOf("ordinary", job), "completed");
    for (int job = 0; job < kCrashingJobs; ++job)
        awaitState(idOf("crashing", job), "failed");
    for (const std::string &violation : deployment.violations())
        FAIL_CHECK(violation);
}

} // namespace chicorywick::hosted
