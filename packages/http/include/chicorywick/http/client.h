#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/http/message.h>
#include <chicorywick/http/transfer.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace chicorywick::http {

/// @brief Limits of a client's connections to its origin.
struct ClientLimits
{
    std::size_t maxConnections = 4;
    std::chrono::milliseconds connectTimeout{700};
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    bool keepsHeaders = true; ///< false: responses have no headers, which saves copying them

    bool operator==(const ClientLimits &) const = default;
};

/// @brief Fails with UpstreamUnreachable when nothing was sent and with UpstreamOutcomeUnknown when
/// the request may have been carried out.
using ResponseCallback = std::function<void(base::Result<Response>)>;

/// @brief Returns false once a request must not be sent any more.
using SendPermission = std::function<bool()>;

/// @brief How one request is sent and when it is given up.
struct RequestOptions
{
    /// Until the response, or until its first part if a stall timeout is set. Includes the time in
    /// the queue.
    std::chrono::milliseconds timeout{1'000};
    /// Longest time without a further part of the response, for responses whose size is not known.
    /// Zero: `timeout` limits the whole response.
    std::chrono::milliseconds stallTimeout{0};
    /// From the first part of the response to its end, if there is a stall timeout.
    std::chrono::milliseconds transferTimeout{60'000};
    SendPermission permission; ///< may be empty
    TransferPointer transfer;  ///< reports the progress and can cancel the request; may be null
};

/// @brief An HTTP/1.1 client with a pool of keep-alive connections to one origin, on an event loop.
class Client
{
public:
    Client(boost::asio::io_context &loop, Endpoint origin, ClientLimits limits = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// @brief Queues the request until a connection is free. The permission, if any, is checked
    /// again immediately before the request is written: it can end while the request waits or while
    /// the process is paused.
    void send(Request request, RequestOptions options, ResponseCallback done);

    /// @brief Sends a request whose whole response is due before the timeout.
    void send(Request request, std::chrono::milliseconds timeout, ResponseCallback done,
              SendPermission permission = {});

    const Endpoint &origin() const;

private:
    struct Pool;
    class Connection;

    std::shared_ptr<Pool> pool_;
};

} // namespace chicorywick::http
