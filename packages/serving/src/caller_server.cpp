#include "caller_server.h"

namespace chicorywick::serving {

namespace {

/// @brief The request that the current thread serves; the library does not pass it to its handlers.
struct CurrentRequest
{
    RequestSession *session = nullptr;
    MessageStream *stream = nullptr;
};

thread_local CurrentRequest current;

constexpr const char *kBodyRoute = "/";

// The library stops writing a streamed response if its listening socket is not set.
// ConnectionServer accepts the connections, so the socket itself is never used.
constexpr int kNoListenSocket = 0;

void writeClosingResponse(MessageStream &stream, base::Code code)
{
    const std::string message = makeClosingResponse(code);
    static_cast<void>(stream.write(message.data(), message.size()));
}

} // namespace

CallerServer::CallerServer(std::shared_ptr<ProxyContext> context)
    : context_(std::move(context))
{
    svr_sock_ = kNoListenSocket;
    set_payload_max_length(context_->options.maxBodyBytes);
    set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &response) {
        return handleHead(request, response);
    });
    const auto body = [this](const httplib::Request &request, httplib::Response &response,
                             const httplib::ContentReader &reader) {
        handleBody(request, response, reader);
    };
    Post(kBodyRoute, body);
    Put(kBodyRoute, body);
    Patch(kBodyRoute, body);
    Delete(kBodyRoute, body);
    set_error_handler([this](const httplib::Request &request, httplib::Response &response) {
        handleError(request, response);
    });
    set_post_routing_handler([](const httplib::Request &, httplib::Response &response) {
        current.session->finishHeaders(response);
    });
}

bool CallerServer::serveOne(CallerConnection &connection)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    connection.stream.setReadDeadline(now + context_->options.readTimeout);
    connection.stream.setWriteDeadline(now + context_->options.readTimeout);
    const auto session = std::make_shared<RequestSession>(context_, connection.socket.get());
    current = {session.get(), &connection.stream};
    bool isClosed = false;
    const bool isWritten = process_request(connection.stream, false, isClosed,
                                           [&](httplib::Request &request) { prepare(request); });
    current = {};
    // The library sends no response if it cannot read the whole request line.
    if (!session->hasReply() && connection.stream.failure() == StreamFailure::HeaderTooLarge)
        writeClosingResponse(connection.stream, base::Code::InputTooLarge);
    return isWritten && !isClosed && !session->mustClose()
           && connection.stream.failure() == StreamFailure::None;
}

// The library would apply ranges to the response, compress it, decompress the request body and
// parse forms. It is therefore given only the headers needed to read the body.
void CallerServer::prepare(httplib::Request &request) const
{
    current.session->readHead(request);
    const CallerRequest &head = current.session->request();
    httplib::Headers headers;
    if (head.isChunked)
        headers.emplace("Transfer-Encoding", "chunked");
    else
        headers.emplace("Content-Length", std::to_string(head.contentLength));
    if (current.session->mustClose())
        headers.emplace("Connection", "close");
    if (head.hasBody && !current.session->hasReply()
        && request.get_header_value("Expect") == "100-continue")
        headers.emplace("Expect", "100-continue");
    request.headers = std::move(headers);
    request.ranges.clear();
    request.path = kBodyRoute;
}

httplib::Server::HandlerResponse CallerServer::handleHead(const httplib::Request &,
                                                          httplib::Response &response)
{
    RequestSession &session = *current.session;
    if (!session.hasReply() && session.hasBody())
        return HandlerResponse::Unhandled;
    if (!session.hasReply())
        session.run();
    current.stream->setWriteDeadline(session.writeDeadline());
    session.writeTo(response);
    return HandlerResponse::Handled;
}

void CallerServer::handleBody(const httplib::Request &, httplib::Response &response,
                              const httplib::ContentReader &reader)
{
    RequestSession &session = *current.session;
    bool isTooLarge = false;
    const bool isWhole = reader([&](const char *data, std::size_t size) {
        isTooLarge = !session.appendBody(data, size);
        return !isTooLarge;
    });
    if (isTooLarge)
        session.reject(base::makeError(base::Code::InputTooLarge));
    else if (!isWhole)
        session.reject(base::makeError(base::Code::MalformedInput, "the body is incomplete"));
    else
        session.run();
    current.stream->setWriteDeadline(session.writeDeadline());
    session.writeTo(response);
}

// Handles errors that the library detects before the request reaches a handler.
void CallerServer::handleError(const httplib::Request &, httplib::Response &response)
{
    RequestSession &session = *current.session;
    if (session.hasReply())
        return;
    const bool isTooLarge = response.status == 413 || response.status == 414
                            || current.stream->failure() == StreamFailure::HeaderTooLarge;
    session.reject(
            base::makeError(isTooLarge ? base::Code::InputTooLarge : base::Code::MalformedInput));
    session.writeTo(response);
}

} // namespace chicorywick::serving
