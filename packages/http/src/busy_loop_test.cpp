#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <thread>

namespace chicorywick::http {

namespace {

using namespace std::chrono_literals;

// As large as the rows that change in a second of a loaded table.
constexpr std::size_t kLargeBodyBytes = 400'000;
// A turn of a busy loop takes some 25 ms, and a view of the table must not be a second old.
constexpr int kMaxTurns = 40;

/// @brief A loop in which other work takes a part of each turn; counts the turns.
class BusyLoop
{
public:
    boost::asio::io_context context;
    int turns = 0;

    void runUntil(const bool &isDone)
    {
        work();
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (!isDone && std::chrono::steady_clock::now() < deadline)
            context.run_one();
    }

private:
    void work()
    {
        boost::asio::post(context, [this] {
            ++turns;
            std::this_thread::sleep_for(5ms);
            work();
        });
    }
};

struct Fixture
{
    BusyLoop loop;
    Server server{loop.context, [](const Request &request, const Responder &respond) {
                      const bool isQuery = request.method == "GET";
                      respond({.body = isQuery ? std::string(kLargeBodyBytes, 'x')
                                               : std::to_string(request.body.size())});
                  }};
    std::unique_ptr<Client> client;
    bool isDone = false;
    std::string body;

    void send(Request request)
    {
        REQUIRE(server.listen({.host = "127.0.0.1"}));
        client = std::make_unique<Client>(loop.context,
                                          Endpoint{.host = "127.0.0.1", .port = server.port()});
        client->send(std::move(request), 20s, [this](base::Result<Response> response) {
            REQUIRE(response);
            body = std::move(response.value().body);
            isDone = true;
        });
        loop.runUntil(isDone);
    }
};

} // namespace

// Guards against answers of the store that take seconds to read because each piece waits for a
// turn of the loop.
TEST_CASE("a large response is read in a few turns of a busy loop")
{
    Fixture fixture;
    fixture.send({.method = "GET", .target = "/rows"});
    CHECK(fixture.body == std::string(kLargeBodyBytes, 'x'));
    CHECK(fixture.loop.turns <= kMaxTurns);
}

// Guards against rows announced by peers that time out for the same reason.
TEST_CASE("a large request is read in a few turns of a busy loop")
{
    Fixture fixture;
    fixture.send({.method = "POST", .target = "/rows", .body = std::string(kLargeBodyBytes, 'x')});
    CHECK(fixture.body == std::to_string(kLargeBodyBytes));
    CHECK(fixture.loop.turns <= kMaxTurns);
}

// Guards against announcements that are given up because each new connection waits for a turn of
// its own.
TEST_CASE("connections that arrive together are accepted in a few turns of a busy loop")
{
    constexpr int kConnections = 200;
    BusyLoop loop;
    Server server(loop.context, [](const Request &, const Responder &respond) { respond({}); });
    REQUIRE(server.listen({.host = "127.0.0.1"}));
    Client client(loop.context, Endpoint{.host = "127.0.0.1", .port = server.port()},
                  {.maxConnections = kConnections});
    int answers = 0;
    bool isDone = false;
    for (int i = 0; i < kConnections; ++i)
        client.send({.method = "GET", .target = "/"}, 20s,
                    [&](const base::Result<Response> &) { isDone = ++answers == kConnections; });
    loop.runUntil(isDone);
    CHECK(answers == kConnections);
    CHECK(loop.turns <= kMaxTurns);
}

} // namespace chicorywick::http
