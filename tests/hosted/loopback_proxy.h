#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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

    /// @brief Closes all connections and refuses new ones until listen().
    void close();

    /// @brief Accepts connections again, at the same port.
    void listen();

private:
    class Connection;

    void bindTo(boost::asio::ip::tcp::acceptor &acceptor, std::uint16_t port) const;
    void accept(int generation);

    boost::asio::io_context &loop_;
    boost::asio::ip::tcp::endpoint target_;
    /// Bound without listening, so that no other process gets the port while the proxy is closed.
    boost::asio::ip::tcp::acceptor reservation_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    int generation_ = 0; ///< number of listen() calls and closings
    std::vector<std::weak_ptr<Connection>> connections_;
};

} // namespace chicorywick::hosted
