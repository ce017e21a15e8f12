#include "hosted_deployment.h"

#include <boost/asio/connect.hpp>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::hosted {

namespace {

using boost::asio::ip::tcp;

// The limits of these tests. A process that keeps to them grows by a few MiB.
constexpr const char *kSettings = R"({"caller_buffer_kib":1024,"caller_connections":50})";
constexpr std::int64_t kMaxGrowthKib = 24 * 1024;
constexpr std::size_t kMaxFurtherDescriptors = 50 + 32;

constexpr int kSenders = 12;
constexpr std::size_t kBytesPerSender = 8 * 1024 * 1024;

/// @brief A connection to a daemon's listener for callers.
class HostileCaller
{
public:
    explicit HostileCaller(std::uint16_t port)
        : socket_(loop_)
    {
        socket_.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port), error_);
        // A daemon may stop reading without closing the connection.
        const timeval limit{.tv_sec = 2, .tv_usec = 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }

    /// @brief Sends a text; false once the connection is closed or not read any more.
    bool send(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(socket_.native_handle(), text.data() + sent,
                                         text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// @brief Sends a text again and again, up to a number of bytes.
    void repeat(const std::string &text, std::size_t bytes)
    {
        for (std::size_t sent = 0; sent < bytes && send(text); sent += text.size()) {
        }
    }

private:
    boost::asio::io_context loop_;
    tcp::socket socket_;
    boost::system::error_code error_;
};

using HostileCallers = std::vector<std::unique_ptr<HostileCaller>>;

std::string head(const std::string &id, const std::string &fields)
{
    return "POST /q/" + id + " HTTP/1.1\r\nHost: work.example\r\n" + fields;
}

/// @brief A deployment of one daemon with lowered limits, and its use of memory and descriptors.
class LimitedDeployment
{
public:
    LimitedDeployment()
    {
        deployment_.startDaemon(0, kSettings);
        REQUIRE(deployment_.waitUntilReady());
        REQUIRE(deployment_.submit(0, "before") == 200);
        memoryBefore_ = memoryKib("VmRSS:");
        descriptorsBefore_ = descriptors();
    }

    std::uint16_t callerPort() const { return deployment_.callerPort(0); }

    /// @brief Checks the state of the daemon while the connections of the hostile callers are still
    /// open.
    void check()
    {
        CHECK(!deployment_.daemon(0).waitForExit(std::chrono::seconds(0)));
        CHECK(memoryKib("VmHWM:") - memoryBefore_ < kMaxGrowthKib);
        CHECK(descriptors() < descriptorsBefore_ + kMaxFurtherDescriptors);
        CHECK(deployment_.submit(0, "after") == 200);
    }

private:
    std::string processPath() const
    {
        return "/proc/" + std::to_string(deployment_.daemon(0).pid());
    }
    std::int64_t memoryKib(const std::string &field) const
    {
        std::ifstream status(processPath() + "/status");
        std::string word;
        std::int64_t kib = 0;
        while (status >> word)
            if (word == field)
                status >> kib;
        return kib;
    }
    std::size_t descriptors() const
    {
        const std::filesystem::directory_iterator entries(processPath() + "/fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    mutable HostedDeployment deployment_{1, 2, 8};
    std::int64_t memoryBefore_ = 0;
    std::size_t descriptorsBefore_ = 0;
};

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
    HostileCallers callers;
    for (int sender = 0; sender < 250; ++sender) {
        callers.push_back(std::make_unique<HostileCaller>(deployment.callerPort()));
        callers.back()->send(head("unfinished", "Content-Length: 250000\r\n\r\n"));
        callers.back()->send(std::string(200'000, 'x'));
    }
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
        for (int sender = 0; sender < 400; ++sender)
            callers.push_back(std::make_unique<HostileCaller>(deployment.callerPort()));
    }
    SUBCASE("within the header")
    {
        for (int sender = 0; sender < 400; ++sender) {
            callers.push_back(std::make_unique<HostileCaller>(deployment.callerPort()));
            callers.back()->send("POST /q/slow HTTP/1.1\r\nHost: ");
        }
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

} // namespace chicorywick::hosted
