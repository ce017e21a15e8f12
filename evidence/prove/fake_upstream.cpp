#include "evidence/prove/fake_upstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace chicorywick::prove {

namespace {

constexpr auto kFaultNames = std::to_array<std::string_view>(
        {"none", "chunked-response", "own-error", "no-content", "slow-body", "refuse",
         "reset-before-run", "reset-after-run", "close-before-response", "reset-after-first-byte",
         "close-in-head", "truncate-body", "truncate-chunked", "late-response",
         "close-after-response", "response-without-length", "garbage", "extra-bytes"});

bool sendAll(int fd, std::string_view data)
{
    while (!data.empty()) {
        const ssize_t count = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void resetConnection(int fd)
{
    const linger abortive{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
}

std::string headerValue(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string head(int status, const std::string &id, std::size_t size, const std::string &framing)
{
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\nX-For: " + id + "\r\nX-Size: "
           + std::to_string(size) + "\r\nContent-Type: text/plain\r\n" + framing + "\r\n";
}

std::string lengthHead(int status, const std::string &id, std::size_t size)
{
    return head(status, id, size, "Content-Length: " + std::to_string(size) + "\r\n");
}

std::string chunks(const std::string &body)
{
    constexpr std::size_t kChunk = 5000;
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += kChunk) {
        const std::string part = body.substr(at, kChunk);
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
        text += size.data() + part + "\r\n";
    }
    return text;
}

} // namespace

std::string bodyFor(const std::string &id, std::size_t size)
{
    const std::string unit = id + ';';
    std::string body;
    body.reserve(size + unit.size());
    while (body.size() < size)
        body += unit;
    body.resize(size);
    return body;
}

std::string faultName(UpstreamFault fault)
{
    return std::string(kFaultNames.at(static_cast<std::size_t>(fault)));
}

std::string traceOf(const std::vector<UpstreamRecord> &records, const std::string &id)
{
    std::string text;
    for (const UpstreamRecord &record : records) {
        if (record.id == id)
            text += "  upstream " + record.upstream + ": " + faultName(record.fault)
                    + (record.ran ? ", ran" : ", did not run") + '\n';
    }
    return text.empty() ? "  no upstream received it\n" : text;
}

FakeUpstream::FakeUpstream(std::string name, std::uint64_t seed, UpstreamPlan plan)
    : name_(std::move(name))
    , plan_(plan)
    , rng_(seed)
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    auto *genericAddress = reinterpret_cast<sockaddr *>(&address);
    if (::bind(listener_, genericAddress, length) != 0 || ::listen(listener_, 128) != 0
        || ::getsockname(listener_, genericAddress, &length) != 0)
        std::abort();
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { acceptLoop(); });
}

FakeUpstream::~FakeUpstream()
{
    shutDown();
}

serving::UpstreamTarget FakeUpstream::target() const
{
    return {.id = name_, .host = "127.0.0.1", .port = port_, .zone = "a"};
}

std::vector<UpstreamRecord> FakeUpstream::records() const
{
    const std::lock_guard lock(mutex_);
    return records_;
}

std::size_t FakeUpstream::openConnections() const
{
    const std::lock_guard lock(mutex_);
    return connections_.size();
}

void FakeUpstream::shutDown()
{
    if (!acceptor_.joinable())
        return;
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (auto &[fd, thread] : connections_) {
            ::shutdown(fd, SHUT_RDWR);
            threads.push_back(std::move(thread));
        }
        connections_.clear();
    }
    stopped_.notify_all();
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    for (std::thread &thread : threads)
        thread.join();
    for (std::thread &thread : finished_)
        thread.join();
}

void FakeUpstream::acceptLoop()
{
    while (!stopping_) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            ::close(fd);
            return;
        }
        connections_[fd] = std::thread([this, fd] { serveConnection(fd); });
    }
}

void FakeUpstream::serveConnection(int fd)
{
    const int enable = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    std::string buffer;
    ReceivedRequest request;
    while (!stopping_ && receive(fd, buffer, request)) {
        const UpstreamFault fault = drawFault();
        waitUnlessStopping(plan_.serviceTime);
        // Extra bytes must arrive together with the response. Bytes that arrive later are
        // indistinguishable from the response to the next request.
        const std::size_t limit = fault == UpstreamFault::ExtraBytes ? 300 : plan_.maxBodyBytes;
        if (!respond(fd, request, fault, std::min(drawSize(), limit)))
            break;
    }
    const std::lock_guard lock(mutex_);
    // Removes the entry before closing the descriptor, because a closed descriptor may be reused.
    const auto found = connections_.find(fd);
    if (found != connections_.end()) {
        finished_.push_back(std::move(found->second));
        connections_.erase(found);
    }
    ::close(fd);
}

