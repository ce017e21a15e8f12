#include "upstream_connection.h"

#include "header_rules.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace chicorywick::serving {

namespace {

constexpr HeaderLimits kResponseLimits{.maxHeaderBytes = 64UL * 1024, .maxFirstLineBytes = 1024};
constexpr int kFirstFinalStatus = 200;

bool isConnected(int fd)
{
    int error = 0;
    socklen_t length = sizeof error;
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
}

bool hasNoBody(const std::string &method, int status)
{
    return method == "HEAD" || status == 204 || status == 304;
}

} // namespace

FileDescriptor connectTo(const UpstreamTarget &target, const ExchangeLimits &limits,
                         ExchangeFacts &facts)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(target.port));
    if (::inet_pton(AF_INET, target.host.c_str(), &address.sin_addr) != 1)
        return {};
    FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen())
        return {};
    const int on = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        if (errno != EINPROGRESS)
            return {};
        const WaitResult result =
                waitFor(socket.get(), POLLOUT, limits.deadline, limits.callerSocket);
        facts.timedOut = result == WaitResult::TimedOut;
        facts.callerDisconnected = result == WaitResult::PeerDisconnected;
        if (result != WaitResult::Ready || !isConnected(socket.get()))
            return {};
    }
    facts.connected = true;
    return socket;
}

/// @brief Exposes the request and response functions of cpp-httplib's client. UpstreamConnection
/// manages the sockets itself to record exactly what each attempt sent and received.
class UpstreamConnection::Protocol : public httplib::ClientImpl
{
public:
    Protocol()
        : ClientImpl("127.0.0.1", 0)
    {
        set_url_encode(false);
        set_decompress(false);
        set_keep_alive(true);
    }

    bool perform(MessageStream &stream, httplib::Request &request, httplib::Response &response)
    {
        httplib::Error error = httplib::Error::Success;
        return process_request(stream, request, response, false, error);
    }
};

UpstreamConnection::UpstreamConnection(FileDescriptor socket)
    : socket_(std::move(socket))
    , stream_(socket_.get(), StreamRole::Client, kResponseLimits)
    , protocol_(std::make_unique<Protocol>())
{}

UpstreamConnection::~UpstreamConnection() = default;

void UpstreamConnection::recordStreamState(ExchangeFacts &facts) const
{
    facts.bytesSent = stream_.bytesSent();
    facts.bytesReceived = stream_.bytesReceived();
    facts.timedOut = stream_.failure() == StreamFailure::TimedOut;
    facts.callerDisconnected = stream_.failure() == StreamFailure::PeerDisconnected;
    facts.tooLarge = facts.tooLarge || stream_.failure() == StreamFailure::HeaderTooLarge;
}

void UpstreamConnection::readHeadFields(const httplib::Response &response, ResponseHead &head)
{
    head.status = response.status;
    head.headers = response.headers;
    mayPersist_ =
            response.version == "HTTP/1.1" && !listsToken(response.headers, "Connection", "close");
}

ResponseHead UpstreamConnection::exchange(const OutgoingRequest &outgoing,
                                          const ExchangeLimits &limits, ExchangeFacts &facts)
{
    ResponseHead head;
    bodyBytesLeft_ = 0;
    mayPersist_ = false;
    stream_.beginMessage();
    stream_.setReadDeadline(limits.deadline);
    stream_.setWriteDeadline(limits.deadline);
    stream_.setWatched(limits.callerSocket);

    httplib::Request request;
    request.method = outgoing.method;
    request.path = outgoing.target;
    request.headers = outgoing.headers;
    request.body = outgoing.body;
    BodyFraming framing = BodyFraming::None;
    // The library reads only chunked bodies; readBody() reads bodies of known length and can stream
    // them.
    request.response_handler = [&](const httplib::Response &response) {
        framing = hasNoBody(outgoing.method, response.status) ? BodyFraming::None
                                                              : framingOf(response.headers);
        return framing == BodyFraming::Chunked;
    };
    request.content_receiver = [&](const char *data, size_t size, uint64_t, uint64_t) {
        if (!limits.mayBuffer(size)) {
            facts.tooLarge = true;
            return false;
        }
        head.chunkedBody.append(data, size);
        return true;
    };

    httplib::Response response;
    const bool isRead = protocol_->perform(stream_, request, response);
    recordStreamState(facts);
    facts.connected = true;
    facts.headComplete = stream_.isInBody() && response.status >= kFirstFinalStatus;
    if (!facts.headComplete)
        return head;
    readHeadFields(response, head);
    head.isBodyless = hasNoBody(outgoing.method, response.status);
    if (head.isBodyless) {
        facts.bodyComplete = true;
    } else if (framing == BodyFraming::Chunked) {
        facts.bodyComplete = isRead;
    } else if (framing == BodyFraming::Length) {
        head.contentLength = contentLengthOf(response.headers);
        bodyBytesLeft_ = head.contentLength.value_or(0);
        facts.bodyComplete = bodyBytesLeft_ == 0;
    }
    if (!facts.bodyComplete && framing != BodyFraming::Length)
        mayPersist_ = false;
    return head;
}

std::size_t UpstreamConnection::readBody(char *data, std::size_t size, ExchangeFacts &facts)
{
    const std::size_t wanted =
            static_cast<std::size_t>(std::min<std::uint64_t>(size, bodyBytesLeft_));
    const ssize_t count = wanted == 0 ? 0 : stream_.read(data, wanted);
    if (count > 0)
        bodyBytesLeft_ -= static_cast<std::uint64_t>(count);
    recordStreamState(facts);
    facts.bodyComplete = bodyBytesLeft_ == 0;
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

bool UpstreamConnection::isReusable() const
{
    return mayPersist_ && bodyBytesLeft_ == 0 && stream_.failure() == StreamFailure::None
           && !stream_.hasBufferedBytes() && !isStale();
}

bool UpstreamConnection::isStale() const
{
    return isReadableNow(socket_.get());
}

} // namespace chicorywick::serving
