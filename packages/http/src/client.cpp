#include "beast.h"
#include "message_reader.h"

#include <chicorywick/http/client.h>

#include <sys/socket.h>

#include <deque>
#include <optional>
#include <vector>

namespace chicorywick::http {

namespace {

// Of responses; those of the platform have a few hundred bytes.
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

using SteadyTime = std::chrono::steady_clock::time_point;

struct PendingRequest
{
    Request request;
    SteadyTime deadline;
    RequestOptions options;
    ResponseCallback done;

    bool isCancelled() const { return options.transfer && options.transfer->isCancelled(); }
};

// Uses the concrete executor type, because the default type-erased executor allocates for each
// completed operation.
using Stream = beast::basic_stream<Tcp, asio::io_context::executor_type>;

// Fits a typical response, so that one system call reads it.
constexpr std::size_t kReadBufferBytes = 2'048;
// An idle connection is checked for closure by the peer only if it was last used at least this long
// ago.
constexpr std::chrono::milliseconds kValidateAfterInactivity{20};

// Serializes into one string, because Beast's message object costs several allocations and a copy
// of the request.
std::string encode(const Request &request, const Endpoint &origin)
{
    std::string text;
    constexpr std::size_t kTypicalHeadBytes = 256;
    text.reserve(kTypicalHeadBytes + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    text.append(origin.host).append(":").append(std::to_string(origin.port)).append("\r\n");
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!request.body.empty() || (request.method != "GET" && request.method != "DELETE"))
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    return text.append("\r\n").append(request.body);
}

// The peer may have closed an idle connection; a request written to it would fail with an unknown
// outcome.
bool isStillOpen(int socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct Client::Pool
{
    Pool(asio::io_context &context, Endpoint target, ClientLimits clientLimits)
        : loop(context)
        , origin(std::move(target))
        , limits(clientLimits)
    {}

    asio::io_context &loop;
    Endpoint origin;
    ClientLimits limits;
    std::deque<PendingRequest> waiting;
    std::vector<std::shared_ptr<Connection>> idle;
    std::size_t openCount = 0;
    bool isClosed = false;
};

// One connection; its pending operation owns it, or the pool while it is idle.
class Client::Connection : public std::enable_shared_from_this<Client::Connection>
{
public:
    explicit Connection(std::shared_ptr<Pool> pool)
        : pool_(std::move(pool))
        , stream_(pool_->loop)
    {
        ++pool_->openCount;
        buffer_.reserve(kReadBufferBytes);
    }

    ~Connection() { --pool_->openCount; }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isUsable(SteadyTime now)
    {
        return now - lastUsedAt_ < kValidateAfterInactivity
               || isStillOpen(stream_.socket().native_handle());
    }

    void connectAndSend(PendingRequest pending)
    {
        begin(std::move(pending));
        beast::error_code error;
        const Tcp::endpoint remote(asio::ip::make_address(pool_->origin.host, error),
                                   pool_->origin.port);
        if (error)
            return asio::post(pool_->loop, [self = shared_from_this()] {
                self->fail(false, "the origin is not a valid IP address");
            });
        stream_.expires_at(std::min(current_->deadline, std::chrono::steady_clock::now()
                                                                + pool_->limits.connectTimeout));
        stream_.async_connect(remote, [self = shared_from_this()](beast::error_code failure) {
            if (failure)
                return self->fail(false, failure.message());
            beast::error_code ignored;
            self->stream_.socket().set_option(Tcp::no_delay(true), ignored);
            // Close sends a reset: a request that timed out during a network partition must not be
            // delivered after the partition ends.
            self->stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            self->stream_.socket().non_blocking(true, ignored);
            self->write();
        });
    }

    void send(PendingRequest pending)
    {
        begin(std::move(pending));
        write();
    }

    void close() { stream_.close(); }

private:
    void begin(PendingRequest pending)
    {
        current_.emplace(std::move(pending));
        if (const TransferPointer &transfer = current_->options.transfer)
            transfer->beginRequest([weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->stream_.cancel();
            });
    }

    // Most requests fit into the socket's send buffer and need no asynchronous write.
    void write()
    {
        if (current_->isCancelled())
            return asio::post(pool_->loop, [self = shared_from_this()] {
                self->fail(false, "the request was cancelled");
            });
        if (current_->options.permission && !current_->options.permission())
            return asio::post(pool_->loop, [self = shared_from_this()] {
                self->fail(false, "the permission to send has ended");
            });
        encodedRequest_ = encode(current_->request, pool_->origin);
        stream_.expires_at(current_->deadline);
        beast::error_code error;
        const std::size_t sent = stream_.socket().write_some(asio::buffer(encodedRequest_), error);
        if (error && error != asio::error::would_block)
            return asio::post(pool_->loop, [self = shared_from_this(), error] {
                self->fail(true, error.message());
            });
        if (sent == encodedRequest_.size())
            return read();
        asio::async_write(stream_, asio::buffer(encodedRequest_) + sent,
                          [self = shared_from_this()](beast::error_code failure, std::size_t) {
                              if (failure)
                                  return self->fail(true, failure.message());
                              self->read();
                          });
    }

    void read()
    {
        hasProgressed_ = false;
        parser_.emplace();
        parser_->body_limit(pool_->limits.maxBodyBytes);
        readMessage(
                stream_, buffer_, *parser_,
                [self = shared_from_this(), isFirstWait = true]() mutable {
                    return std::exchange(isFirstWait, false) || self->recordProgress();
                },
                [self = shared_from_this()](beast::error_code error) {
                    if (error)
                        return self->fail(true, error.message());
                    self->finish();
                });
    }

    // Returns false if the request has been cancelled.
    bool recordProgress()
    {
        const auto now = std::chrono::steady_clock::now();
        const RequestOptions &options = current_->options;
        if (options.stallTimeout.count() > 0) {
            if (!hasProgressed_)
                transferEnd_ = now + options.transferTimeout;
            stream_.expires_at(std::min(now + options.stallTimeout, transferEnd_));
        }
        hasProgressed_ = true;
        if (const TransferPointer transfer = options.transfer) {
            const std::uint64_t expected = parser_->content_length().value_or(0);
            transfer->recordBytes(parser_->get().body().size(), expected, now);
            if (transfer->onProgress && !transfer->isCancelled())
                transfer->onProgress();
        }
        return !current_->isCancelled();
    }

    // The transfer must not cancel a later request on this connection.
    void releaseTransfer()
    {
        if (const TransferPointer &transfer = current_->options.transfer)
            transfer->endRequest();
    }

    void finish()
    {
        releaseTransfer();
        auto message = parser_->release();
        if (const TransferPointer &transfer = current_->options.transfer)
            transfer->recordBytes(message.body().size(), message.body().size(),
                                  std::chrono::steady_clock::now());
        Response response{.status = static_cast<int>(message.result_int()),
                          .headers = pool_->limits.keepsHeaders ? copyHeaders(message) : Headers(),
                          .body = std::move(message.body())};
        ResponseCallback done = std::move(current_->done);
        current_.reset();
        parser_.reset();
        shrinkTo(buffer_, kReadBufferBytes);
        const bool isReusable = message.keep_alive() && !pool_->isClosed;
        if (!isReusable)
            stream_.close();
        const auto pool = pool_;
        if (isReusable) {
            lastUsedAt_ = std::chrono::steady_clock::now();
            pool->idle.push_back(shared_from_this());
        }
        done(std::move(response));
        sendWaiting(pool);
    }

    void fail(bool mayHaveRun, const std::string &reason)
    {
        releaseTransfer();
        stream_.close();
        ResponseCallback done = std::move(current_->done);
        current_.reset();
        const auto pool = pool_;
        done(base::makeError(mayHaveRun ? base::Code::UpstreamOutcomeUnknown
                                        : base::Code::UpstreamUnreachable,
                             reason));
        // Posted, because the pool counts this connection as open until its destructor has run.
        asio::post(pool->loop, [pool] { sendWaiting(pool); });
    }

public:
    /// @brief Sends waiting requests on idle or new connections.
    static void sendWaiting(const std::shared_ptr<Pool> &pool)
    {
        const auto now = std::chrono::steady_clock::now();
        while (!pool->waiting.empty() && !pool->isClosed) {
            if (pool->waiting.front().deadline <= now) {
                // Callbacks never run inside send(), because its caller may be in the middle of a
                // state change.
                asio::post(pool->loop, [done = std::move(pool->waiting.front().done)] {
                    done(base::makeError(base::Code::UpstreamUnreachable,
                                         "no connection became free before the deadline"));
                });
                pool->waiting.pop_front();
                continue;
            }
            if (pool->waiting.front().isCancelled()) {
                asio::post(pool->loop, [done = std::move(pool->waiting.front().done)] {
                    done(base::makeError(base::Code::UpstreamUnreachable,
                                         "the request was cancelled"));
                });
                pool->waiting.pop_front();
                continue;
            }
            std::shared_ptr<Connection> connection;
            while (!connection && !pool->idle.empty()) {
                connection = std::move(pool->idle.back());
                pool->idle.pop_back();
                if (!connection->isUsable(now))
                    connection.reset();
            }
            const bool isNew = !connection;
            if (isNew && pool->openCount >= pool->limits.maxConnections)
                return;
            PendingRequest next = std::move(pool->waiting.front());
            pool->waiting.pop_front();
            if (isNew)
                std::make_shared<Connection>(pool)->connectAndSend(std::move(next));
            else
                connection->send(std::move(next));
        }
    }

private:
    std::shared_ptr<Pool> pool_;
    Stream stream_;
    SteadyTime lastUsedAt_;
    std::string encodedRequest_;
    beast::flat_buffer buffer_{maxBufferSize(kMaxHeaderBytes)};
    std::optional<PendingRequest> current_;
    bool hasProgressed_ = false; ///< a part of the response to current_ has arrived
    SteadyTime transferEnd_;
    std::optional<beast::http::response_parser<beast::http::string_body>> parser_;
};

Client::Client(asio::io_context &loop, Endpoint origin, ClientLimits limits)
    : pool_(std::make_shared<Pool>(loop, std::move(origin), limits))
{}

Client::~Client()
{
    pool_->isClosed = true;
    const auto idle = std::move(pool_->idle);
    for (const auto &connection : idle)
        connection->close();
    for (PendingRequest &request : pool_->waiting)
        asio::post(pool_->loop, [done = std::move(request.done)] {
            done(base::makeError(base::Code::UpstreamUnreachable, "the client was closed"));
        });
    pool_->waiting.clear();
}

void Client::send(Request request, RequestOptions options, ResponseCallback done)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + options.timeout;
    pool_->waiting.push_back(PendingRequest{.request = std::move(request),
                                            .deadline = deadline,
                                            .options = std::move(options),
                                            .done = std::move(done)});
    Connection::sendWaiting(pool_);
}

void Client::send(Request request, std::chrono::milliseconds timeout, ResponseCallback done,
                  SendPermission permission)
{
    send(std::move(request), {.timeout = timeout, .permission = std::move(permission)},
         std::move(done));
}

const Endpoint &Client::origin() const
{
    return pool_->origin;
}

} // namespace chicorywick::http
