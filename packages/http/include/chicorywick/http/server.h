#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/http/message.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace chicorywick::http {

/// @brief Limits of a server's connections.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxHeaderFields = 100; ///< including trailers
    std::size_t maxBodyBytes = 512 * 1024;
    /// Memory for requests that are being read or have no response yet and for responses that are
    /// being written, besides a few KiB for each connection. Beyond it, the connections that have
    /// kept the server waiting for longest are closed.
    std::size_t maxBufferedBytes = 40 * 1024 * 1024;
    /// Memory that counts for a request while it is handled, for each byte of its body.
    std::size_t handlingFactor = 8;
    /// Beyond it, the connection that has been idle for longest is closed.
    std::size_t maxConnections = 2'000;
    std::chrono::milliseconds writeTimeout{5'000}; ///< for writing a response
    std::chrono::milliseconds idleTimeout{60'000}; ///< for waiting for a request and reading it

    bool operator==(const ServerLimits &) const = default;
};

using Responder = std::function<void(Response)>;
using Handler = std::function<void(const Request &, Responder)>;

/// @brief An HTTP/1.1 server on an event loop; a handler may respond later, on the same loop.
class Server
{
public:
    Server(boost::asio::io_context &loop, Handler handler, ServerLimits limits = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @brief Binds the endpoint and starts to accept connections.
    base::Result<void> listen(const Endpoint &endpoint);

    /// @brief The bound port, also if port 0 was requested.
    std::uint16_t port() const;

    /// @brief Closes each connection after its next response.
    void drain();

    /// @brief The number of requests that were read and have no response yet.
    std::size_t inFlight() const;

    /// @brief Memory that counts towards ServerLimits::maxBufferedBytes.
    std::size_t bufferedBytes() const;

private:
    struct SharedState;
    class Session;

    void accept();

    std::shared_ptr<SharedState> shared_;
};

} // namespace chicorywick::http
