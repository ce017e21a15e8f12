#include "beast.h"
#include "message_reader.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/http/server.h>

#include <exception>
#include <memory>
#include <optional>
#include <utility>

namespace chicorywick::http {

namespace {

constexpr int kBadRequest = 400;
// Fits a typical request, so that one system call reads it.
constexpr std::size_t kReadBufferBytes = 2'048;
constexpr int kPayloadTooLarge = 413;
constexpr int kInternalError = 500;

const boost::system::error_category &kHttpCategory =
        beast::http::make_error_code(beast::http::error::end_of_stream).category();

} // namespace

struct Server::SharedState
{
    SharedState(asio::io_context &context, Handler requestHandler, ServerLimits serverLimits)
        : loop(context)
        , acceptor(context)
        , handler(std::move(requestHandler))
        , limits(serverLimits)
    {}

    asio::io_context &loop;
    Tcp::acceptor acceptor;
    Handler handler;
    ServerLimits limits;
    std::size_t inFlight = 0;
    bool isDraining = false;
};

// One connection. Its pending operations and its responder share ownership of it, because a handler
// may keep the responder after the caller has disconnected.
class Server::Session : public std::enable_shared_from_this<Server::Session>
{
public:
    Session(std::shared_ptr<SharedState> shared, Tcp::socket socket)
        : shared_(std::move(shared))
        , stream_(std::move(socket))
    {
        buffer_.reserve(kReadBufferBytes);
    }

    void read()
    {
        shrinkTo(buffer_, kReadBufferBytes);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(shared_->limits.maxHeaderBytes));
        parser_->body_limit(shared_->limits.maxBodyBytes);
        // One timeout bounds both the wait for the first byte and the rest of the request.
        stream_.expires_after(shared_->limits.idleTimeout);
        readMessage(stream_, buffer_, *parser_,
                    [self = shared_from_this()](beast::error_code error) { self->onRead(error); });
    }

private:
    void onRead(beast::error_code error)
    {
        // An oversized or malformed request still receives a response before the connection closes.
        if (error == beast::http::error::body_limit || error == beast::http::error::header_limit)
            return refuse(kPayloadTooLarge);
        const bool isMalformed = error && error != beast::http::error::end_of_stream
                                 && error != beast::http::error::partial_message
                                 && error.category() == kHttpCategory;
        if (isMalformed)
            return refuse(kBadRequest);
        if (error)
            return close();
        auto message = parser_->release();
        keepAlive_ = message.keep_alive();
        Request request{.method = std::string(message.method_string()),
                        .target = std::string(message.target()),
                        .headers = copyHeaders(message),
                        .body = std::move(message.body())};
        ++shared_->inFlight;
        stream_.expires_never();
        const auto isAnswered = std::make_shared<bool>(false);
        const Responder respond = [self = shared_from_this(), isAnswered](Response response) {
            if (std::exchange(*isAnswered, true))
                return;
            --self->shared_->inFlight;
            self->write(std::move(response));
        };
        // An unexpected error ends its own request only.
        try {
            shared_->handler(request, respond);
        } catch (const std::exception &failure) {
            base::logEvent(base::Event::RequestOutcomeUnknown, {{"method", request.method},
                                                                {"target", request.target},
                                                                {"reason", failure.what()}});
            respond(Response{.status = kInternalError});
        }
    }

    void refuse(int status)
    {
        keepAlive_ = false;
        write(Response{.status = status});
    }

    void write(Response response)
    {
        const bool closeAfterWrite = !keepAlive_ || shared_->isDraining;
        message_.emplace();
        message_->version(11);
        message_->result(static_cast<unsigned>(response.status));
        for (const auto &[name, value] : response.headers)
            message_->set(name, value);
        message_->body() = std::move(response.body);
        message_->keep_alive(!closeAfterWrite);
        message_->prepare_payload();
        stream_.expires_after(shared_->limits.writeTimeout);
        beast::http::async_write(
                stream_, *message_,
                [self = shared_from_this(), closeAfterWrite](beast::error_code error, std::size_t) {
                    self->message_.reset();
                    if (error || closeAfterWrite)
                        return self->close();
                    self->read();
                });
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        stream_.close();
    }

    std::shared_ptr<SharedState> shared_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
    std::optional<beast::http::response<beast::http::string_body>> message_;
    bool keepAlive_ = true;
};

Server::Server(asio::io_context &loop, Handler handler, ServerLimits limits)
    : shared_(std::make_shared<SharedState>(loop, std::move(handler), limits))
{}

Server::~Server()
{
    beast::error_code ignored;
    shared_->acceptor.close(ignored);
}

base::Result<void> Server::listen(const Endpoint &endpoint)
{
    beast::error_code error;
    const Tcp::endpoint local(asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (!error)
        shared_->acceptor.open(local.protocol(), error);
    if (!error)
        shared_->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        shared_->acceptor.bind(local, error);
    if (!error)
        shared_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        shared_->acceptor.non_blocking(true, error);
    if (error)
        return base::makeError(base::Code::ListenerUnavailable,
                               endpoint.host + ":" + std::to_string(endpoint.port) + ": "
                                       + error.message());
    accept();
    return base::ok();
}

std::uint16_t Server::port() const
{
    return shared_->acceptor.local_endpoint().port();
}

void Server::drain()
{
    shared_->isDraining = true;
}

std::size_t Server::inFlight() const
{
    return shared_->inFlight;
}

// All connections that have arrived are accepted now: with one accept a turn, they would wait for
// the other events of a busy loop.
void Server::accept()
{
    shared_->acceptor.async_accept(
            [this, shared = shared_](beast::error_code error, Tcp::socket socket) {
                while (!error) {
                    beast::error_code ignored;
                    socket.set_option(Tcp::no_delay(true), ignored);
                    socket.non_blocking(true, ignored);
                    std::make_shared<Session>(shared, std::move(socket))->read();
                    socket = shared->acceptor.accept(error);
                }
                if (error != asio::error::operation_aborted && shared->acceptor.is_open())
                    accept();
            });
}

} // namespace chicorywick::http
