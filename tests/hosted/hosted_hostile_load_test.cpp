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

} // namespace chicorywick::hosted
