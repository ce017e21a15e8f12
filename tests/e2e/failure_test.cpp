#include "small_deployment.h"

#include <doctest/doctest.h>

#include <csignal>

namespace chicorywick::e2e {

using namespace std::chrono_literals;

namespace {

std::string outcomeOf(const httplib::Result &result)
{
    return result ? result->get_header_value("X-Request-Outcome") : "no response";
}

std::string codeOf(const httplib::Result &result)
{
    return result ? result->get_header_value("X-Result-Code") : "";
}

} // namespace

// Guards against a request with an idempotency key that runs without a recorded claim, and against
// a table outage that stops requests without a key, which do not need the table.
TEST_CASE("only requests without an idempotency key are served while the table is down")
{
    Deployment deployment({"z1", "z2"});
    startSmallDeployment(deployment);
    const int port = deployment.entries()[0]->callers;
    deployment.setFaults(R"({"table": {"down": true}})");
    const auto keyed = postOrder(port, "keyed-order", 0, "outage-1");
    CHECK(outcomeOf(keyed) == "not-run");
    CHECK(codeOf(keyed) == "4010");
    CHECK(outcomeOf(postOrder(port, "plain-order")) == "completed");
    CHECK(countRuns(deployment, "keyed-order") == 0);
    deployment.setFaults("{}");
    const auto repeated = postOrder(port, "keyed-order", 0, "outage-1");
    CHECK(outcomeOf(repeated) == "completed");
    CHECK(countRuns(deployment, "keyed-order") == 1);
}

// Guards against an availability zone that stops serving or misses a configuration change while it
// cannot reach the platform.
TEST_CASE("a zone without a platform connection serves and gets configuration from its peers")
{
    Deployment deployment({"z1", "z2"});
    startSmallDeployment(deployment);
    deployment.setFaults(R"({"cut_zones": ["z2"]})");
    const std::string file = deployment.writeFile(
            "config.json",
            R"({"items": [{"name": "service/shop", "service": {"slots_per_upstream": 8,
                "connections_per_upstream": 64, "queue_limit": 256, "queue_limit_per_caller": 64,
                "default_deadline_ms": 10000}}]})");
    const CliResult put = deployment.cli({"config", "put", file});
    CAPTURE(put.err);
    REQUIRE(put.exitCode == 0);

    const std::string cutOff = "127.0.0.1:" + std::to_string(deployment.entries()[2]->operators);
    const bool isInForce = waitUntil(5s, [&] {
        return deployment.cliAt(cutOff, {"status", "--json"}).out.find("\"config_version\":\"1\"")
               != std::string::npos;
    });
    CHECK(isInForce);
    const int port = deployment.entries()[2]->callers;
    CHECK(outcomeOf(postOrder(port, "plain-order")) == "completed");
    CHECK(outcomeOf(postOrder(port, "keyed-order", 0, "cut-1")) == "not-run");
    CHECK(countRuns(deployment, "keyed-order") == 0);
}

// Guards against configuration, jobs or claims that exist only in daemon memory and are lost when
// all daemons are killed at the same time.
TEST_CASE("configuration, jobs and claims survive the replacement of all entry instances")
{
    Deployment deployment({"z1", "z2"});
    startSmallDeployment(deployment);
    createPools(deployment);
    const std::string file = deployment.writeFile(
            "config.json",
            R"({"items": [{"name": "team/tiles", "team": {"quota_cpu_millis": 64000, "weight": 1}}]})");
    REQUIRE(deployment.cli({"config", "put", file}).exitCode == 0);
    REQUIRE(outcomeOf(postOrder(deployment.entries()[0]->callers, "kept-order", 0, "kept-1"))
            == "completed");
    REQUIRE(deployment
                    .cli({"job", "submit", "press", "long-1", "--team", "tiles", "--payload",
                          R"({"run_ms": 6000})"})
                    .exitCode
            == 0);
    REQUIRE(waitUntil(20s, [&] { return countOccurrences(deployment.taskRuns(), "long-1") == 1; }));

    for (const auto &entry : deployment.entries())
        entry->process->signal(SIGKILL);
    deployment.entries().clear();
    deployment.startEntry("entry-1", "z1");
    deployment.startEntry("entry-2", "z1");
    deployment.startEntry("entry-3", "z2");
    REQUIRE(deployment.waitForMembers(60s));

    CHECK(deployment.cli({"status", "--json"}).out.find("\"config_version\":\"1\"")
          != std::string::npos);
    const auto repeated = postOrder(deployment.entries()[2]->callers, "kept-order", 0, "kept-1");
    CHECK(outcomeOf(repeated) == "completed");
    CHECK(countRuns(deployment, "kept-order") == 1);
    const CliResult job = deployment.cli({"job", "wait", "press", "long-1", "--for", "90"});
    CAPTURE(job.err);
    CHECK(job.exitCode == 0);
    CHECK(countOccurrences(deployment.taskRuns(), "long-1") == 1);
}

// Guards against a wave that stalls, or an instance that stays cordoned, when the daemon that
// drives it is killed (SIGKILL) or suspended (SIGSTOP).
TEST_CASE("a wave completes although daemons are killed or suspended")
{
    Deployment deployment({"z1", "z2"});
    startSmallDeployment(deployment);
    createPools(deployment);
    REQUIRE(deployment.cli({"wave", "create", "storm", "shop"}).exitCode == 0);
    const auto hasActiveInstance = [&] {
        return deployment.cli({"wave", "show", "storm", "--json"}).out.find("\"active\":[\"")
               != std::string::npos;
    };
    REQUIRE(waitUntil(30s, hasActiveInstance));
    deployment.entries()[0]->process->signal(SIGKILL);
    deployment.entries()[1]->process->signal(SIGSTOP);
    const std::string survivor = "127.0.0.1:" + std::to_string(deployment.entries()[2]->operators);
    const CliResult ended = deployment.cliAt(survivor, {"wave", "wait", "storm", "--for", "120"});
    CAPTURE(ended.err);
    CHECK(ended.exitCode == 0);
    deployment.entries()[1]->process->signal(SIGCONT);
    const CliResult instances = deployment.cliAt(survivor, {"instance", "list", "--pool", "shop"});
    CHECK(countOccurrences(instances.out, "IN_SERVICE") == 3);
    for (const char *id : {"shop-1", "shop-2", "shop-3"})
        CHECK(deployment.bootCount(id) == 1);
}

} // namespace chicorywick::e2e
