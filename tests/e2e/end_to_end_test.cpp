#include "small_deployment.h"

#include <doctest/doctest.h>

#include <csignal>

namespace chicorywick::e2e {

using namespace std::chrono_literals;

// Guards against a break in any end-to-end path between separate processes: caller to upstream,
// operator to platform, job to worker, wave to instance.
TEST_CASE("requests, jobs and waves complete across separate processes")
{
    Deployment deployment({"z1", "z2"});
    startSmallDeployment(deployment);
    createPools(deployment);

    for (const auto &entry : deployment.entries()) {
        const auto response = postOrder(entry->callers, "jacks");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Request-Outcome") == "completed");
        CHECK(response->body.find("jacks") != std::string::npos);
    }

    const auto first = postOrder(deployment.entries()[0]->callers, "keyed", 0, "order-1");
    const auto repeat = postOrder(deployment.entries()[2]->callers, "keyed", 0, "order-1");
    REQUIRE(first);
    REQUIRE(repeat);
    CHECK(first->status == 200);
    CHECK(repeat->body == first->body);
    CHECK(countRuns(deployment, "keyed") == 1);

    const CliResult job = deployment.cli({"job", "submit", "press", "tiles-1", "--team", "tiles",
                                          "--payload", R"({"run_ms": 300})"});
    CAPTURE(job.err);
    REQUIRE(job.exitCode == 0);
    const CliResult done = deployment.cli({"job", "wait", "press", "tiles-1", "--for", "60"});
    CAPTURE(done.err);
    CHECK(done.exitCode == 0);
    CHECK(done.out.find("SUCCEEDED") != std::string::npos);
    CHECK(countOccurrences(deployment.taskRuns(), "tiles-1") == 1);

    const CliResult wave = deployment.cli({"wave", "create", "spring", "shop"});
    CAPTURE(wave.err);
    REQUIRE(wave.exitCode == 0);
    const CliResult ended = deployment.cli({"wave", "wait", "spring", "--for", "120"});
    CAPTURE(ended.err);
    CHECK(ended.exitCode == 0);
    CHECK(ended.out.find("COMPLETED") != std::string::npos);
}

// Guards against a planned stop that aborts a running request, and against a stopping daemon that
// still reports itself ready and receives new requests.
TEST_CASE("a daemon completes running requests after SIGTERM")
{
    Deployment deployment({"z1", "z2"});
    startSmallDeployment(deployment);
    EntryInstance &entry = *deployment.entries()[0];
    std::optional<httplib::Result> answer;
    std::thread caller([&] { answer = postOrder(entry.callers, "slow", 3000); });
    REQUIRE(waitUntil(10s, [&] { return countRuns(deployment, "slow") == 1; }));
    entry.process->signal(SIGTERM);
    entry.process->waitForLine("daemon.draining");
    httplib::Client health("127.0.0.1", entry.health);
    const auto ready = health.Get("/readyz");
    CHECK((!ready || ready->status == 503));
    const auto exit = entry.process->waitForExit(20s);
    caller.join();
    REQUIRE(answer.has_value());
    const httplib::Result &slow = *answer;
    REQUIRE(slow);
    CHECK(slow->status == 200);
    CHECK(slow->get_header_value("X-Request-Outcome") == "completed");
    REQUIRE(exit.has_value());
    CHECK(*exit == 0);
}

} // namespace chicorywick::e2e
