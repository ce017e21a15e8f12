#include "json_reader.h"

#include <chicorywick/daemon/settings.h>

#include <arpa/inet.h>

#include <charconv>
#include <fstream>
#include <iterator>
#include <set>

namespace chicorywick::daemon {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPathLength = 4096;
constexpr int kMaxPort = 65535;
constexpr std::int64_t kMaxResource = 100'000'000;

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint{.host = text.substr(0, colon), .port = -1};
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, endpoint.port);
    in_addr address{};
    const bool isValid = error == std::errc() && end == last && endpoint.port >= 0
                         && endpoint.port <= kMaxPort
                         && inet_pton(AF_INET, endpoint.host.c_str(), &address) == 1;
    if (!isValid)
        return std::nullopt;
    return endpoint;
}

Endpoint readEndpoint(JsonReader &reader, const std::string &key)
{
    const std::string text = reader.text(key, kMaxNameLength);
    if (text.empty())
        return {};
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        reader.addProblem(key, "\"" + text + "\"",
                          "an IPv4 address and port such as 127.0.0.1:7401");
        return {};
    }
    return *endpoint;
}

platform::ListedInstance readInstance(JsonReader &reader)
{
    platform::ListedInstance instance;
    instance.id = reader.text("id", kMaxNameLength);
    const std::string kind = reader.choice("kind", {"upstream", "worker"});
    instance.kind =
            kind == "worker" ? platform::InstanceKind::Worker : platform::InstanceKind::Upstream;
    instance.zone = reader.text("zone", kMaxNameLength);
    instance.rack = reader.text("rack", kMaxNameLength, "");
    if (kind == "upstream") {
        const Endpoint endpoint = readEndpoint(reader, "address");
        instance.address = endpoint.host + ":" + std::to_string(endpoint.port);
        instance.service = reader.text("service", kMaxNameLength);
    } else {
        instance.capacity.cpuMillis =
                static_cast<std::uint32_t>(reader.number("cpu_millis", 1, kMaxResource));
        instance.capacity.memoryMib =
                static_cast<std::uint32_t>(reader.number("memory_mib", 1, kMaxResource));
        instance.capacity.accelerators =
                static_cast<std::uint32_t>(reader.number("accelerators", 0, kMaxResource, 0));
    }
    reader.rejectUnknownKeys();
    return instance;
}

std::variant<EmbeddedPlatform, RemotePlatform> readPlatform(JsonReader reader)
{
    constexpr std::int64_t kMaxTimeoutMs = 60'000;
    constexpr std::int64_t kDefaultTimeoutMs = 2'000;
    if (reader.choice("kind", {"remote", "embedded"}) == "embedded") {
        EmbeddedPlatform embedded;
        std::set<std::string> ids;
        for (JsonReader &instance : reader.array("instances")) {
            embedded.instances.push_back(readInstance(instance));
            if (!ids.insert(embedded.instances.back().id).second)
                instance.addProblem("id", "\"" + embedded.instances.back().id + "\" twice",
                                    "a unique id");
        }
        reader.rejectUnknownKeys();
        return embedded;
    }
    RemotePlatform remote;
    remote.endpoint = readEndpoint(reader, "address");
    remote.callTimeout = std::chrono::milliseconds(
            reader.number("call_timeout_ms", 1, kMaxTimeoutMs, kDefaultTimeoutMs));
    reader.rejectUnknownKeys();
    return remote;
}

void rejectDuplicateEndpoints(JsonReader &reader, const Settings &settings)
{
    std::set<std::pair<std::string, int>> seen;
    for (const Endpoint &endpoint :
         {settings.callers, settings.operators, settings.health, settings.peers}) {
        if (endpoint.port != 0 && !seen.insert({endpoint.host, endpoint.port}).second)
            reader.addProblem("listeners",
                              endpoint.host + ":" + std::to_string(endpoint.port) + " twice",
                              "a different address for each listener");
    }
}

std::string formatProblems(const std::vector<std::string> &problems)
{
    std::string text;
    for (const std::string &problem : problems)
        text += "\n  " + problem;
    return text;
}

} // namespace

base::Result<Settings> parseSettings(const std::string &json)
{
    constexpr std::int64_t kMaxGraceMs = 60'000;
    constexpr std::int64_t kMaxThreads = 4'096;
    const auto root = nlohmann::json::parse(json, nullptr, false, true);
    if (root.is_discarded())
        return base::makeError(base::Code::SettingsUnreadable, "not valid JSON");

    const Settings defaults;
    Settings settings;
    JsonReader reader(root);
    settings.deployment = reader.text("deployment", kMaxNameLength);
    settings.memberId = reader.text("member_id", kMaxNameLength);
    settings.zone = reader.text("zone", kMaxNameLength);
    JsonReader listeners = reader.object("listeners");
    settings.callers = readEndpoint(listeners, "callers");
    settings.operators = readEndpoint(listeners, "operators");
    settings.health = readEndpoint(listeners, "health");
    settings.peers = readEndpoint(listeners, "peers");
    listeners.rejectUnknownKeys();
    rejectDuplicateEndpoints(reader, settings);
    settings.operatorTokenFile = reader.text("operator_token_file", kMaxPathLength);
    settings.platform = readPlatform(reader.object("platform"));
    settings.readinessGrace = std::chrono::milliseconds(reader.number(
            "readiness_grace_ms", 0, kMaxGraceMs,
            std::chrono::duration_cast<std::chrono::milliseconds>(defaults.readinessGrace)
                    .count()));
    constexpr std::int64_t kMaxMinDrainMs = 600'000;
    settings.minDrain = std::chrono::milliseconds(reader.number(
            "min_drain_ms", 0, kMaxMinDrainMs,
            std::chrono::duration_cast<std::chrono::milliseconds>(defaults.minDrain).count()));
    settings.callerThreads = static_cast<int>(
            reader.number("caller_threads", 1, kMaxThreads, defaults.callerThreads));
    reader.rejectUnknownKeys();
    if (!reader.problems().empty())
        return base::makeError(base::Code::SettingsInvalid, formatProblems(reader.problems()));
    return settings;
}

base::Result<Settings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return base::makeError(base::Code::SettingsUnreadable, "cannot open '" + path + "'");
    return parseSettings(
            std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()));
}

} // namespace chicorywick::daemon
