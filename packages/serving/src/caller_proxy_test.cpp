#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/serving/caller_proxy.h>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using namespace chicorywick;
using namespace chicorywick::serving;

namespace {

/// @brief An upstream on loopback that responds by path and counts the requests it ran.
struct Upstream
{
    Upstream()
    {
        const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
            ++ran;
            lastRequest = request;
            response.set_header("X-Echo", request.get_header_value("X-Echo"));
            response.set_header("X-Encoded", "a%0d%0aX-Injected: 1");
            response.set_content(request.method + request.target + request.body, "text/plain");
        };
        server.Get("/shop/large", [](const httplib::Request &, httplib::Response &response) {
            response.set_content(std::string(3'000'000, 'x'), "text/plain");
        });
        server.Get("/shop/parallel", [this](const httplib::Request &, httplib::Response &) {
            ++ran; // sets nothing else, so that requests can run at the same time
        });
        server.Get("/shop/.*", handler);
        server.Post("/shop/.*", handler);
        server.Delete("/shop/.*", handler);
        port = server.bind_to_any_port("127.0.0.1");
        thread = std::thread([this] { server.listen_after_bind(); });
        while (!server.is_running())
            std::this_thread::yield();
    }
    ~Upstream()
    {
        server.stop();
        thread.join();
    }

    httplib::Server server;
    std::thread thread;
    int port = 0;
    std::atomic<int> ran = 0;
    httplib::Request lastRequest;
};

struct Fixture
{
    explicit Fixture(const CallerProxyOptions &options = {})
    {
        RoutingTable table;
        table.localZone = "a";
        table.services["shop"].upstreams.push_back(
                {.target = {.id = "u1", .host = "127.0.0.1", .port = upstream.port, .zone = "a"}});
        dispatcher->update(table);
        proxy = std::move(CallerProxy::open(options, dispatcher, store).value());
        client = std::make_unique<httplib::Client>("127.0.0.1", proxy->port());
        client->set_keep_alive(true);
        client->set_url_encode(false);
    }

    Upstream upstream;
    std::shared_ptr<platform::MemoryPlatform> memory = std::make_shared<platform::MemoryPlatform>();
    std::shared_ptr<Dispatcher> dispatcher = std::make_shared<Dispatcher>(base::Clock(), 1);
    std::shared_ptr<IdempotencyStore> store = std::make_shared<IdempotencyStore>(
            platform::Table(platform::MemoryAccess{memory, "a"}),
            platform::ObjectStore(platform::MemoryAccess{memory, "a"}), base::Clock());
    std::unique_ptr<CallerProxy> proxy;
    std::unique_ptr<httplib::Client> client;
};

/// @brief Sends bytes and reads until the proxy closes the connection.
std::string sendRaw(int port, const std::string &bytes)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    REQUIRE(::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string received;
    char part[4096];
    ssize_t count = 0;
    while ((count = ::recv(fd, part, sizeof part, 0)) > 0)
        received.append(part, static_cast<std::size_t>(count));
    ::close(fd);
    return received;
}

/// @brief Waits until no request is in flight. The proxy releases the slot of a streamed response
/// after it has written the last byte, so the caller can read the whole response before that.
bool becomesIdle(const Dispatcher &dispatcher)
{
    constexpr std::chrono::seconds kTimeout{1};
    constexpr std::chrono::milliseconds kPollInterval{1};
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (dispatcher.inFlight() != 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(kPollInterval);
    return dispatcher.inFlight() == 0;
}

std::string outcome(const httplib::Result &result)
{
    return result ? result->get_header_value("X-Request-Outcome")
                  : "no response: " + httplib::to_string(result.error());
}

} // namespace

// Guards against the HTTP library decoding or re-encoding targets, headers and bodies.
TEST_CASE("a request and its response are forwarded unchanged")
{
    Fixture fixture;
    const auto result = fixture.client->Post("/shop/a%20b?x=%41", {{"X-Echo", "50%"}}, "body",
                                             "application/x-www-form-urlencoded");
    CHECK(outcome(result) == "completed");
    CHECK(result->body == "POST/shop/a%20b?x=%41body");
    CHECK(result->get_header_value("X-Echo") == "50%");
    CHECK(fixture.upstream.lastRequest.has_header("X-Request-Deadline-Ms"));
    CHECK(fixture.upstream.ran == 1);
}

// Guards against header injection: the HTTP library percent-decodes header values.
TEST_CASE("an encoded line break in a header does not become a real one")
{
    Fixture fixture;
    const auto result = fixture.client->Get("/shop/x");
    REQUIRE(result);
    CHECK_FALSE(result->has_header("X-Injected"));
}

// Guards against truncated streams, and against a slot that is not released after one.
TEST_CASE("a large response of known length is streamed completely")
{
    Fixture fixture;
    const auto result = fixture.client->Get("/shop/large");
    CHECK(outcome(result) == "completed");
    CHECK((result->body == std::string(3'000'000, 'x')));
    CHECK(becomesIdle(*fixture.dispatcher));
}

// Guards against waiting for a body that a response to HEAD never has.
TEST_CASE("HEAD has the headers of GET and no body")
{
    Fixture fixture;
    const auto result = fixture.client->Head("/shop/large");
    CHECK(outcome(result) == "completed");
    CHECK(result->get_header_value("Content-Length") == "3000000");
}

