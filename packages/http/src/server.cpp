#include "beast.h"
#include "message_reader.h"
#include "request_parser.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/http/server.h>

#include <algorithm>
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
// Of a request that is handled, besides what its body takes.
constexpr std::size_t kRequestOverheadBytes = 4'096;
// A request takes at most this part of the memory that is left, so that small requests are served
// while large ones take up nearly all of it.
constexpr std::size_t kLargestPart = 4;
// Connections that are accepted before other events of the loop get their turn.
constexpr int kMaxAcceptsPerTurn = 64;
// Without descriptors, the pending connection stays in the queue and would be reported at once.
constexpr auto kAcceptRetryPause = std::chrono::milliseconds(100);

const boost::system::error_category &kHttpCategory =
        beast::http::make_error_code(beast::http::error::end_of_stream).category();

} // namespace

/// @brief The limit for which a connection was closed or a request refused.
enum class Bound { Bytes, Connections, Descriptors, Size };

namespace {

const char *boundName(Bound bound)
{
    switch (bound) {
    case Bound::Bytes:
        return "bytes";
    case Bound::Connections:
        return "connections";
    case Bound::Descriptors:
        return "descriptors";
    case Bound::Size:
        return "size";
    }
    return "";
}

} // namespace

// State of the listener that its sessions share.
struct Server::SharedState : std::enable_shared_from_this<Server::SharedState>
{
    SharedState(asio::io_context &context, Handler requestHandler, ServerLimits serverLimits)
        : loop(context)
        , acceptor(context)
        , acceptTimer(context)
        , handler(std::move(requestHandler))
        , limits(serverLimits)
    {}

    asio::io_context &loop;
    Tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    Handler handler;
    ServerLimits limits;
    std::size_t inFlight = 0;
    bool isDraining = false;
    std::size_t connections = 0;
    std::size_t bufferedBytes = 0;
    std::list<Session *> idle;    ///< wait for a request; the longest wait first
    std::list<Session *> reading; ///< have read a part of a request; the oldest one first
    std::list<Session *> writing; ///< have a response that is not written; the oldest one first

    /// Closes the session that has waited for its caller for longest; returns false if there is
    /// none.
    bool closeOldest(std::list<Session *> &sessions, Bound bound);
    /// Closes a session that waits for its caller to make room for a connection.
    bool closeForConnection(Bound bound);
    void admit(Tcp::socket socket);
    void report(Bound bound);

private:
    struct Report
    {
        std::chrono::steady_clock::time_point at;
        int count = 0;
    };
    std::array<Report, 4> reports_;
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
                   {{"limit", boundName(bound)},
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
        isAborted_ = true;
        count(0);
        --shared_->connections;
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        enter(buffer_.size() > 0 ? Phase::Reading : Phase::Idle);
        shrinkTo(buffer_, kReadBufferBytes);
        count(0);
        parser_.emplace(shared_->limits.maxHeaderFields);
        parser_->header_limit(static_cast<std::uint32_t>(shared_->limits.maxHeaderBytes));
        parser_->body_limit(shared_->limits.maxBodyBytes);
        // One timeout bounds both the wait for the first byte and the rest of the request.
        stream_.expires_after(shared_->limits.idleTimeout);
        parser_->eager(true);
        // A message that has arrived with the one before is not waited for.
        const beast::error_code buffered = parseBuffered(buffer_, *parser_);
        if (buffered != beast::http::error::need_more) {
            asio::post(stream_.get_executor(),
                       [self = shared_from_this(), buffered] { self->onRead(buffered); });
            return;
        }
        readMessage(
                stream_, buffer_, *parser_,
                [self = shared_from_this()] { return self->onProgress(); },
                [self = shared_from_this()](beast::error_code error) { self->onRead(error); });
    }

