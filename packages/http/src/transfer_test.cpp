#include <chicorywick/http/client.h>
#include <chicorywick/http/testing/slow_responder.h>

#include <doctest/doctest.h>

#include <optional>

namespace chicorywick::http {

namespace {

using namespace std::chrono_literals;

const RequestOptions kProgressLimits{.timeout = 300ms, .stallTimeout = 300ms};

struct Fixture
{
    explicit Fixture(testing::SlowResponse response)
        : server(loop, response)
    {}

    void send(RequestOptions options)
    {
        client.send({.method = "GET", .target = "/"}, std::move(options),
                    [this](base::Result<Response> answer) { result = std::move(answer); });
    }

    boost::asio::io_context loop;
    testing::SlowResponder server;
    Client client{loop, {.host = "127.0.0.1", .port = server.port()}};
    std::optional<base::Result<Response>> result;
};

} // namespace

// Guards against large responses that no request can receive before its time limit.
TEST_CASE("a response that keeps arriving is received after the timeout")
{
    Fixture fixture({.parts = 10, .pause = 100ms});
    fixture.send(kProgressLimits);
    fixture.loop.run_for(3s);
    REQUIRE(fixture.result);
    REQUIRE(*fixture.result);
    CHECK(fixture.result->value().body == std::string(10, 'x'));
}

// Guards against a request that waits forever for the rest of a response.
TEST_CASE("a response that stalls is given up")
{
    Fixture fixture({.parts = 10, .pause = 100ms, .partsSent = 4});
    fixture.send(kProgressLimits);
    fixture.loop.run_for(3s);
    REQUIRE(fixture.result);
    CHECK(!*fixture.result);
}

// Guards against a request that waits forever for a response without an end.
TEST_CASE("a response that takes longer than its transfer timeout is given up")
{
    Fixture fixture({.parts = 100, .pause = 50ms});
    RequestOptions options = kProgressLimits;
    options.transferTimeout = 500ms;
    fixture.send(options);
    fixture.loop.run_for(2s);
    REQUIRE(fixture.result);
    CHECK(!*fixture.result);
}

// Guards against a longer wait for a response that never begins.
TEST_CASE("a response that does not begin is given up at the timeout")
{
    Fixture fixture({.parts = 10, .pause = 2s});
    fixture.send(kProgressLimits);
    fixture.loop.run_for(1s);
    REQUIRE(fixture.result);
    CHECK(!*fixture.result);
}

// Guards against responses that nobody waits for and that take the bandwidth of others.
TEST_CASE("a cancelled request ends at once and its connection is closed")
{
    Fixture fixture({.parts = 30, .pause = 50ms});
    const auto transfer = std::make_shared<Transfer>();
    RequestOptions options = kProgressLimits;
    options.transfer = transfer;
    fixture.send(options);
    fixture.loop.run_for(400ms);
    REQUIRE(!fixture.result);
    CHECK(transfer->hasBegun());
    CHECK(transfer->bytes() > 0);
    transfer->cancel();
    fixture.loop.run_for(10ms);
    REQUIRE(fixture.result);
    CHECK(!*fixture.result);
    fixture.loop.run_for(300ms);
    CHECK(fixture.server.isClosedByClient());
}

} // namespace chicorywick::http
