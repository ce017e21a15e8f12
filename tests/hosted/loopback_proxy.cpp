#include "loopback_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace chicorywick::hosted {

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kBufferBytes = 16 * 1024;

struct Direction
{
    tcp::socket &from;
    tcp::socket &to;
    std::array<char, kBufferBytes> buffer{};
};

} // namespace

// One forwarded connection. Its pending operations share ownership of it.
class LoopbackProxy::Connection : public std::enable_shared_from_this<LoopbackProxy::Connection>
{
public:
    Connection(LoopbackProxy &proxy, tcp::socket caller)
        : proxy_(proxy)
        , caller_(std::move(caller))
        , target_(proxy.loop_)
        , responseTimer_(proxy.loop_)
    {}

    void start(const tcp::endpoint &target)
    {
        target_.async_connect(target, [self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return self->close();
            boost::system::error_code ignored;
            self->caller_.set_option(tcp::no_delay(true), ignored);
            self->target_.set_option(tcp::no_delay(true), ignored);
            self->forward(self->requests_);
            self->forward(self->responses_);
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        isClosed_ = true;
        caller_.close(ignored);
        target_.close(ignored);
        responseTimer_.cancel();
    }

private:
    void forward(Direction &direction)
    {
        direction.from.async_read_some(boost::asio::buffer(direction.buffer),
                                       [self = shared_from_this(), &direction](
                                               boost::system::error_code error, std::size_t size) {
                                           if (error)
                                               return self->close();
                                           if (&direction == &self->responses_)
                                               return self->writeResponse(size);
                                           self->write(direction, size);
                                       });
    }

    // A read that completed before close() runs its handler afterwards, when the proxy may be gone.
    void writeResponse(std::size_t size)
    {
        if (isClosed_)
            return;
        responseTimer_.expires_at(proxy_.reserveLink(size));
        responseTimer_.async_wait(
                [self = shared_from_this(), size](boost::system::error_code error) {
                    if (!error)
                        self->write(self->responses_, size);
                });
    }

    void write(Direction &direction, std::size_t size)
    {
        boost::asio::async_write(direction.to, boost::asio::buffer(direction.buffer, size),
                                 [self = shared_from_this(),
                                  &direction](boost::system::error_code error, std::size_t) {
                                     if (error)
                                         return self->close();
                                     self->forward(direction);
                                 });
    }

    LoopbackProxy &proxy_;
    tcp::socket caller_;
    tcp::socket target_;
    boost::asio::steady_timer responseTimer_;
    bool isClosed_ = false;
    Direction requests_{.from = caller_, .to = target_};
    Direction responses_{.from = target_, .to = caller_};
};

LoopbackProxy::LoopbackProxy(boost::asio::io_context &loop, std::uint16_t targetPort)
    : loop_(loop)
    , target_(boost::asio::ip::make_address("127.0.0.1"), targetPort)
    , reservation_(loop)
    , acceptor_(loop)
{
    bindTo(reservation_, 0);
    port_ = reservation_.local_endpoint().port();
    listen();
}

LoopbackProxy::~LoopbackProxy()
{
    close();
}

// Two sockets can share a port if at most one of them listens.
void LoopbackProxy::bindTo(tcp::acceptor &acceptor, std::uint16_t port) const
{
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(tcp::endpoint(target_.address(), port));
}

std::chrono::steady_clock::time_point LoopbackProxy::reserveLink(std::size_t bytes)
{
    responseBytes_ += bytes;
    const auto now = std::chrono::steady_clock::now();
    if (responseRate_ == 0)
        return now;
    const std::chrono::duration<double> passage(static_cast<double>(bytes)
                                                / static_cast<double>(responseRate_));
    linkFreeAt_ = std::max(linkFreeAt_, now)
                  + std::chrono::duration_cast<std::chrono::steady_clock::duration>(passage);
    return linkFreeAt_;
}

void LoopbackProxy::close()
{
    ++generation_;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const std::weak_ptr<Connection> &item : std::exchange(connections_, {}))
        if (const auto connection = item.lock())
            connection->close();
}

void LoopbackProxy::listen()
{
    if (acceptor_.is_open())
        return;
    bindTo(acceptor_, port_);
    acceptor_.listen();
    accept(++generation_);
}

// An accept that completed before close() runs its handler afterwards; it must not accept again.
void LoopbackProxy::accept(int generation)
{
    acceptor_.async_accept([this, generation](boost::system::error_code error, tcp::socket caller) {
        if (error == boost::asio::error::operation_aborted || generation != generation_)
            return;
        if (!error) {
            std::erase_if(connections_, [](const auto &item) { return item.expired(); });
            const auto connection = std::make_shared<Connection>(*this, std::move(caller));
            connections_.push_back(connection);
            connection->start(target_);
        }
        accept(generation);
    });
}

} // namespace chicorywick::hosted
