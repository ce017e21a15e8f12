#include "loopback_proxy.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace chicorywick::hosted {

namespace {

using boost::asio::ip::tcp;

// Binds a port again and again for as long as it lives, like a caller that gets it by chance.
class PortTaker
{
public:
    explicit PortTaker(std::uint16_t port)
        : thread_([this, port] {
            while (!isStopped_) {
                boost::asio::io_context loop;
                tcp::socket socket(loop, tcp::v4());
                boost::system::error_code error;
                socket.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
                takenCount_ += error ? 0 : 1;
            }
        })
    {}
    ~PortTaker()
    {
        isStopped_ = true;
        thread_.join();
    }
    PortTaker(const PortTaker &) = delete;
    PortTaker &operator=(const PortTaker &) = delete;

    int takenCount() const { return takenCount_; }

private:
    std::atomic<bool> isStopped_ = false;
    std::atomic<int> takenCount_ = 0;
    std::thread thread_;
};

} // namespace

// Guards against a port that another process gets while the proxy closes its connections.
TEST_CASE("a proxy keeps its port while it is closed and opened again")
{
    constexpr int kRounds = 20'000;
    boost::asio::io_context loop;
    LoopbackProxy proxy(loop, 1);
    const std::uint16_t port = proxy.port();
    const PortTaker taker(port);
    for (int round = 0; round < kRounds; ++round) {
        proxy.close();
        proxy.listen();
    }
    CHECK(proxy.port() == port);
    CHECK(taker.takenCount() == 0);
}

// Guards against a closed proxy that accepts connections because its port is reserved.
TEST_CASE("a closed proxy refuses connections")
{
    boost::asio::io_context loop;
    LoopbackProxy proxy(loop, 1);
    const tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), proxy.port());
    boost::system::error_code error;
    tcp::socket(loop).connect(address, error);
    CHECK(!error);
    proxy.close();
    tcp::socket(loop).connect(address, error);
    CHECK(error == boost::asio::error::connection_refused);
    proxy.listen();
    tcp::socket(loop).connect(address, error);
    CHECK(!error);
}

} // namespace chicorywick::hosted
