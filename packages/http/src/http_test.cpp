#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <doctest/doctest.h>

namespace chicorywick::http {

namespace {

using namespace std::chrono_literals;

struct Fixture
{
    boost::asio::io_context loop;
    Responder kept;
    std::unique_ptr<Server> server = std::make_unique<Server>(
            loop,
            [this](const Request &request, Responder respond) {
                if (request.target == "/later") {
                    kept = std::move(respond);
                    return;
                }
                respond(Response{.status = 200, .body = request.method + " " + request.body});
            },
            ServerLimits{.maxBodyBytes = 64});

    Fixture() { REQUIRE(server->listen({.host = "127.0.0.1"})); }
};

} // namespace

TEST_CASE("a response is delivered on a kept connection, and later ones reuse it")
{
    Fixture fixture;
    Client client(fixture.loop, {.host = "127.0.0.1", .port = fixture.server->port()});
    std::vector<std::string> bodies;
    for (const char *body : {"a", "b", "c"})
        client.send({.method = "POST", .target = "/echo", .body = body}, 1s,
                    [&](base::Result<Response> response) {
                        REQUIRE(response);
                        bodies.push_back(response.value().body);
                    });
    fixture.loop.run_for(300ms);
    CHECK(bodies.size() == 3);
}

// Guards against a refusal that is reported although the server may have carried out the request.
TEST_CASE("a request without a response has an unknown outcome, one without a connection was not "
          "sent")
{
    Fixture fixture;
    std::vector<base::Code> codes;
    const auto note = [&](base::Result<Response> response) {
        REQUIRE(!response);
        codes.push_back(response.error().code);
    };
    Client silent(fixture.loop, {.host = "127.0.0.1", .port = fixture.server->port()});
    silent.send({.method = "GET", .target = "/later"}, 50ms, note);
    Client closed(fixture.loop, {.host = "127.0.0.1", .port = 1});
    closed.send({.method = "GET", .target = "/echo"}, 50ms, note);
    fixture.loop.run_for(300ms);
    REQUIRE(codes.size() == 2);
    CHECK(codes[0] == base::Code::UpstreamUnreachable);
    CHECK(codes[1] == base::Code::UpstreamOutcomeUnknown);
}

// Guards against an oversized or malformed request that kills the connection without an answer.
TEST_CASE("a request that exceeds the body limit is refused")
{
    Fixture fixture;
    Client client(fixture.loop, {.host = "127.0.0.1", .port = fixture.server->port()});
    int status = 0;
    client.send({.method = "POST", .target = "/echo", .body = std::string(100, 'x')}, 1s,
                [&](base::Result<Response> response) {
                    REQUIRE(response);
                    status = response.value().status;
                });
    fixture.loop.run_for(300ms);
    CHECK(status == 413);
}

TEST_CASE("addresses are read strictly")
{
    CHECK(parseEndpoint("10.0.0.1:80") == Endpoint{.host = "10.0.0.1", .port = 80});
    CHECK(parseEndpoint("10.0.0.1").port == 0);
    CHECK(parseEndpoint("10.0.0.1:80x").port == 0);
}

} // namespace chicorywick::http
