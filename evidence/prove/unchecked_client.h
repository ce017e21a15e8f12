#pragma once

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>

namespace chicorywick::prove {

/// @brief cpp-httplib stream over a blocking socket.
class SocketStream : public httplib::Stream
{
public:
    explicit SocketStream(int fd)
        : fd_(fd)
    {}
    ~SocketStream() override { ::close(fd_); }

    bool is_readable() const override { return true; }
    bool is_writable() const override { return true; }
    ssize_t read(char *data, size_t size) override { return ::recv(fd_, data, size, 0); }
    ssize_t write(const char *data, size_t size) override
    {
        return ::send(fd_, data, size, MSG_NOSIGNAL);
    }
    void get_remote_ip_and_port(std::string & /*ip*/, int & /*port*/) const override {}
    void get_local_ip_and_port(std::string & /*ip*/, int & /*port*/) const override {}
    socket_t socket() const override { return fd_; }

private:
    int fd_;
};

/// @brief HTTP client that sends on a kept-alive connection without checking that it is still open.
/// Reproduces a request that is in transit while the server closes the connection.
class UncheckedClient : public httplib::ClientImpl
{
public:
    explicit UncheckedClient(int port)
        : ClientImpl("127.0.0.1", port)
        , port_(port)
    {}

    /// @brief Sends a request. The error is Connection if no connection can be opened.
    httplib::Result sendUnchecked(httplib::Request request)
    {
        if (!stream_ && !connect())
            return {nullptr, httplib::Error::Connection};
        auto response = std::make_unique<httplib::Response>();
        httplib::Error error = httplib::Error::Success;
        const bool isRead = process_request(*stream_, request, *response, false, error);
        if (!isRead || response->get_header_value("Connection") == "close")
            stream_.reset();
        if (!isRead)
            return {nullptr, httplib::Error::Read};
        return {std::move(response), error};
    }

private:
    bool connect()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        const int enable = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(fd);
            return false;
        }
        stream_ = std::make_unique<SocketStream>(fd);
        return true;
    }

    int port_;
    std::unique_ptr<SocketStream> stream_;
};

} // namespace chicorywick::prove
