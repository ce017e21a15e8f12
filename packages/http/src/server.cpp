#include "beast.h"
#include "message_reader.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/http/server.h>

#include <array>
#include <chrono>
#include <exception>
#include <list>
#include <memory>
#include <optional>
#include <utility>

namespace chicorywick::http {

namespace {

constexpr int kBadRequest = 400;
// Fits a typical request, so that one system call reads it.
constexpr std::size_t kReadBufferBytes = 2'048;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr auto kReportPeriod = std::chrono::seconds(1);

const boost::system::error_category &kHttpCategory =
        beast::http::make_error_code(beast::http::error::end_of_stream).category();

} // namespace

/// @brief The limit for which a connection was closed or a request refused.
enum class Bound { Bytes, Connections };

// State of the listener that its sessions share.
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
    std::size_t connections = 0;
    std::size_t bufferedBytes = 0;
    std::list<Session *> idle;    ///< wait for a request; the longest wait first
    std::list<Session *> reading; ///< have read a part of a request; the oldest one first

    /// Closes the session that has waited for its caller for longest; returns false if there is
    /// none.
    bool closeOldest(std::list<Session *> &sessions, Bound bound);
    void report(Bound bound);

private:
    struct Report
    {
        std::chrono::steady_clock::time_point at;
        int count = 0;
    };
    std::array<Report, 2> reports_;
};

// At most one line a second, so that the log does not grow with the number of callers.
void Server::SharedState::report(Bound bound)
{
    Report &report = reports_.at(static_cast<std::size_t>(bound));
    ++report.count;
    const auto now = std::chrono::steady_clock::now();
    if (now - report.at < kReportPeriod)
        return;
    report.at = now;
    base::logEvent(base::Event::ConnectionClosed,
                   {{"limit", bound == Bound::Bytes ? "bytes" : "connections"},
                    {"count", std::to_string(std::exchange(report.count, 0))},
                    {"connections", std::to_string(connections)},
                    {"buffered_bytes", std::to_string(bufferedBytes)}});
}

// One connection. Its pending operations and its responder share ownership of it, because a handler
// may keep the responder after the caller has disconnected.
class Server::Session : public std::enable_shared_from_this<Server::Session>
{
public:
    Session(std::shared_ptr<SharedState> shared, Tcp::socket socket)
        : shared_(std::move(shared))
        , stream_(std::move(socket))
        , buffer_(maxBufferSize(shared_->limits.maxHeaderBytes))
    {
        buffer_.reserve(kReadBufferBytes);
        ++shared_->connections;
    }
    ~Session()
    {
        enter(Phase::Handling);
        count(0);
        --shared_->connections;
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        count(0);
        enter(Phase::Idle);
        shrinkTo(buffer_, kReadBufferBytes);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(shared_->limits.maxHeaderBytes));
        parser_->body_limit(shared_->limits.maxBodyBytes);
        // One timeout bounds both the wait for the first byte and the rest of the request.
        stream_.expires_after(shared_->limits.idleTimeout);
        readMessage(
                stream_, buffer_, *parser_,
                [self = shared_from_this()] { return self->onProgress(); },
                [self = shared_from_this()](beast::error_code error) { self->onRead(error); });
    }

    /// @brief Closes the connection without a response. The pending read ends later.
    void abort()
    {
        enter(Phase::Handling);
        count(0);
        isAborted_ = true;
        stream_.close();
    }

private:
    enum class Phase { Idle, Reading, Handling };

    // The sessions whose caller is awaited are listed, in order of the beginning of the wait.
    void enter(Phase phase)
    {
        if (phase == phase_)
            return;
        if (phase_ != Phase::Handling)
            listOf(phase_).erase(position_);
        phase_ = phase;
        if (phase_ != Phase::Handling)
            position_ = listOf(phase_).insert(listOf(phase_).end(), this);
    }

    std::list<Session *> &listOf(Phase phase)
    {
        return phase == Phase::Idle ? shared_->idle : shared_->reading;
    }

    void count(std::size_t bytes)
    {
        shared_->bufferedBytes = shared_->bufferedBytes - countedBytes_ + bytes;
        countedBytes_ = bytes;
    }

    // Returns false if this session was closed, because of the bytes that all requests take.
    bool onProgress()
    {
        if (isAborted_)
            return false;
        enter(Phase::Reading);
        count(buffer_.size() + parser_->get().body().capacity());
        closeOldestOverLimit();
        return !isAborted_;
    }

    void closeOldestOverLimit()
    {
        while (shared_->bufferedBytes > shared_->limits.maxBufferedBytes
               && shared_->closeOldest(shared_->reading, Bound::Bytes)) {
        }
    }

    void onRead(beast::error_code error)
    {
        if (isAborted_)
            return;
        enter(Phase::Handling);
        // An oversized or malformed request still receives a response before the connection closes.
        if (error == beast::http::error::body_limit || error == beast::http::error::header_limit)
            return refuse(kPayloadTooLarge);
        if (error == beast::http::error::buffer_overflow)
            return refuse(kHeaderTooLarge);
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
        count(request.body.size());
        closeOldestOverLimit();
        if (shared_->bufferedBytes > shared_->limits.maxBufferedBytes) {
            shared_->report(Bound::Bytes);
            return refuse(kUnavailable);
        }
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
        count(0);
        Response response{.status = status};
        if (status == kUnavailable)
            response.headers["Retry-After"] = "1";
        write(std::move(response));
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
    bool isAborted_ = false;
    Phase phase_ = Phase::Handling;
    std::list<Session *>::iterator position_; ///< in the list of the phase
    std::size_t countedBytes_ = 0;            ///< of shared_->bufferedBytes
};

bool Server::SharedState::closeOldest(std::list<Session *> &sessions, Bound bound)
{
    if (sessions.empty())
        return false;
    sessions.front()->abort();
    report(bound);
    return true;
}

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

std::size_t Server::bufferedBytes() const
{
    return shared_->bufferedBytes;
}

// All connections that have arrived are accepted now: with one accept a turn, they would wait for
// the other events of a busy loop.
void Server::accept()
{
    shared_->acceptor.async_accept([this, shared = shared_](beast::error_code error,
                                                            Tcp::socket socket) {
        while (!error) {
            beast::error_code ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            socket.non_blocking(true, ignored);
            const bool hasRoom = shared->connections < shared->limits.maxConnections
                                 || shared->closeOldest(shared->idle, Bound::Connections)
                                 || shared->closeOldest(shared->reading, Bound::Connections);
            if (hasRoom)
                std::make_shared<Session>(shared, std::move(socket))->read();
            else
                shared->report(Bound::Connections);
            socket = shared->acceptor.accept(error);
        }
        if (error != asio::error::operation_aborted && shared->acceptor.is_open())
            accept();
    });
}

} // namespace chicorywick::http