bool FakeUpstream::receive(int fd, std::string &buffer, ReceivedRequest &request)
{
    std::array<char, 16384> part{};
    const auto readMore = [&] {
        const ssize_t count = ::recv(fd, part.data(), part.size(), 0);
        if (count > 0)
            buffer.append(part.data(), static_cast<std::size_t>(count));
        return count > 0;
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore())
            return false;
    }
    const std::string head = buffer.substr(0, end + 2);
    request.method = head.substr(0, head.find(' '));
    request.id = headerValue(head, "X-Id");
    const std::string length = headerValue(head, "Content-Length");
    request.bodyBytes = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < end + 4 + request.bodyBytes) {
        if (!readMore())
            return false;
    }
    buffer.erase(0, end + 4 + request.bodyBytes);
    return true;
}

UpstreamFault FakeUpstream::drawFault()
{
    const std::lock_guard lock(mutex_);
    if (rng_.below(100) >= plan_.faultPercent)
        return UpstreamFault::None;
    return static_cast<UpstreamFault>(1 + rng_.below(kFaultNames.size() - 1));
}

std::size_t FakeUpstream::drawSize()
{
    const std::lock_guard lock(mutex_);
    return rng_.chance(0.3) ? rng_.below(plan_.maxBodyBytes) : rng_.below(300);
}

void FakeUpstream::record(const std::string &id, UpstreamFault fault, bool ran)
{
    const std::lock_guard lock(mutex_);
    records_.push_back({id, name_, fault, ran});
}

void FakeUpstream::waitUnlessStopping(std::chrono::milliseconds time)
{
    std::unique_lock lock(mutex_);
    stopped_.wait_for(lock, time, [this] { return stopping_.load(); });
}

// Returns whether the connection stays open.
bool FakeUpstream::respond(int fd, const ReceivedRequest &request, UpstreamFault fault,
                           std::size_t size)
{
    const bool ran = fault != UpstreamFault::Refuse && fault != UpstreamFault::ResetBeforeRun;
    record(request.id, fault, ran);
    const std::string body = request.method == "HEAD" ? "" : bodyFor(request.id, size);
    const std::string whole = lengthHead(200, request.id, size) + body;
    switch (fault) {
    case UpstreamFault::None:
        return sendAll(fd, whole);
    case UpstreamFault::ChunkedResponse:
        return sendAll(fd, head(200, request.id, size, "Transfer-Encoding: chunked\r\n")
                                   + (body.empty() ? "" : chunks(body))
                                   + (request.method == "HEAD" ? "" : "0\r\n\r\n"));
    case UpstreamFault::OwnError:
        return sendAll(fd, lengthHead(size % 2 == 0 ? 404 : 500, request.id, size) + body);
    case UpstreamFault::NoContent:
        return sendAll(fd, head(204, request.id, 0, ""));
    case UpstreamFault::SlowBody:
        if (!sendAll(fd, whole.substr(0, whole.size() / 2)))
            return false;
        waitUnlessStopping(plan_.lateResponseDelay / 5);
        return sendAll(fd, whole.substr(whole.size() / 2));
    case UpstreamFault::Refuse:
        return sendAll(fd, "HTTP/1.1 503 Busy\r\nX-Request-Outcome: not-run\r\nContent-Length: "
                           "0\r\n\r\n");
    case UpstreamFault::ResetBeforeRun:
    case UpstreamFault::ResetAfterRun:
        resetConnection(fd);
        return false;
    case UpstreamFault::CloseBeforeResponse:
        return false;
    case UpstreamFault::ResetAfterFirstByte:
        sendAll(fd, whole.substr(0, 1));
        waitUnlessStopping(std::chrono::milliseconds(2));
        resetConnection(fd);
        return false;
    case UpstreamFault::CloseInHead:
        sendAll(fd, whole.substr(0, 30));
        return false;
    case UpstreamFault::TruncateBody:
        sendAll(fd, lengthHead(200, request.id, size + 1) + body);
        return false;
    case UpstreamFault::TruncateChunked:
        sendAll(fd, head(200, request.id, size, "Transfer-Encoding: chunked\r\n")
                            + (body.empty() ? "" : chunks(body)));
        return false;
    case UpstreamFault::LateResponse:
        waitUnlessStopping(plan_.lateResponseDelay);
        return sendAll(fd, whole);
    case UpstreamFault::CloseAfterResponse:
        sendAll(fd, whole);
        return false;
    case UpstreamFault::ResponseWithoutLength:
        sendAll(fd, head(200, request.id, size, "") + body);
        return false;
    case UpstreamFault::Garbage:
        sendAll(fd, "This is not HTTP\r\n\r\n");
        return false;
    case UpstreamFault::ExtraBytes:
        return sendAll(fd, whole + lengthHead(200, "nobody", 3) + "no;");
    }
    return false;
}

} // namespace chicorywick::prove
