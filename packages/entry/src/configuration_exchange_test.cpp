#include "configuration_exchange.h"

#include <doctest/doctest.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

/// @brief An entry instance that holds a version of the configuration and answers queries.
struct Peer
{
    explicit Peer(boost::asio::io_context &loop)
        : server(loop, [this](const http::Request &request, const http::Responder &respond) {
            senders.push_back(http::headerOf(request.headers, kSenderHeader));
            answerConfigurationQuery(request, version, text, respond);
        })
    {
        REQUIRE(server.listen({.host = "127.0.0.1"}));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    std::int64_t version = 0;
    std::string text;
    std::vector<std::string> senders;
    http::Server server;
};

struct Fixture
{
    boost::asio::io_context loop;
    std::vector<std::string> received;
    Peer peer{loop};
    std::shared_ptr<ConfigurationExchange> exchange = std::make_shared<ConfigurationExchange>(
            loop, "127.0.0.1:1", 1, [this](const std::string &text) { received.push_back(text); });

    void ask(std::int64_t version, const std::vector<std::string> &leaders)
    {
        exchange->ask(version, leaders);
        loop.restart();
        loop.run_for(300ms);
    }
};

} // namespace

// Guards against an entry instance that serves removed keys for as long as the store rejects it,
// although others know the newer version.
TEST_CASE("a newer configuration is fetched from a leader")
{
    Fixture fixture;
    fixture.peer.version = 8;
    fixture.peer.text = "eight";
    fixture.ask(7, {fixture.peer.address()});
    CHECK(fixture.received == std::vector<std::string>{"eight"});
    CHECK(fixture.peer.senders == std::vector<std::string>{"127.0.0.1:1"});
}

// Guards against a version that goes back, and against needless decoding of the same one.
TEST_CASE("a configuration that is not newer is not sent")
{
    Fixture fixture;
    fixture.peer.version = 7;
    fixture.ask(7, {fixture.peer.address()});
    fixture.ask(9, {fixture.peer.address()});
    CHECK(fixture.received.empty());
    CHECK(fixture.peer.senders.size() == 2);
}

// Guards against an instance that learns nothing because the store rejects all leaders that it
// knows as well.
TEST_CASE("an instance that has sent a request is asked too")
{
    Fixture fixture;
    fixture.peer.version = 8;
    fixture.peer.text = "eight";
    fixture.exchange->recordSender({.headers = {{kSenderHeader, fixture.peer.address()}}});
    fixture.ask(7, {});
    CHECK(fixture.received == std::vector<std::string>{"eight"});
}

// Guards against an exchange that stops after the first instance that does not answer, and against
// addresses that are none.
TEST_CASE("an instance that cannot be reached does not end the exchange")
{
    Fixture fixture;
    fixture.peer.version = 8;
    fixture.exchange->recordSender({.headers = {{kSenderHeader, "nowhere"}}});
    fixture.ask(7, {});
    fixture.ask(7, {"127.0.0.1:2"});
    fixture.ask(7, {fixture.peer.address()});
    CHECK(fixture.received.size() == 1);
}

} // namespace chicorywick::entry
