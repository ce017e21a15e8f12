#include "beast.h"

#include <chicorywick/http/client.h>

#include <sys/socket.h>

#include <deque>
#include <optional>
#include <vector>

namespace chicorywick::http {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

struct PendingRequest
{
    Request request;
    SteadyTime deadline;
    ResponseCallback done;
};

beast::http::request<beast::http::string_body> encode(const Request &request,
                                                      const Endpoint &origin)
{
    beast::http::request<beast::http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(beast::http::field::host, origin.host + ":" + std::to_string(origin.port));
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

// The peer may have closed an idle connection; a request written to it would have an unknown fate.
bool isStillOpen(Tcp::socket &socket)
{
    char byte = 0;
    const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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
    std::size_t open = 0;
    bool isClosed = false;
};

// One connection; it is kept alive by its pending operation, or by the pool while idle.
class Client::Connection : public std::enable_shared_from_this<Client::Connection>
{
public:
    explicit Connection(std::shared_ptr<Pool> pool)
        : pool_(std::move(pool))
        , stream_(pool_->loop)
    {
        ++pool_->open;
    }

    ~Connection() { --pool_->open; }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isUsable() { return isStillOpen(stream_.socket()); }

    void connectAndSend(PendingRequest pending)
    {
        current_.emplace(std::move(pending));
        beast::error_code error;
        const Tcp::endpoint remote(asio::ip::make_address(pool_->origin.host, error),
                                   pool_->origin.port);
        if (error)
            return asio::post(pool_->loop,
                              [self = shared_from_this()] { self->fail(false, "bad address"); });
        stream_.expires_at(std::min(current_->deadline, std::chrono::steady_clock::now()
                                                                + pool_->limits.connectTimeout));
        stream_.async_connect(remote, [self = shared_from_this()](beast::error_code failure) {
            if (failure)
                return self->fail(false, failure.message());
            beast::error_code ignored;
            self->stream_.socket().set_option(Tcp::no_delay(true), ignored);
            // Closing resets the connection: a request that was given up during a partition must
            // not be delivered when the partition heals.
            self->stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            self->write();
        });
    }

    void send(PendingRequest pending)
    {
        current_.emplace(std::move(pending));
        write();
    }

    void close() { stream_.close(); }

private:
    void write()
    {
        message_.emplace(encode(current_->request, pool_->origin));
        stream_.expires_at(current_->deadline);
        beast::http::async_write(stream_, *message_,
                                 [self = shared_from_this()](beast::error_code error, std::size_t) {
                                     if (error)
                                         return self->fail(true, error.message());
                                     self->read();
                                 });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(pool_->limits.maxBodyBytes);
        beast::http::async_read(stream_, buffer_, *parser_,
                                [self = shared_from_this()](beast::error_code error, std::size_t) {
                                    if (error)
                                        return self->fail(true, error.message());
                                    self->finish();
                                });
    }

    void finish()
    {
        auto message = parser_->release();
        Response response{.status = static_cast<int>(message.result_int()),
                          .headers = copyHeaders(message),
                          .body = std::move(message.body())};
        ResponseCallback done = std::move(current_->done);
        current_.reset();
        message_.reset();
        parser_.reset();
        const bool stays = message.keep_alive() && !pool_->isClosed;
        if (!stays)
            stream_.close();
        const auto pool = pool_;
        if (stays)
            pool->idle.push_back(shared_from_this());
        done(std::move(response));
        pump(pool);
    }

    void fail(bool mayHaveRun, const std::string &reason)
    {
        stream_.close();
        ResponseCallback done = std::move(current_->done);
        current_.reset();
        const auto pool = pool_;
        done(base::makeError(mayHaveRun ? base::Code::UpstreamOutcomeUnknown
                                        : base::Code::UpstreamUnreachable,
                             reason));
        // The connection's slot is free only once this object is gone.
        asio::post(pool->loop, [pool] { pump(pool); });
    }

public:
    /// @brief Sends waiting requests on idle or new connections.
    static void pump(const std::shared_ptr<Pool> &pool)
    {
        const auto now = std::chrono::steady_clock::now();
        while (!pool->waiting.empty() && !pool->isClosed) {
            if (pool->waiting.front().deadline <= now) {
                // Callbacks never run inside send(): its caller may be in the middle of a change.
                asio::post(pool->loop, [done = std::move(pool->waiting.front().done)] {
                    done(base::makeError(base::Code::UpstreamUnreachable, "no free connection"));
                });
                pool->waiting.pop_front();
                continue;
            }
            std::shared_ptr<Connection> connection;
            while (!connection && !pool->idle.empty()) {
                connection = std::move(pool->idle.back());
                pool->idle.pop_back();
                if (!connection->isUsable())
                    connection.reset();
            }
            const bool isNew = !connection;
            if (isNew && pool->open >= pool->limits.maxConnections)
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
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<PendingRequest> current_;
    std::optional<beast::http::request<beast::http::string_body>> message_;
    std::optional<beast::http::response_parser<beast::http::string_body>> parser_;
};

Client::Client(asio::io_context &loop, Endpoint origin, ClientLimits limits)
    : pool_(std::make_shared<Pool>(loop, std::move(origin), limits))
{}

Client::~Client()
{
    pool_->isClosed = true;
    const auto idle = std::move(pool_->idle);
    const auto waiting = std::move(pool_->waiting);
    for (const auto &connection : idle)
        connection->close();
}

void Client::send(Request request, std::chrono::milliseconds timeout, ResponseCallback done)
{
    pool_->waiting.push_back(PendingRequest{.request = std::move(request),
                                            .deadline = std::chrono::steady_clock::now() + timeout,
                                            .done = std::move(done)});
    Connection::pump(pool_);
}

const Endpoint &Client::origin() const
{
    return pool_->origin;
}

} // namespace chicorywick::http
