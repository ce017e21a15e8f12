#include "chicorywick/v1/config_service.pb.h"

#include <chicorywick/cluster/config_validation.h>
#include <chicorywick/daemon/settings.h>

#include <doctest/doctest.h>
#include <google/protobuf/util/json_util.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace chicorywick::daemon {

namespace {

constexpr const char *kValidSettings = R"({
  "deployment": "hanbit", "member_id": "entry-a1", "zone": "gyeonggi-a",
  "listeners": {"callers": "127.0.0.1:7401", "operators": "127.0.0.1:7402",
                "health": "127.0.0.1:7403", "peers": "127.0.0.1:7404"},
  "operator_token_file": "/run/chicorywick/token",
  "platform": {"kind": "embedded", "instances": [
    {"id": "u1", "kind": "upstream", "zone": "gyeonggi-a", "rack": "r1",
     "service": "counter", "address": "127.0.0.1:9001"},
    {"id": "w1", "kind": "worker", "zone": "gyeonggi-a", "cpu_millis": 16000,
     "memory_mib": 32768}]}
})";

bool reports(const std::string &json, const std::string &text)
{
    const auto settings = parseSettings(json);
    return !settings && settings.error().message.find(text) != std::string::npos;
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string json = kValidSettings;
    return json.replace(json.find(from), from.size(), to);
}

} // namespace

// The fields of nested objects and arrays must be read into the matching settings.
TEST_CASE("valid settings are parsed")
{
    const auto settings = parseSettings(kValidSettings);
    REQUIRE(settings.has_value());
    CHECK(settings.value().zone == "gyeonggi-a");
    CHECK(settings.value().peers == Endpoint{"127.0.0.1", 7404});
    const auto &embedded = std::get<EmbeddedPlatform>(settings.value().platform);
    CHECK(embedded.instances.size() == 2);
    CHECK(embedded.instances[1].capacity.cpuMillis == 16000);
}

// Without a complete list, an operator would find one error per start. An unknown key must not be
// ignored silently.
TEST_CASE("all problems are reported together with their paths")
{
    const std::string json = R"({"deployment": 5, "zone": "z", "zones": 1,
        "listeners": {"callers": "localhost:1", "operators": "127.0.0.1:70000"},
        "platform": {"kind": "cloud"}, "caller_threads": 0})";
    for (const char *text :
         {"/deployment: found 5", "/member_id: found nothing", "/zones: found 1, allowed: no such",
          "/listeners/callers: found \"localhost:1\"", "/listeners/operators: found",
          "/listeners/health: found nothing", "/platform/kind: found \"cloud\"",
          "/caller_threads: found 0, allowed: a whole number from 1 to 4096"}) {
        CAPTURE(text);
        CHECK(reports(json, text));
    }
}

// Contradictory settings, such as two listeners on one address, must be rejected before the daemon
// starts to listen.
TEST_CASE("malformed JSON, wrong types and contradictions are rejected")
{
    CHECK(parseSettings("{").error().code == base::Code::SettingsUnreadable);
    CHECK(reports("[]", "allowed: an object"));
    CHECK(reports(replaced("7404", "7401"), "127.0.0.1:7401 twice"));
    CHECK(reports(replaced("\"w1\"", "\"u1\""), "/platform/instances/1/id: found \"u1\" twice"));
    CHECK(reports(replaced("16000", "-1"), "/platform/instances/1/cpu_millis: found -1"));
    CHECK(readSettings("/nonexistent").error().code == base::Code::SettingsUnreadable);
}

// A change of the settings must not make the example files invalid.
TEST_CASE("the example settings of both deployments are valid")
{
    int files = 0;
    for (const char *deployment : {"hanbit", "association"}) {
        const auto folder = std::filesystem::path(EXAMPLES_DIR) / deployment;
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            if (!entry.path().filename().string().starts_with("entry-"))
                continue;
            CAPTURE(entry.path().string());
            CHECK(readSettings(entry.path().string()).has_value());
            ++files;
        }
    }
    CHECK(files == 18);
}

// An example must not be rejected by 'chicorywick config put'.
TEST_CASE("the example configurations of both deployments are accepted")
{
    for (const char *deployment : {"hanbit", "association"}) {
        std::ifstream file(std::filesystem::path(EXAMPLES_DIR) / deployment / "config.json");
        const std::string json((std::istreambuf_iterator<char>(file)),
                               std::istreambuf_iterator<char>());
        v1::Config config;
        REQUIRE(google::protobuf::util::JsonStringToMessage(json, &config).ok());
        CHECK(config.items_size() == 10);
        const auto checked =
                cluster::validateConfig({config.items().begin(), config.items().end()});
        if (!checked)
            FAIL_CHECK(checked.error().message);
    }
}

} // namespace chicorywick::daemon
