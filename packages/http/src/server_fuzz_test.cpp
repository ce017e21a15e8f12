#include <chicorywick/base/rng.h>
#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::http {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

const std::vector<std::string> kStreams = {
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n"
        "0\r\nX-Trailer: t\r\n\r\n",
        "GET /d HTTP/1.1\r\nHost: h\r\n\r\nGET /e HTTP/1.1\r\nHost: h\r\n\r\n",
};

/// @brief Cuts, repeats, swaps and changes parts of a stream.
std::string mutate(std::string stream, base::Rng &rng)
{
    for (std::uint64_t change = rng.below(4); change > 0 && !stream.empty(); --change) {
        const std::size_t from = rng.below(stream.size());
        const std::size_t length = 1 + rng.below(stream.size() - from);
        switch (rng.below(4)) {
        case 0:
            stream.erase(from, length);
            break;
        case 1: {
            std::string part = stream.substr(from, length);
            for (std::uint64_t times = rng.below(12); times > 0; --times)
                part += part.size() < 20'000 ? part : std::string();
            stream.insert(from, part);
            break;
        }
        case 2:
            std::reverse(stream.begin() + static_cast<std::ptrdiff_t>(from),
                         stream.begin() + static_cast<std::ptrdiff_t>(from + length));
            break;
        default:
            stream[from] = static_cast<char>(rng.below(256));
        }
    }
    return stream;
}

} // namespace

// Guards against a reader that crashes, or keeps what it has read, after a stream that is cut,
// repeated or reordered.
TEST_CASE("random streams neither end a server nor leave anything behind")
{
    boost::asio::io_context loop;
    Server server(
            loop,
            [](const Request &request, const Responder &respond) {
                respond(Response{.status = 200, .body = request.body});
            },
            ServerLimits{.maxBodyBytes = 4'096, .maxBufferedBytes = 65'536, .maxConnections = 8});
    REQUIRE(server.listen({.host = "127.0.0.1"}));
    base::Rng rng(3);
    constexpr int kStreamsPlayed = 300;
    for (int round = 0; round < kStreamsPlayed; ++round) {
        CAPTURE(round);
        tcp::socket socket(loop);
        boost::system::error_code error;
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()}, error);
        REQUIRE(!error);
        const std::string stream = mutate(kStreams[rng.below(kStreams.size())], rng);
        socket.non_blocking(true);
        for (std::size_t sent = 0; sent < stream.size() && !error;) {
            sent += socket.write_some(
                    boost::asio::buffer(
                            stream.data() + sent,
                            std::min<std::size_t>(1 + rng.below(5'000), stream.size() - sent)),
                    error);
            loop.poll();
        }
        loop.restart();
        loop.run_for(1ms);
    }
    loop.restart();
    loop.run_for(50ms);
    CHECK(server.inFlight() == 0);
    CHECK(server.bufferedBytes() == 0);
    Client client(loop, {.host = "127.0.0.1", .port = server.port()});
    int status = 0;
    client.send({.method = "POST", .target = "/", .body = "x"}, 1s,
                [&](const base::Result<Response> &response) {
                    status = response ? response.value().status : 0;
                });
    loop.restart();
    loop.run_for(300ms);
    CHECK(status == 200);
}

} // namespace chicorywick::http