// Guards against forwarding invalid requests, and against errors without a result code.
TEST_CASE("malformed input gets an error with a result code and is not run")
{
    Fixture fixture;
    const auto deadline = fixture.client->Get("/shop/x", {{"X-Request-Deadline-Ms", "soon"}});
    CHECK(outcome(deadline) == "not-run");
    CHECK(deadline->get_header_value("X-Result-Code") == "2002");
    const auto keyless = fixture.client->Post("/shop/x", {{"Idempotency-Key", "k"}}, "b", "t/x");
    CHECK(outcome(keyless) == "not-run");
    const auto large = fixture.client->Post("/shop/x", std::string(2'000'000, 'b'), "t/x");
    CHECK((!large || large->get_header_value("X-Result-Code") == "2003"));
    const auto unknown = fixture.client->Get("/nothing/x");
    CHECK(outcome(unknown) == "not-run");
    CHECK(unknown->get_header_value("X-Result-Code") == "4012");
    CHECK(fixture.upstream.ran == 0);
}

// Guards against running a non-idempotent request twice when the caller repeats it.
TEST_CASE("a repeat with the same key gets the stored response")
{
    Fixture fixture;
    const httplib::Headers headers{{"X-Caller", "c"}, {"Idempotency-Key", "k1"}, {"X-Echo", "e"}};
    const auto first = fixture.client->Post("/shop/pay", headers, "1", "t/x");
    const auto second = fixture.client->Post("/shop/pay", headers, "1", "t/x");
    CHECK(outcome(first) == "completed");
    CHECK(outcome(second) == "completed");
    CHECK(second->body == first->body);
    CHECK(second->get_header_value("X-Echo") == "e");
    CHECK(fixture.upstream.ran == 1);
    const auto other = fixture.client->Post("/shop/pay", headers, "2", "t/x");
    CHECK(other->status == 422);
    CHECK(outcome(other) == "not-run");
}

// Guards against sending a request whose claim cannot be recorded; a repeat would run it again.
TEST_CASE("a request with a key is not sent while the table is down")
{
    Fixture fixture;
    platform::FaultPlan faults;
    faults.table.down = true;
    fixture.memory->setFaults(faults);
    const httplib::Headers headers{{"X-Caller", "c"}, {"Idempotency-Key", "k1"}};
    const auto refused = fixture.client->Post("/shop/pay", headers, "1", "t/x");
    CHECK(outcome(refused) == "not-run");
    CHECK(refused->get_header_value("X-Result-Code") == "4010");
    CHECK(fixture.upstream.ran == 0);
    fixture.memory->setFaults({});
    CHECK(outcome(fixture.client->Post("/shop/pay", headers, "1", "t/x")) == "completed");
}

// Guards against running requests during a drain, and against closing kept-alive connections
// without a response.
TEST_CASE("a draining proxy rejects requests on kept-alive connections as not-run")
{
    Fixture fixture;
    CHECK(outcome(fixture.client->Get("/shop/x")) == "completed");
    fixture.proxy->beginDrain();
    const auto result = fixture.client->Get("/shop/x");
    REQUIRE(outcome(result) == "not-run");
    CHECK(result->get_header_value("Connection") == "close");
    CHECK(result->get_header_value("X-Result-Code") == "4011");
    fixture.proxy->stop();
    CHECK(fixture.upstream.ran == 1);
}

// Guards against a reset of a connection whose handshake is in progress when the proxy stops: its
// request would be cut off without a response.
TEST_CASE("a connection that was established during a stop gets a response")
{
    constexpr int kStops = 60;
    constexpr int kCallers = 8;
    std::atomic<int> interrupted = 0;
    for (int round = 0; round < kStops; ++round) {
        Fixture fixture;
        std::vector<std::thread> callers;
        for (int i = 0; i < kCallers; ++i)
            callers.emplace_back([&] {
                while (true) {
                    httplib::Client client("127.0.0.1", fixture.proxy->port());
                    client.set_connection_timeout(std::chrono::milliseconds(300));
                    const auto result = client.Get("/shop/parallel");
                    const bool isRefused =
                            !result
                            && (result.error() == httplib::Error::Connection
                                || result.error() == httplib::Error::ConnectionTimeout);
                    if (isRefused)
                        return;
                    interrupted += result ? 0 : 1;
                }
            });
        while (fixture.upstream.ran < 2 * kCallers)
            std::this_thread::yield();
        fixture.proxy->beginDrain();
        fixture.proxy->stop();
        for (std::thread &caller : callers)
            caller.join();
    }
    CHECK(interrupted.load() == 0);
}

// Guards against treating the bytes after malformed input as a new request.
TEST_CASE("invalid bytes get one response with a result code and the connection closes")
{
    Fixture fixture;
    const auto answerTo = [&](const std::string &bytes) {
        const std::string answer = sendRaw(fixture.proxy->port(), bytes);
        CHECK(answer.find("X-Request-Outcome: not-run") != std::string::npos);
        CHECK(answer.rfind("HTTP/1.1") == 0);
        const std::size_t at = answer.find("X-Result-Code: ");
        return at == std::string::npos ? answer : answer.substr(at + 15, 4);
    };
    CHECK(answerTo("nonsense\r\n\r\nGET /shop/x HTTP/1.1\r\n\r\n") == "2001");
    CHECK(answerTo("POST /shop/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n0\r\n\r\nGET /shop/x HTTP/1.1\r\n\r\n")
          == "2001");
    CHECK(answerTo("GET /shop/x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc") == "2002");
    CHECK(answerTo("GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n\r\n") == "2003");
    CHECK(answerTo("GET /" + std::string(60000, 'a') + " HTTP/1.1\r\n\r\n") == "2003");
    std::string headers;
    for (int i = 0; i < 2000; ++i)
        headers += "X-H" + std::to_string(i) + ": some value\r\n";
    CHECK(answerTo("GET /shop/x HTTP/1.1\r\n" + headers + "\r\n") == "2003");
    CHECK(fixture.upstream.ran == 0);
}
