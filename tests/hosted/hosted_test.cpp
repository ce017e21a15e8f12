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

TEST_CASE("a job submitted at one daemon completes and every daemon knows it")
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

// Guards against accepted jobs that stand still while the store's watches are silent without an
// error, as they are for a second before its history is dropped.
TEST_CASE("a job starts while the store's watches are silent")
{
    HostedDeployment deployment(3, 2, 4);
    REQUIRE(deployment.waitUntilReady());
    REQUIRE(deployment.submit(0, "first") == 200);
    REQUIRE(completes(deployment, 0, "first"));
    deployment.setStoreFaults({.areWatchesSilent = true});
    for (int daemon = 0; daemon < 3; ++daemon) {
        const std::string id = "silent" + std::to_string(daemon);
        REQUIRE(deployment.submit(daemon, id) == 200);
        CHECK(completes(deployment, daemon, id));
    }
    CHECK(deployment.violations().empty());
}

// Guards against accepted jobs that are lost, and against tasks that run twice, when every daemon
// is killed in turn.
TEST_CASE("accepted jobs survive the kill of every daemon")
{
    HostedDeployment deployment(3, 3, 2);
    REQUIRE(deployment.waitUntilReady());
    for (int round = 0; round < 3; ++round) {
        const std::string id = "job" + std::to_string(round);
        REQUIRE(deployment.submit((round + 1) % 3, id) == 200);
        deployment.daemon(round).signal(SIGKILL);
        REQUIRE(deployment.daemon(round).waitForExit(5s));
        deployment.startDaemon(round);
    }
    REQUIRE(deployment.waitUntilReady());
    for (int round = 0; round < 3; ++round)
        CHECK(completes(deployment, 0, "job" + std::to_string(round)));
    CHECK(deployment.violations().empty());
}

TEST_CASE("a daemon that is asked to stop ends by itself within its grace")
{
    HostedDeployment deployment(2, 1, 3);
    REQUIRE(deployment.waitUntilReady());
    deployment.daemon(0).signal(SIGTERM);
    CHECK(deployment.daemon(0).waitForExit(6s) == 0);
    CHECK(deployment.submit(1, "after") == 200);
    CHECK(completes(deployment, 1, "after"));
}

TEST_CASE("while the store is down nothing is accepted, and a refusal is true")
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

// A short run of tools/soak.
TEST_CASE("kills, pauses, stops and outages break no promise")
{
    const SoakReport report = runSoak(7, 12s);
    CHECK(report.accepted > 0);
    for (const std::string &violation : report.violations)
        FAIL_CHECK(violation);
}

} // namespace chicorywick::hosted
