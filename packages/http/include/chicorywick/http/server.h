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
    std::size_t maxBodyBytes = 512 * 1024;
    std::chrono::milliseconds requestTimeout{5'000};
    std::chrono::milliseconds idleTimeout{60'000};

    bool operator==(const ServerLimits &) const = default;
};

using Responder = std::function<void(Response)>;
using Handler = std::function<void(const Request &, Responder)>;

/// @brief An HTTP/1.1 server on an event loop; handlers may respond later from the same loop.
class Server
{
public:
    Server(boost::asio::io_context &loop, Handler handler, ServerLimits limits = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @brief Binds and starts to accept.
    base::Result<void> listen(const Endpoint &endpoint);

    /// @brief The bound port; useful after binding port 0.
    std::uint16_t port() const;

    /// @brief From now on each response asks its caller to close the connection.
    void drain();

    /// @brief Requests read and not yet answered.
    std::size_t inFlight() const;

private:
    struct Shared;
    class Session;

    void accept();

    std::shared_ptr<Shared> shared_;
};

} // namespace chicorywick::http