    /// @brief Closes the connection without a response. The pending read ends later, and what was
    /// read is released now.
    void abort()
    {
        enter(Phase::Handling);
        isAborted_ = true;
        if (parser_)
            parser_->release();
        count(0);
        stream_.close();
    }

private:
    enum class Phase { Idle, Reading, Handling, Writing };

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
        if (phase == Phase::Idle)
            return shared_->idle;
        return phase == Phase::Reading ? shared_->reading : shared_->writing;
    }

    // Counts the memory of the message besides that of the read buffer.
    void count(std::size_t messageBytes)
    {
        const std::size_t buffered =
                isAborted_ ? 0 : std::max(buffer_.capacity(), kReadBufferBytes) - kReadBufferBytes;
        const std::size_t bytes = messageBytes + buffered;
        shared_->bufferedBytes = shared_->bufferedBytes - countedBytes_ + bytes;
        countedBytes_ = bytes;
    }

    // Returns false if this session was closed, because of the bytes that all requests take.
    bool onProgress()
    {
        if (isAborted_)
            return false;
        if (parser_->got_some() || buffer_.size() > 0)
            enter(Phase::Reading);
        shrinkTo(buffer_, kReadBufferBytes);
        count(parser_->heldBytes());
        closeOldestOverLimit();
        return !isAborted_;
    }

    void closeOldestOverLimit()
    {
        while (shared_->bufferedBytes > shared_->limits.maxBufferedBytes
               && (shared_->closeOldest(shared_->reading, Bound::Bytes)
                   || shared_->closeOldest(shared_->writing, Bound::Bytes))) {
        }
    }

    // Makes room for the handling of a request, at the cost of those whose caller is awaited.
    bool reserve(std::size_t bytes)
    {
        const auto isAdmitted = [this, bytes] {
            const std::size_t limit = shared_->limits.maxBufferedBytes;
            const std::size_t others = shared_->bufferedBytes - countedBytes_;
            return others <= limit && bytes <= (limit - others) / kLargestPart;
        };
        while (!isAdmitted())
            if (!shared_->closeOldest(shared_->reading, Bound::Bytes)
                && !shared_->closeOldest(shared_->writing, Bound::Bytes))
                return false;
        count(bytes);
        return true;
    }

    void onRead(beast::error_code error)
    {
        if (isAborted_)
            return;
        enter(Phase::Handling);
        // An oversized or malformed request still receives a response before the connection closes.
        if (error == beast::http::error::body_limit)
            return refuse(kPayloadTooLarge);
        if (error == beast::http::error::header_limit
            || error == beast::http::error::buffer_overflow)
            return refuse(kHeaderTooLarge);
        const bool isMalformed = error && error != beast::http::error::end_of_stream
                                 && error != beast::http::error::partial_message
                                 && error.category() == kHttpCategory;
        if (isMalformed)
            return refuse(kBadRequest);
        if (error)
            return close();
        keepAlive_ = parser_->keep_alive();
        const Request request = parser_->release();
        parser_.reset();
        const std::size_t bytes =
                kRequestOverheadBytes + shared_->limits.handlingFactor * request.body.size();
        // A request that is too large for an idle server is refused for good.
        if (bytes > shared_->limits.maxBufferedBytes / kLargestPart)
            return refuse(kPayloadTooLarge);
        if (!reserve(bytes)) {
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
        if (status == kPayloadTooLarge || status == kHeaderTooLarge)
            shared_->report(Bound::Size);
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
        enter(Phase::Writing);
        count(message_->body().capacity());
        stream_.expires_after(shared_->limits.writeTimeout);
        beast::http::async_write(
                stream_, *message_,
                [self = shared_from_this(), closeAfterWrite](beast::error_code error, std::size_t) {
                    self->enter(Phase::Handling);
                    self->message_.reset();
                    if (self->isAborted_)
                        return;
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
    std::optional<RequestParser> parser_;
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

bool Server::SharedState::closeForConnection(Bound bound)
{
    return closeOldest(idle, bound) || closeOldest(reading, bound) || closeOldest(writing, bound);
}

void Server::SharedState::admit(Tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    if (connections >= limits.maxConnections && !closeForConnection(Bound::Connections))
        return report(Bound::Connections);
    std::make_shared<Session>(shared_from_this(), std::move(socket))->read();
}

Server::Server(asio::io_context &loop, Handler handler, ServerLimits limits)
    : shared_(std::make_shared<SharedState>(loop, std::move(handler), limits))
{}

Server::~Server()
{
    beast::error_code ignored;
    shared_->acceptor.close(ignored);
    shared_->acceptTimer.cancel();
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

// Connections that have arrived are accepted together: with one accept a turn, they would wait for
// the other events of a busy loop.
void Server::accept()
{
    shared_->acceptor.async_accept(
            [this, shared = shared_](beast::error_code error, Tcp::socket socket) {
                for (int accepted = 0; !error;) {
                    shared->admit(std::move(socket));
                    if (++accepted == kMaxAcceptsPerTurn)
                        break;
                    socket = shared->acceptor.accept(error);
                }
                if (error == asio::error::operation_aborted || !shared->acceptor.is_open())
                    return;
                const bool isOrdinary = !error || error == asio::error::would_block
                                        || error == asio::error::connection_aborted;
                if (isOrdinary)
                    return accept();
                shared->closeForConnection(Bound::Descriptors);
                shared->acceptTimer.expires_after(kAcceptRetryPause);
                shared->acceptTimer.async_wait([this](beast::error_code cancelled) {
                    if (!cancelled)
                        accept();
                });
            });
}

} // namespace chicorywick::http
