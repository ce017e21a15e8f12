#include "chicorywick/v1/fleet_service.pb.h"

#include <chicorywick/cli/cli.h>
#include <chicorywick/cli/command.h>
#include <chicorywick/twirp/listener.h>

#include <doctest/doctest.h>

#include <sstream>

namespace chicorywick::cli {

namespace {

struct Output
{
    int exitCode;
    std::string out;
    std::string err;
};

Output runWith(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int exitCode = runCli(arguments, out, err);
    return {exitCode, out.str(), err.str()};
}

std::unique_ptr<twirp::Listener> fakeServer()
{
    twirp::Router router;
    router.add<v1::GetPoolRequest, v1::Pool>(
            "chicorywick.v1.FleetService", "GetPool",
            [](const twirp::CallContext &,
               const v1::GetPoolRequest &request) -> base::Result<v1::Pool> {
                if (request.name() != "counter")
                    return base::makeError(base::Code::NotFound, "pool '" + request.name() + "'");
                v1::Pool pool;
                pool.mutable_row()->set_name("counter");
                pool.mutable_row()->mutable_budget()->set_max_unavailable_percent(10);
                return pool;
            });
    return std::move(twirp::Listener::open({}, std::move(router)).value());
}

} // namespace

// Each registered command must accept --help and print its own summary.
TEST_CASE("every command prints help with its summary")
{
    for (const Command &command : allCommands()) {
        std::vector<std::string> words{command.group};
        if (!command.name.empty())
            words.push_back(command.name);
        words.push_back("--help");
        const Output output = runWith(words);
        CHECK(output.exitCode == 0);
        CHECK(output.out.find(command.summary) != std::string::npos);
    }
    CHECK(runWith({"--help"}).exitCode == 0);
}

// A mistyped command or option must not be ignored silently.
TEST_CASE("a usage error exits with 2 and prints its result code")
{
    for (const std::vector<std::string> &words :
         std::vector<std::vector<std::string>>{{"pool", "make"},
                                               {"pool", "show"},
                                               {"pool", "show", "a", "b"},
                                               {"pool", "show", "a", "--bogus"},
                                               {"pool", "create", "a", "--max-unavailable", "x"},
                                               {"pool", "show", "a", "--server", "nowhere"},
                                               {"job", "submit", "p", "j", "--class", "fast"}}) {
        const Output output = runWith(words);
        CHECK(output.exitCode == 2);
        CHECK(output.err.find("error 8001") != std::string::npos);
    }
}

// Scripts rely on the column layout, the JSON field names and the result codes of server errors.
TEST_CASE("responses are printed as a table or JSON, and server errors with their code")
{
    const auto server = fakeServer();
    const std::string address = "127.0.0.1:" + std::to_string(server->port());
    const Output table = runWith({"pool", "show", "counter", "--server", address});
    CHECK(table.exitCode == 0);
    CHECK(table.out.find("counter  0        0       10%") != std::string::npos);
    const Output json = runWith({"pool", "show", "counter", "--json", "--server", address});
    CHECK(json.out.find("\"max_unavailable_percent\":10") != std::string::npos);
    const Output missing = runWith({"pool", "show", "x", "--server", address});
    CHECK(missing.exitCode == 1);
    CHECK(missing.err.find("error 2004") != std::string::npos);
}

// A call must not fail while another entry instance is reachable.
TEST_CASE("an unreachable server is skipped; if none is reachable, the exit code is 3")
{
    const auto server = fakeServer();
    int closedPort = 0;
    closedPort = fakeServer()->port();
    const std::string closed = "127.0.0.1:" + std::to_string(closedPort);
    const std::string both = closed + ",127.0.0.1:" + std::to_string(server->port());
    CHECK(runWith({"pool", "show", "counter", "--server", both}).exitCode == 0);
    CHECK(runWith({"pool", "show", "counter", "--server", closed}).exitCode == 3);
}

} // namespace chicorywick::cli
