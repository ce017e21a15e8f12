#include "hostile_callers.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace chicorywick::hosted {

using namespace std::chrono_literals;

HostileCaller::HostileCaller(std::uint16_t port)
    : socket_(loop_)
{
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error_);
    // A daemon may stop reading without closing the connection.
    const timeval limit{.tv_sec = 2, .tv_usec = 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

bool HostileCaller::send(const std::string &text)
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

void HostileCaller::repeat(const std::string &text, std::size_t bytes)
{
    for (std::size_t sent = 0; sent < bytes && send(text); sent += text.size()) {
    }
}

void HostileCaller::awaitResponses(int count)
{
    const timeval limit{.tv_sec = 5, .tv_usec = 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const std::string statusLine = "HTTP/1.1 ";
    std::array<char, 4'096> piece{};
    std::string text;
    while (count > 0) {
        const ssize_t size = ::recv(socket_.native_handle(), piece.data(), piece.size(), 0);
        if (size <= 0)
            return;
        text.append(piece.data(), static_cast<std::size_t>(size));
        for (std::size_t at = text.find(statusLine); at != std::string::npos;
             at = text.find(statusLine)) {
            text.erase(0, at + statusLine.size());
            --count;
        }
    }
}

std::string head(const std::string &id, const std::string &fields)
{
    return "POST /q/" + id + " HTTP/1.1\r\nHost: work.example\r\n" + fields;
}

HostileCallers openConnections(std::uint16_t port, int count, const std::string &text)
{
    HostileCallers callers;
    for (int sender = 0; sender < count; ++sender) {
        callers.push_back(std::make_unique<HostileCaller>(port));
        callers.back()->send(text);
    }
    return callers;
}

LimitedDeployment::LimitedDeployment(HostileBounds bounds)
    : bounds_(std::move(bounds))
{
    deployment_.startDaemon(0, bounds_.settings);
    REQUIRE(deployment_.waitUntilReady());
    REQUIRE(deployment_.submit(0, "before") == 200);
    awaitLeadership();
    memoryBefore_ = memoryKib("VmRSS:");
    descriptorsBefore_ = descriptors();
}

void LimitedDeployment::replaceDaemon()
{
    deployment_.daemon(0).signal(SIGKILL);
    REQUIRE(deployment_.daemon(0).waitForExit(5s));
    deployment_.startDaemon(0, bounds_.settings);
    REQUIRE(deployment_.waitUntilReady());
    awaitLeadership();
}

// Until it has loaded the stored jobs, a leader takes no memory for them.
void LimitedDeployment::awaitLeadership()
{
    REQUIRE(e2e::waitUntil(60s, [this] {
        return deployment_.metrics(0).find(R"({event="leadership.ready"} 1)") != std::string::npos;
    }));
}

void LimitedDeployment::check()
{
    // The request is answered after those that came before it. What they have begun goes on for
    // some time, and takes more memory.
    CHECK(deployment_.submit(0, "after") == 200);
    std::this_thread::sleep_for(2s);
    CHECK(!deployment_.daemon(0).waitForExit(0s));
    CHECK(memoryKib("VmHWM:") - memoryBefore_ < bounds_.maxGrowthKib);
    CHECK(descriptors() < descriptorsBefore_ + bounds_.maxFurtherDescriptors);
}

std::string LimitedDeployment::processPath() const
{
    return "/proc/" + std::to_string(deployment_.daemon(0).pid());
}

std::int64_t LimitedDeployment::memoryKib(const std::string &field) const
{
    std::ifstream status(processPath() + "/status");
    std::string word;
    std::int64_t kib = 0;
    while (status >> word)
        if (word == field)
            status >> kib;
    return kib;
}

std::size_t LimitedDeployment::descriptors() const
{
    const std::filesystem::directory_iterator entries(processPath() + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace chicorywick::hosted
