#include "hostile_callers.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace chicorywick::hosted {

using namespace std::chrono_literals;

namespace {

std::string request(const std::string &method, const std::string &id)
{
    return method + " /q/" + id + " HTTP/1.1\r\nHost: work.example\r\n\r\n";
}

std::string submission(const std::string &id, const std::string &body)
{
    return head(id, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body;
}

} // namespace

// Guards against a daemon whose memory grows with the requests that wait for a store that does not
// answer.
TEST_CASE("submissions that wait for a silent store do not exhaust a daemon")
{
    constexpr int kConnections = 600;
    LimitedDeployment limited({.settings = R"({"caller_buffer_kib":1024,"caller_connections":600})",
                               .maxFurtherDescriptors = kConnections + 64});
    limited.deployment().setStoreFaults({.isSilent = true});
    std::string body = R"({"spec":")" + std::string(4'000, 'x') + R"(","steps":[{"count":1})";
    for (int number = 1; number < 200; ++number)
        body += R"(,{"count":1,"cpu":1000,"mem_mb":500,"estimated_ms":300,"requires":"label"})";
    body += "]}";
    const HostileCallers callers =
            openConnections(limited.callerPort(), kConnections, submission("waiting", body));
    // Long enough for all attempts of a submission.
    std::this_thread::sleep_for(3s);
    limited.deployment().setStoreFaults({});
    REQUIRE(e2e::waitUntil(20s, [&] { return limited.deployment().submit(0, "calm") == 200; }));
    limited.check();
}

// Guards against answers that pile up because nobody reads them.
TEST_CASE("answers that are never read do not exhaust a daemon")
{
    LimitedDeployment limited;
    std::string requests;
    SUBCASE("of states")
    {
        requests = request("GET", "before");
    }
    SUBCASE("of refusals")
    {
        requests = request("GET", "no/such/job");
    }
    HostileCallers callers;
    for (int sender = 0; sender < 12; ++sender) {
        callers.push_back(std::make_unique<HostileCaller>(limited.callerPort()));
        callers.back()->repeat(requests, 1'000'000);
    }
    limited.check();
}

// Guards against callers that spend the calls of the store, which all callers share, on jobs that
// do not exist.
TEST_CASE("unknown jobs do not use up the calls of the store")
{
    constexpr int kRequests = 4'000;
    LimitedDeployment limited;
    const StoreCalls before = limited.deployment().storeCalls();
    const auto sendAll = [&limited](const std::string &method) {
        HostileCallers callers = openConnections(limited.callerPort(), 8, "");
        for (int number = 0; number < kRequests; ++number)
            callers[static_cast<std::size_t>(number) % callers.size()]->send(
                    request(method, "none" + std::to_string(number)));
        // Connections are served in order, so the last request of each has been handled once a
        // further one is answered. The time for that does not matter.
        for (const auto &caller : callers)
            caller->awaitResponses(kRequests / static_cast<int>(callers.size()));
    };
    SUBCASE("that are asked for")
    {
        sendAll("GET");
    }
    SUBCASE("that are cancelled")
    {
        sendAll("DELETE");
    }
    const StoreCalls after = limited.deployment().storeCalls();
    CHECK(after.transactions - before.transactions < kRequests / 2);
    CHECK(after.reads - before.reads < kRequests / 2);
    limited.check();
}

// Guards against listeners with other limits than that of the callers: those of peers, of the
// balancer's probe and of the metrics.
TEST_CASE("connections to the other listeners do not exhaust a daemon")
{
    constexpr int kConnections = 300;
    LimitedDeployment limited({.settings = R"({"caller_buffer_kib":1024,"caller_connections":50,)"
                                           R"("peer_buffer_kib":4096,"peer_connections":300})",
                               .maxFurtherDescriptors = kConnections + 32});
    HostedDeployment &deployment = limited.deployment();
    std::uint16_t port = 0;
    SUBCASE("peers")
    {
        port = deployment.peerPort(0);
    }
    SUBCASE("probe")
    {
        port = deployment.readinessPort(0);
    }
    SUBCASE("metrics")
    {
        port = deployment.metricsPort(0);
    }
    const std::string unfinished = "POST /transactions HTTP/1.1\r\nHost: h\r\n"
                                   "Content-Length: 400000\r\n\r\n"
                                   + std::string(300'000, 'x');
    std::string fields = "POST /transactions HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n";
    while (fields.size() < 15'000)
        fields += "a:\r\n";
    fields += "\r\n";
    const HostileCallers unread = openConnections(port, kConnections, unfinished);
    const HostileCallers parsed = openConnections(port, kConnections, fields);
    const HostileCallers idle = openConnections(port, kConnections, "");
    HostileCallers endless;
    for (int sender = 0; sender < 4; ++sender) {
        endless.push_back(std::make_unique<HostileCaller>(port));
        endless.back()->repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 300'000);
    }
    limited.check();
    CHECK(deployment.waitUntilReady());
}

// Guards against messages to the listener for peers that end the process.
TEST_CASE("malformed messages of peers are refused")
{
    LimitedDeployment limited;
    const auto post = [](const std::string &path, const std::string &body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    const std::string deep = std::string(200'000, '[');
    std::string messages;
    for (const char *const path :
         {"/transactions", "/cells/0/rows", "/cells/0/yield", "/cells/-1/rows", "/cells/99999/rows",
          "/cells/99999999999999999999/rows", "/cells/0/jobs/", "/configuration?after=x"})
        for (const std::string &body :
             {std::string(), std::string("{}"), std::string("[1,2,3]"), std::string("[[],[],[]]"),
              std::string(R"([["a","b","c"],"{}",1e300])"),
              std::string(R"({"conditions":[],"writes":[[["x","y","z"],"v"]]})"),
              std::string(R"({"conditions":[[["x","y","z"],1]],"writes":[]})"), deep})
            messages += post(path, body);
    const HostileCallers callers = openConnections(limited.deployment().peerPort(0), 4, messages);
    for (const auto &caller : callers)
        caller->awaitResponses(60);
    limited.check();
}

} // namespace chicorywick::hosted
