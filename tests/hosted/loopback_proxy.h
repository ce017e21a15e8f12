#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace chicorywick::hosted {

/// @brief Forwards TCP connections to a port of this host; it can close them and refuse new ones
/// like a process that has crashed.
///
/// Not thread-safe; use it from its event loop only.
class LoopbackProxy
{
public:
    LoopbackProxy(boost::asio::io_context &loop, std::uint16_t targetPort);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    std::uint16_t port() const { return port_; }

    /// @brief Limits the rate at which responses of all connections together are forwarded.
    void setResponseRate(std::size_t bytesPerSecond) { responseRate_ = bytesPerSecond; }

    /// @brief Bytes of responses that were forwarded.
    std::size_t responseBytes() const { return responseBytes_; }

    /// @brief Closes all connections and refuses new ones until listen().
    void close();

    /// @brief Accepts connections again, at the same port.
    void listen();

private:
    class Connection;

    void bindTo(boost::asio::ip::tcp::acceptor &acceptor, std::uint16_t port) const;
    void accept(int generation);

    /// @brief Reserves the link for a part of a response; returns the time when it has passed.
    std::chrono::steady_clock::time_point reserveLink(std::size_t bytes);

    boost::asio::io_context &loop_;
    boost::asio::ip::tcp::endpoint target_;
    /// Bound without listening, so that no other process gets the port while the proxy is closed.
    boost::asio::ip::tcp::acceptor reservation_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    int generation_ = 0; ///< number of listen() calls and closings
    std::vector<std::weak_ptr<Connection>> connections_;
    std::size_t responseRate_ = 0; ///< bytes per second; 0: not limited
    std::size_t responseBytes_ = 0;
    std::chrono::steady_clock::time_point linkFreeAt_;
};

} // namespace chicorywick::hosted
