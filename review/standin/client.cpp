#include "client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace chicorywick::review {

namespace {

using Clock = std::chrono::steady_clock;

class Socket
{
public:
    Socket()
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {}
    ~Socket() { ::close(descriptor_); }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

bool sendAll(int descriptor, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count =
                ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads until the body has the length that the header names.
Answer readAnswer(int descriptor, Clock::time_point deadline)
{
    std::string text;
    std::array<char, 4096> buffer{};
    while (true) {
        const std::size_t headEnd = text.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            constexpr std::size_t kStatusAt = 9;
            std::string head = text.substr(0, headEnd);
            std::transform(head.begin(), head.end(), head.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            const std::string name = "content-length: ";
            const std::size_t at = head.find(name);
            const std::size_t length =
                    at != std::string::npos ? std::stoul(head.substr(at + name.size())) : 0;
            const std::string body = text.substr(headEnd + 4);
            if (body.size() >= length)
                return {.status = std::stoi(head.substr(kStatusAt)), .body = body};
        }
        const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        pollfd waiting{.fd = descriptor, .events = POLLIN};
        if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0)
            return {};
        const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return {};
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

} // namespace

Answer send(const Call &call)
{
    const Clock::time_point deadline = Clock::now() + call.timeLimit;
    const Socket socket;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(call.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&address),
                  sizeof(address))
        != 0)
        return {};
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.host
                       + "\r\nX-Deadline-Ms: " + std::to_string(call.timeLimit.count())
                       + "\r\nContent-Type: application/json\r\nContent-Length: "
                       + std::to_string(call.body.size()) + "\r\nConnection: close\r\n\r\n"
                       + call.body;
    if (!sendAll(socket.descriptor(), text))
        return {};
    return readAnswer(socket.descriptor(), deadline);
}

} // namespace chicorywick::review
