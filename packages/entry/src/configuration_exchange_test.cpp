#include "configuration_exchange.h"

#include <chicorywick/http/testing/slow_responder.h>

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
            answerConfigurationQuery(request, configuration, ageMs, respond);
        })
    {
        REQUIRE(server.listen({.host = "127.0.0.1"}));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    SharedConfiguration configuration;
    std::optional<scheduler::Millis> ageMs;
    std::vector<std::string> senders;
    http::Server server;
};

struct Fixture
{
    boost::asio::io_context loop;
    scheduler::Millis now = 10'000;
    std::vector<std::string> received;
    scheduler::Millis knownUntil = 0;
    Peer peer{loop};
    std::shared_ptr<ConfigurationExchange> exchange = std::make_shared<ConfigurationExchange>(
            loop, "127.0.0.1:1", 1,
            ConfigurationExchangeHooks{.clock = [this] { return now; },
                                       .onAnswer =
                                               [this](const PeerConfiguration &answer) {
                                                   if (answer.text)
                                                       received.push_back(*answer.text);
                                                   knownUntil = answer.knownUntil;
                                               }});

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
    fixture.peer.configuration.set(8, "eight");
    fixture.ask(7, {fixture.peer.address()});
    CHECK(fixture.received == std::vector<std::string>{"eight"});
    CHECK(fixture.peer.senders == std::vector<std::string>{"127.0.0.1:1"});
}

// Guards against a version that goes back, and against needless decoding of the same one.
TEST_CASE("a configuration that is not newer is not sent")
{
    Fixture fixture;
    fixture.peer.configuration.set(7, "text");
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
    fixture.peer.configuration.set(8, "eight");
    fixture.exchange->recordSender({.headers = {{kSenderHeader, fixture.peer.address()}}});
    fixture.ask(7, {});
    CHECK(fixture.received == std::vector<std::string>{"eight"});
}

// Guards against an instance that never gets a large configuration, because the transfer takes
// longer than the time limit of the query.
TEST_CASE("a configuration that takes long to transfer is fetched")
{
    constexpr int kParts = 15;
    Fixture fixture;
    const http::testing::SlowResponder peer(fixture.loop, {.parts = kParts, .pause = 100ms});
    fixture.exchange->ask(7, {peer.address()});
    fixture.loop.run_for(3s);
    CHECK(fixture.received == std::vector{std::string(kParts, 'x')});
}

// Guards against an exchange that stops after the first instance that does not answer, and against
// addresses that are none.
TEST_CASE("an instance that cannot be reached does not end the exchange")
{
    Fixture fixture;
    fixture.peer.configuration.set(8, "text");
    fixture.exchange->recordSender({.headers = {{kSenderHeader, "nowhere"}}});
    fixture.ask(7, {});
    fixture.ask(7, {"127.0.0.1:2"});
    fixture.ask(7, {fixture.peer.address()});
    CHECK(fixture.received.size() == 1);
}

// Guards against an instance that counts its configuration as new because a peer has answered that
// is cut off as well.
TEST_CASE("an answer of a peer tells up to when the configuration is known")
{
    Fixture fixture;
    fixture.peer.configuration.set(7, "seven");
    fixture.peer.ageMs = 2'500;
    fixture.ask(7, {fixture.peer.address()});
    CHECK(fixture.knownUntil == 7'500);
    fixture.peer.ageMs.reset();
    fixture.ask(7, {fixture.peer.address()});
    CHECK(fixture.knownUntil == 0);
}

// Guards against queries that go again and again to instances that cannot help.
TEST_CASE("an instance that could not help is asked after the others")
{
    constexpr int kQueries = 6;
    Fixture fixture;
    Peer outdated(fixture.loop);
    outdated.configuration.set(7, "seven");
    outdated.ageMs = 9'000;
    fixture.peer.configuration.set(7, "seven");
    fixture.peer.ageMs = 100;
    for (int query = 0; query < kQueries; ++query)
        fixture.ask(7, {"127.0.0.1:2", outdated.address(), fixture.peer.address()});
    CHECK(outdated.senders.size() <= 1);
    CHECK(fixture.peer.senders.size() >= kQueries - 2);
}

// Guards against large transfers to instances whose links are narrow.
TEST_CASE("a configuration is compressed for instances that accept it")
{
    const std::string text(100'000, 'x');
    SharedConfiguration configuration;
    configuration.set(8, text);
    http::Request request{.method = "GET", .target = "/configuration?after=7"};
    std::size_t bytes = 0;
    const auto query = [&] {
        answerConfigurationQuery(request, configuration, {},
                                 [&bytes](const auto &response) { bytes = response.body.size(); });
    };
    query();
    CHECK(bytes == text.size());
    request.headers["accept-encoding"] = "gzip";
    query();
    CHECK(bytes < text.size() / 10);
}

} // namespace chicorywick::entry
