#include "deployment.h"

#include <chicorywick/base/unique_id.h>
#include <chicorywick/cli/cli.h>

#include <httplib.h>

#include <fstream>
#include <sstream>

namespace chicorywick::e2e {

namespace {

std::vector<std::string> standinCommand(const std::vector<std::string> &zones)
{
    std::vector<std::string> command{STANDIN};
    command.insert(command.end(), zones.begin(), zones.end());
    return command;
}

int portAfter(ChildProcess &process, const std::string &text)
{
    const std::string rest = process.waitForLine(text);
    return std::stoi(rest.substr(rest.rfind(':') + 1));
}

void post(int port, const std::string &path, const std::string &body)
{
    httplib::Client client("127.0.0.1", port);
    const auto response = client.Post(path, body, "application/json");
    if (!response || response->status != 200)
        throw std::runtime_error("the stand-in rejected POST " + path + " " + body);
}

std::string get(int port, const std::string &path)
{
    httplib::Client client("127.0.0.1", port);
    const auto response = client.Get(path);
    return response ? response->body : "";
}

} // namespace

Deployment::Deployment(const std::vector<std::string> &zones)
    : folder_(std::filesystem::temp_directory_path() / ("chicorywick-e2e-" + base::uniqueId()))
    , platform_(standinCommand(zones))
{
    std::filesystem::create_directories(folder_);
    tokenFile_ = writeFile("token", "e2e-token\n");
    control_ = portAfter(platform_, "control ");
    platform_.waitForLine("ready");
}

Deployment::~Deployment()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string Deployment::writeFile(const std::string &name, const std::string &content) const
{
    const std::filesystem::path path = folder_ / name;
    std::ofstream(path) << content;
    return path.string();
}

void Deployment::postInstance(const std::string &json) const
{
    post(control_, "/instances", "[" + json + "]");
}

EntryInstance &Deployment::startEntry(const std::string &id, const std::string &zone)
{
    std::ostringstream settings;
    settings << R"({"deployment": "e2e", "member_id": ")" << id << R"(", "zone": ")" << zone
             << R"(", "listeners": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0",)"
             << R"( "health": "127.0.0.1:0", "peers": "127.0.0.1:0"},)"
             << R"( "operator_token_file": ")" << tokenFile_
             << R"(", "readiness_grace_ms": 500, "min_drain_ms": 4000,)"
             << R"( "platform": {"kind": "remote", "address": "127.0.0.1:)"
             << portAfter(platform_, "zone " + zone + " ") << R"("}})";
    auto entry = std::make_unique<EntryInstance>();
    entry->id = id;
    entry->zone = zone;
    entry->process = std::make_unique<ChildProcess>(std::vector<std::string>{
            CHICORYWICKD, "--settings", writeFile(id + ".json", settings.str())});
    ChildProcess &process = *entry->process;
    entry->callers = portAfter(process, "listener=callers address=127.0.0.1:");
    entry->operators = portAfter(process, "listener=operators address=127.0.0.1:");
    entry->health = portAfter(process, "listener=health address=127.0.0.1:");
    entry->peers = process.waitForLine("listener=peers address=");
    process.waitForLine("daemon.started");
    postInstance(R"({"id": ")" + id + R"(", "kind": "entry", "zone": ")" + zone
                 + R"(", "address": ")" + entry->peers + R"("})");
    entries_.push_back(std::move(entry));
    return *entries_.back();
}

void Deployment::startUpstream(const std::string &id, const std::string &zone,
                               const std::string &service)
{
    Upstream upstream;
    upstream.id = id;
    upstream.process =
            std::make_unique<ChildProcess>(std::vector<std::string>{STANDIN, "--upstream", id});
    upstream.port = portAfter(*upstream.process, "upstream ");
    postInstance(R"({"id": ")" + id + R"(", "kind": "upstream", "zone": ")" + zone
                 + R"(", "rack": "rack-)" + id + R"(", "service": ")" + service
                 + R"(", "address": "127.0.0.1:)" + std::to_string(upstream.port) + R"("})");
    upstreams_.push_back(std::move(upstream));
}

void Deployment::addWorker(const std::string &id, const std::string &zone, const std::string &rack)
{
    postInstance(R"({"id": ")" + id + R"(", "kind": "worker", "zone": ")" + zone + R"(", "rack": ")"
                 + rack + R"(", "cpu_millis": 16000, "memory_mib": 32768, "accelerators": 1})");
}

void Deployment::setFaults(const std::string &json) const
{
    post(control_, "/faults", json);
}

std::string Deployment::recordedRequests(const std::string &id) const
{
    for (const Upstream &upstream : upstreams_) {
        if (upstream.id == id)
            return get(upstream.port, "/record");
    }
    throw std::runtime_error("no upstream with id " + id);
}

std::string Deployment::taskRuns() const
{
    return get(control_, "/runs");
}

CliResult Deployment::cli(const std::vector<std::string> &arguments) const
{
    std::string servers;
    for (const auto &entry : entries_)
        servers += (servers.empty() ? "" : ",") + ("127.0.0.1:" + std::to_string(entry->operators));
    return cliAt(servers, arguments);
}

CliResult Deployment::cliAt(const std::string &server, std::vector<std::string> arguments) const
{
    arguments.insert(arguments.end(),
                     {"--server", server, "--token-file", tokenFile_, "--operator", "e2e"});
    std::ostringstream out;
    std::ostringstream err;
    const int exitCode = cli::runCli(arguments, out, err);
    return {exitCode, out.str(), err.str()};
}

int Deployment::bootCount(const std::string &instance) const
{
    return std::stoi(get(control_, "/boots/" + instance));
}

bool Deployment::waitForMembers(std::chrono::seconds limit) const
{
    return waitUntil(limit, [this] {
        for (const auto &entry : entries_) {
            const std::string server = "127.0.0.1:" + std::to_string(entry->operators);
            const std::string text = cliAt(server, {"status", "--json"}).out;
            std::size_t alive = 0;
            for (std::size_t at = text.find("\"alive\""); at != std::string::npos;
                 at = text.find("\"alive\"", at + 1))
                ++alive;
            if (alive != entries_.size() || get(entry->health, "/readyz") != "ready\n")
                return false;
        }
        return true;
    });
}

} // namespace chicorywick::e2e
