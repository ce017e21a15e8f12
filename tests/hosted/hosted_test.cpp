#include "hosted_deployment.h"
#include "soak.h"

#include <doctest/doctest.h>

#include <csignal>

namespace chicorywick::hosted {

using namespace std::chrono_literals;

namespace {

bool completes(const HostedDeployment &deployment, int daemon, const std::string &id)
{
    return e2e::waitUntil(20s, [&] { return deployment.stateOf(daemon, id) == "completed"; });
}

} // namespace

// Guards against jobs that only the cell of one daemon can run or report, and against cells that
// nobody leads after their leader was killed.
TEST_CASE("jobs of all cells complete, also after the leaders of cells are killed")
{
    HostedDeployment deployment(4, 6, 5, 2);
    REQUIRE(deployment.waitUntilReady());
    for (int round = 0; round < 3; ++round) {
        for (int job = 0; job < 12; ++job)
            CHECK(deployment.submit(job % 4,
                                    "r" + std::to_string(round) + "j" + std::to_string(job))
                  == 200);
        deployment.daemon(round).signal(SIGKILL);
        REQUIRE(deployment.daemon(round).waitForExit(5s));
        deployment.startDaemon(round);
        REQUIRE(deployment.waitUntilReady());
        for (int job = 0; job < 12; ++job)
            CHECK(completes(deployment, job % 4,
                            "r" + std::to_string(round) + "j" + std::to_string(job)));
    }
    CHECK(deployment.violations().empty());
}

// Guards against job state that only the accepting daemon can report, and against a repeated
// submission to another daemon that is refused or runs the job again.
TEST_CASE("a job submitted to one daemon completes and every daemon reports its state")
{
    HostedDeployment deployment(3, 2, 1);
    REQUIRE(deployment.waitUntilReady());
    CHECK(deployment.submit(0, "a") == 200);
    CHECK(deployment.submit(1, "a") == 200);
    for (int daemon = 0; daemon < 3; ++daemon)
        CHECK(completes(deployment, daemon, "a"));
    CHECK(!deployment.stateOf(0, "unknown"));
    CHECK(deployment.violations().empty());
}

// Guards against accepted jobs that do not start while the store's watches report no changes and no
// error. The store does this for one second before it drops its history.
TEST_CASE("a job starts while the store's watches report no changes")
{
    HostedDeployment deployment(3, 2, 4);
    REQUIRE(deployment.waitUntilReady());
    REQUIRE(deployment.submit(0, "first") == 200);
    REQUIRE(completes(deployment, 0, "first"));
    deployment.setStoreFaults({.areWatchesStalled = true});
    for (int daemon = 0; daemon < 3; ++daemon) {
        const std::string id = "silent" + std::to_string(daemon);
        REQUIRE(deployment.submit(daemon, id) == 200);
        CHECK(completes(deployment, daemon, id));
    }
    CHECK(deployment.violations().empty());
}

// Guards against accepted jobs that are lost, and against tasks that run twice, when the daemons
// are killed and restarted one after the other.
TEST_CASE("accepted jobs complete after every daemon was killed and restarted")
{
    HostedDeployment deployment(3, 3, 2);
    REQUIRE(deployment.waitUntilReady());
    for (int round = 0; round < 3; ++round) {
        const std::string id = "job" + std::to_string(round);
        // A daemon that was just restarted listens a moment later; the caller tries again.
        REQUIRE(e2e::waitUntil(10s, [&] { return deployment.submit((round + 1) % 3, id) == 200; }));
        deployment.daemon(round).signal(SIGKILL);
        REQUIRE(deployment.daemon(round).waitForExit(5s));
        deployment.startDaemon(round);
    }
    REQUIRE(deployment.waitUntilReady());
    for (int round = 0; round < 3; ++round)
        CHECK(completes(deployment, 0, "job" + std::to_string(round)));
    CHECK(deployment.violations().empty());
}

// Guards against a daemon that hangs or fails on SIGTERM, and against a stop that affects
// submissions to the other daemon.
TEST_CASE("a daemon exits within its stop grace period after SIGTERM")
{
    HostedDeployment deployment(2, 1, 3);
    REQUIRE(deployment.waitUntilReady());
    deployment.daemon(0).signal(SIGTERM);
    CHECK(deployment.daemon(0).waitForExit(6s) == 0);
    CHECK(deployment.submit(1, "after") == 200);
    CHECK(completes(deployment, 1, "after"));
}

// Guards against a submission that is accepted without a store, and against a refused one that runs
// once the store is back.
TEST_CASE("a submission refused while the store is down leaves no job")
{
    HostedDeployment deployment(2, 1, 4);
    REQUIRE(deployment.waitUntilReady());
    deployment.setStoreFaults({.isDown = true});
    CHECK(deployment.submit(0, "refused") == 503);
    deployment.setStoreFaults({});
    CHECK(e2e::waitUntil(10s, [&] { return deployment.submit(0, "later") == 200; }));
    CHECK(completes(deployment, 0, "later"));
    CHECK(!deployment.stateOf(0, "refused"));
}

// Guards against lost jobs and tasks that run twice when daemon, runner and store faults overlap.
// The faults are random with a fixed seed; tools/soak runs the same for longer.
TEST_CASE("overlapping kills, pauses, stops and outages violate no guarantee")
{
    const SoakReport report = runSoak({.seed = 7, .duration = 12s});
    CHECK(report.accepted > 0);
    for (const std::string &violation : report.violations)
        FAIL_CHECK(violation);
}

// Guards against an account that runs more than its limit in several cells, or whose jobs never
// end, while leaders are killed and paused and the store and runners fail.
TEST_CASE("the tasks of an account stay within its limit through kills and outages")
{
    const SoakReport report = runSoak({.seed = 11, .duration = 12s, .accountLimit = 3});
    CHECK(report.acceptedLimited > 0);
    for (const std::string &violation : report.violations)
        FAIL_CHECK(violation);
}

} // namespace chicorywick::hosted
