#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <stdexcept>

namespace chicorywick::http {

namespace {

using namespace std::chrono_literals;

struct Fixture
{
    boost::asio::io_context loop;
    Responder pendingResponder;
    std::unique_ptr<Server> server = std::make_unique<Server>(
            loop,
            [this](const Request &request, Responder respond) {
                if (request.target == "/broken")
                    throw std::runtime_error("broken");
                if (request.target == "/later") {
                    pendingResponder = std::move(respond);
                    return;
                }
                respond(Response{.status = 200, .body = request.method + " " + request.body});
            },
            ServerLimits{.maxBodyBytes = 64});

    Fixture() { REQUIRE(server->listen({.host = "127.0.0.1"})); }
};

} // namespace

// Guards against a lost response when requests are sent while earlier ones still wait for theirs.
TEST_CASE("requests that are sent at once to one origin all receive a response")
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

// Guards against a request that is sent after the right to send it has ended, for example because
// it waited for a connection or the process was paused.
TEST_CASE("a request whose permission ends while it waits is not sent")
{
    Fixture fixture;
    Client client(fixture.loop, {.host = "127.0.0.1", .port = fixture.server->port()},
                  {.maxConnections = 1});
    bool isPermitted = true;
    std::vector<base::Code> codes;
    client.send({.method = "GET", .target = "/later"}, 2s, [](const base::Result<Response> &) {});
    client.send(
            {.method = "POST", .target = "/echo"}, 2s,
            [&](base::Result<Response> response) {
                REQUIRE(!response);
                codes.push_back(response.error().code);
            },
            [&isPermitted] { return isPermitted; });
    fixture.loop.run_for(100ms);
    REQUIRE(codes.empty());
    isPermitted = false;
    fixture.pendingResponder(Response{.status = 200});
    fixture.loop.run_for(300ms);
    CHECK(codes == std::vector{base::Code::UpstreamUnreachable});
}

// Guards against an unexpected error in one request that ends the whole process.
TEST_CASE("an exception in a handler ends its own request only")
{
    Fixture fixture;
    Client client(fixture.loop, {.host = "127.0.0.1", .port = fixture.server->port()});
    std::vector<int> statuses;
    for (const char *target : {"/broken", "/echo"})
        client.send({.method = "GET", .target = target}, 1s, [&](base::Result<Response> response) {
            REQUIRE(response);
            statuses.push_back(response.value().status);
        });
    fixture.loop.run_for(300ms);
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector{200, 500});
}

// Guards against reporting a request as not sent when only its response is missing: the server may
// have carried it out.
TEST_CASE("a request without a response has an unknown outcome, and a failed connection reports "
          "that nothing was sent")
{
    Fixture fixture;
    std::vector<base::Code> codes;
    const auto recordError = [&](base::Result<Response> response) {
        REQUIRE(!response);
        codes.push_back(response.error().code);
    };
    Client unansweredClient(fixture.loop, {.host = "127.0.0.1", .port = fixture.server->port()});
    unansweredClient.send({.method = "GET", .target = "/later"}, 50ms, recordError);
    Client unreachableClient(fixture.loop, {.host = "127.0.0.1", .port = 1});
    unreachableClient.send({.method = "GET", .target = "/echo"}, 50ms, recordError);
    fixture.loop.run_for(300ms);
    REQUIRE(codes.size() == 2);
    CHECK(codes[0] == base::Code::UpstreamUnreachable);
    CHECK(codes[1] == base::Code::UpstreamOutcomeUnknown);
}

// Guards against orders and announcements that get no outcome because the connections to their
// destination are closed while they wait for one.
TEST_CASE("a request that waits when its client is destroyed fails as not sent")
{
    Fixture fixture;
    auto client = std::make_unique<Client>(
            fixture.loop, Endpoint{.host = "127.0.0.1", .port = fixture.server->port()},
            ClientLimits{.maxConnections = 1});
    client->send({.method = "GET", .target = "/later"}, 1s, [](const base::Result<Response> &) {});
    std::vector<base::Code> failures;
    client->send({.method = "GET", .target = "/echo"}, 1s,
                 [&failures](const base::Result<Response> &response) {
                     REQUIRE(!response);
                     failures.push_back(response.error().code);
                 });
    fixture.loop.run_for(100ms);
    client.reset();
    CHECK(failures.empty()); // not called inside the destructor
    fixture.loop.run_for(100ms);
    CHECK(failures == std::vector<base::Code>{base::Code::UpstreamUnreachable});
}

// Guards against closing the connection without a response when a request exceeds a limit.
TEST_CASE("a request that exceeds the body limit receives status 413")
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

// Guards against a header within the limit of its size that takes many times that in memory.
TEST_CASE("a request with too many header fields receives status 431")
{
    Fixture fixture;
    Client client(fixture.loop, {.host = "127.0.0.1", .port = fixture.server->port()});
    std::vector<int> statuses;
    for (const int fields : {50, 150}) {
        Request request{.method = "GET", .target = "/echo"};
        for (int field = 0; field < fields; ++field)
            request.headers["x-" + std::to_string(field)] = "v";
        client.send(std::move(request), 1s, [&](base::Result<Response> response) {
            REQUIRE(response);
            statuses.push_back(response.value().status);
        });
    }
    fixture.loop.run_for(300ms);
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector{200, 431});
}

// Guards against a request that is asked to come back although it can never be handled.
TEST_CASE("a request that takes most of the server's memory is refused for good")
{
    boost::asio::io_context loop;
    Server server(
            loop,
            [](const Request &, const Responder &respond) { respond(Response{.status = 200}); },
            ServerLimits{.maxBufferedBytes = 256 * 1024, .handlingFactor = 8});
    REQUIRE(server.listen({.host = "127.0.0.1"}));
    Client client(loop, {.host = "127.0.0.1", .port = server.port()});
    std::vector<int> statuses;
    for (const std::size_t bytes : {1'000, 20'000})
        client.send({.method = "POST", .target = "/", .body = std::string(bytes, 'x')}, 1s,
                    [&](base::Result<Response> response) {
                        REQUIRE(response);
                        statuses.push_back(response.value().status);
                    });
    loop.run_for(300ms);
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector{200, 413});
    CHECK(server.bufferedBytes() == 0);
}

// Guards against using a wrong port when an address has no port or has characters after it.
TEST_CASE("an endpoint without a port or with trailing characters is invalid")
{
    CHECK(parseEndpoint("10.0.0.1:80") == Endpoint{.host = "10.0.0.1", .port = 80});
    CHECK(parseEndpoint("10.0.0.1").port == 0);
    CHECK(parseEndpoint("10.0.0.1:80x").port == 0);
}

} // namespace chicorywick::http
