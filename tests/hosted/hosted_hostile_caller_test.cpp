#include "hostile_callers.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

namespace chicorywick::hosted {

namespace {

constexpr int kSenders = 12;
constexpr std::size_t kBytesPerSender = 8 * 1024 * 1024;

} // namespace

// Guards against a daemon that runs out of memory, or that serves nobody else, because callers send
// parts of a request without end.
TEST_CASE("callers that send parts of a request without end do not exhaust a daemon")
{
    LimitedDeployment deployment;
    std::string start;
    std::string part;
    SUBCASE("trailers behind a chunked body")
    {
        start = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
        part = "X-Trailer: " + std::string(1'000, 'x') + "\r\n";
    }
    SUBCASE("one trailer field")
    {
        start = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: ";
        part = std::string(4'000, 'x');
    }
    SUBCASE("a chunk extension")
    {
        start = "Transfer-Encoding: chunked\r\n\r\n1;extension=";
        part = std::string(4'000, 'x');
    }
    SUBCASE("header fields")
    {
        part = "X-Header: " + std::string(1'000, 'x') + "\r\n";
    }
    SUBCASE("one header field")
    {
        start = "X-Header: ";
        part = std::string(4'000, 'x');
    }
    SUBCASE("chunks")
    {
        start = "Transfer-Encoding: chunked\r\n\r\n";
        part = "3e8\r\n" + std::string(1'000, 'x') + "\r\n";
    }
    SUBCASE("a path")
    {
        start = std::string();
        part = "/" + std::string(4'000, 'x');
    }
    HostileCallers callers;
    for (int sender = 0; sender < kSenders; ++sender) {
        callers.push_back(std::make_unique<HostileCaller>(deployment.callerPort()));
        const bool isPath = part.front() == '/';
        if (callers.back()->send(isPath ? "POST /q/" : head("endless", start)))
            callers.back()->repeat(part, kBytesPerSender);
    }
    deployment.check();
}

// Guards against a daemon whose memory grows with the number of callers that never finish a body
// within the limits, or that has no descriptors left for others.
TEST_CASE("callers that never finish their requests do not exhaust a daemon")
{
    LimitedDeployment deployment;
    const HostileCallers callers = openConnections(
            deployment.callerPort(), 250,
            head("unfinished", "Content-Length: 250000\r\n\r\n") + std::string(200'000, 'x'));
    deployment.check();
}

// Guards against a daemon that has no descriptors left because callers open connections and leave
// them.
TEST_CASE("connections that callers open and leave are bounded")
{
    LimitedDeployment deployment;
    HostileCallers callers;
    SUBCASE("without a byte")
    {
        callers = openConnections(deployment.callerPort(), 400, "");
    }
    SUBCASE("within the header")
    {
        callers = openConnections(deployment.callerPort(), 400, "POST /q/slow HTTP/1.1\r\nHost: ");
    }
    deployment.check();
}

// Guards against small bodies that decode to far more memory than they take on the wire.
TEST_CASE("bodies that decode to many objects do not exhaust a daemon")
{
    LimitedDeployment deployment;
    std::string body;
    SUBCASE("many steps")
    {
        body = R"({"spec":"x","steps":[{})";
        while (body.size() < 250'000)
            body += ",{}";
        body += "]}";
    }
    SUBCASE("deep nesting")
    {
        body = std::string(250'000, '[');
    }
    SUBCASE("pipelined requests")
    {
        body = "{}";
    }
    const std::string request =
            head("decoded", "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body;
    HostileCallers callers;
    for (int sender = 0; sender < kSenders; ++sender) {
        callers.push_back(std::make_unique<HostileCaller>(deployment.callerPort()));
        callers.back()->repeat(request, 2'000'000);
    }
    deployment.check();
}

// Guards against a daemon that counts the bytes of a request, and not the memory that it holds for
// them: parsed header fields, and the capacity of buffers.
TEST_CASE("connections that hold parsed requests do not exhaust a daemon")
{
    constexpr int kConnections = 600;
    LimitedDeployment deployment(
            {.settings = R"({"caller_buffer_kib":1024,"caller_connections":600})",
             .maxFurtherDescriptors = kConnections + 32});
    std::string text;
    SUBCASE("many header fields")
    {
        text = head("fields", "Content-Length: 10\r\n");
        while (text.size() < 15'000)
            text += "a:\r\n";
        text += "\r\n";
    }
    SUBCASE("a long chunk extension")
    {
        text = head("extension", "Transfer-Encoding: chunked\r\n\r\n1;extension=")
               + std::string(60'000, 'x') + "\r\nx\r\n";
    }
    SUBCASE("requests behind one that has no answer yet")
    {
        text = head("chunk", "Content-Length: 2\r\n\r\n{}");
        text += std::string(60'000, 'x');
    }
    const HostileCallers callers = openConnections(deployment.callerPort(), kConnections, text);
    deployment.check();
}

} // namespace chicorywick::hosted
