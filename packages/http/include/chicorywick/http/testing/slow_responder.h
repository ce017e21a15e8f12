#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <string>

namespace chicorywick::http::testing {

/// @brief How a response arrives: in parts of one byte.
struct SlowResponse
{
    int parts = 1;
    std::chrono::milliseconds pause{0}; ///< before each part
    int partsSent = parts;              ///< the others never arrive

    bool operator==(const SlowResponse &) const = default;
};

/// @brief A server that answers one request slowly, as over a narrow link.
class SlowResponder
{
public:
    using Tcp = boost::asio::ip::tcp;

    SlowResponder(boost::asio::io_context &loop, SlowResponse response)
        : acceptor_(loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , socket_(loop)
        , timer_(loop)
        , response_(response)
    {
        acceptor_.async_accept(socket_, [this](const auto &error) {
            if (!error)
                readRequest();
        });
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    bool isClosedByClient() const { return isClosedByClient_; }

private:
    void readRequest()
    {
        boost::asio::async_read_until(socket_, boost::asio::dynamic_buffer(request_), "\r\n\r\n",
                                      [this](const auto &error, std::size_t) {
                                          if (!error)
                                              write("HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + std::to_string(response_.parts) + "\r\n\r\n");
                                      });
    }

    void write(const std::string &part)
    {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(part), error);
        isClosedByClient_ = static_cast<bool>(error);
        if (error || response_.partsSent-- == 0)
            return;
        timer_.expires_after(response_.pause);
        timer_.async_wait([this](const auto &failure) {
            if (!failure)
                write("x");
        });
    }

    Tcp::acceptor acceptor_;
    Tcp::socket socket_;
    boost::asio::steady_timer timer_;
    SlowResponse response_;
    std::string request_;
    bool isClosedByClient_ = false;
};

} // namespace chicorywick::http::testing
