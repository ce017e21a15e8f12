#include "small_deployment.h"

#include <doctest/doctest.h>

namespace chicorywick::e2e {

using namespace std::chrono_literals;

void startSmallDeployment(Deployment &deployment)
{
    deployment.startUpstream("shop-1", "z1", "shop");
    deployment.startUpstream("shop-2", "z1", "shop");
    deployment.startUpstream("shop-3", "z2", "shop");
    deployment.addWorker("worker-1", "z1", "rack-1");
    deployment.addWorker("worker-2", "z2", "rack-2");
    deployment.startEntry("entry-1", "z1");
    deployment.startEntry("entry-2", "z1");
    deployment.startEntry("entry-3", "z2");
    REQUIRE(deployment.waitForMembers(60s));
}

void createPools(const Deployment &deployment)
{
    REQUIRE(deployment.cli({"pool", "create", "shop", "--max-unavailable", "1"}).exitCode == 0);
    REQUIRE(deployment.cli({"pool", "create", "press", "--max-unavailable", "1"}).exitCode == 0);
    for (const char *id : {"shop-1", "shop-2", "shop-3"}) {
        const CliResult added = deployment.cli({"instance", "add", id, "shop", "--zone", "z1",
                                                "--rack", std::string("rack-") + id});
        CAPTURE(added.err);
        REQUIRE(added.exitCode == 0);
    }
    for (const char *id : {"worker-1", "worker-2"})
        REQUIRE(deployment.cli({"instance", "add", id, "press", "--zone", "z1", "--rack", id})
                        .exitCode
                == 0);
}

httplib::Result postOrder(int port, const std::string &body, int sleepMs, const std::string &key)
{
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(20);
    httplib::Headers headers{{"X-Caller", "e2e"}, {"X-Sleep-Ms", std::to_string(sleepMs)}};
    if (!key.empty())
        headers.emplace("Idempotency-Key", key);
    return client.Post("/shop/orders", headers, body, "text/plain");
}

std::size_t countOccurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

std::size_t countRuns(const Deployment &deployment, const std::string &body)
{
    std::size_t runs = 0;
    for (const char *id : {"shop-1", "shop-2", "shop-3"})
        runs += countOccurrences(deployment.recordedRequests(id), body);
    return runs;
}

} // namespace chicorywick::e2e
