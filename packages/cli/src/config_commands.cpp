#include "chicorywick/v1/config_service.pb.h"

#include <chicorywick/cli/command.h>

#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <iterator>

namespace chicorywick::cli {

namespace {

constexpr const char *kService = "ConfigService";

std::string valueText(const v1::ConfigItem &item)
{
    if (item.deleted())
        return "deleted";
    std::string json;
    google::protobuf::util::JsonPrintOptions print;
    print.preserve_proto_field_names = true;
    v1::ConfigItem value = item;
    value.clear_name();
    value.clear_version();
    if (!google::protobuf::util::MessageToJsonString(value, &json, print).ok())
        return "?";
    return json;
}

TextTable configTable(const v1::Config &config)
{
    TextTable table{{"ITEM", "VERSION", "VALUE"}, {}};
    for (const v1::ConfigItem &item : config.items())
        table.rows.push_back({item.name(), std::to_string(item.version()), valueText(item)});
    table.rows.push_back({"(head)", std::to_string(config.version()), ""});
    return table;
}

void addChange(TextTable &table, const v1::ConfigChange &change)
{
    const auto find = [](const auto &items, const std::string &name) -> std::string {
        for (const v1::ConfigItem &item : items) {
            if (item.name() == name)
                return valueText(item);
        }
        return "-";
    };
    for (const v1::ConfigItem &item : change.after())
        table.rows.push_back({std::to_string(change.version()), change.author(),
                              formatTime(change.committed_at_ms()), item.name(),
                              find(change.before(), item.name()), valueText(item)});
}

TextTable emptyChangeTable()
{
    return {{"VERSION", "AUTHOR", "TIME", "ITEM", "BEFORE", "AFTER"}, {}};
}

TextTable configChangeTable(const v1::ConfigChange &change)
{
    TextTable table = emptyChangeTable();
    addChange(table, change);
    return table;
}

ExitCode get(Session &session, const Arguments &)
{
    return session.callAndShow<v1::Config>(kService, "GetConfig", v1::GetConfigRequest(),
                                           configTable);
}

base::Result<v1::Config> readConfigFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return base::makeError(base::Code::UsageError, "cannot read '" + path + "'");
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    v1::Config config;
    const auto status = google::protobuf::util::JsonStringToMessage(text, &config);
    if (!status.ok())
        return base::makeError(base::Code::UsageError, path + ": " + std::string(status.message()));
    return config;
}

ExitCode put(Session &session, const Arguments &arguments)
{
    const auto config = readConfigFile(arguments.positional()[0]);
    if (!config)
        return session.fail(config.error());
    v1::PutConfigRequest request;
    request.set_request_id(requestId(arguments));
    request.set_expected_version(arguments.number("expected-version", config.value().version()));
    *request.mutable_items() = config.value().items();
    request.set_dry_run(arguments.has("dry-run"));
    return session.callAndShow<v1::ConfigChange>(kService, "PutConfig", request, configChangeTable);
}

ExitCode history(Session &session, const Arguments &arguments)
{
    v1::ConfigHistoryRequest request;
    request.set_limit(static_cast<std::uint32_t>(arguments.number("limit")));
    request.set_before_version(arguments.number("before"));
    return session.callAndShow<v1::ConfigHistoryResponse>(
            kService, "ConfigHistory", request, [](const v1::ConfigHistoryResponse &response) {
                TextTable table = emptyChangeTable();
                for (const v1::ConfigChange &change : response.changes())
                    addChange(table, change);
                return table;
            });
}

ExitCode rollBack(Session &session, const Arguments &arguments)
{
    v1::RollBackConfigRequest request;
    request.set_request_id(requestId(arguments));
    request.set_to_version(arguments.number("to-version"));
    request.set_expected_version(arguments.number("expected-version"));
    return session.callAndShow<v1::ConfigChange>(kService, "RollBackConfig", request,
                                                 configChangeTable);
}

ExitCode status(Session &session, const Arguments &)
{
    return session.callAndShow<v1::ConfigStatusResponse>(
            kService, "ConfigStatus", v1::ConfigStatusRequest(),
            [](const v1::ConfigStatusResponse &response) {
                TextTable table{{"MEMBER", "ZONE", "REACHED", "IN FORCE", "SINCE", "SOURCE"}, {}};
                for (const v1::MemberConfigStatus &member : response.members())
                    table.rows.push_back({member.member(), member.zone(),
                                          member.reached() ? "yes" : "NO",
                                          std::to_string(member.version()),
                                          formatTime(member.in_force_since_ms()),
                                          member.from_peers() ? "peers" : "platform"});
                table.rows.push_back(
                        {"(head)", "", "", std::to_string(response.head_version()), "", ""});
                return table;
            });
}

} // namespace

std::vector<Command> configCommands()
{
    return {{"config", "get", {}, "Show the configuration", {}, get},
            {"config",
             "put",
             {"FILE"},
             "Change the items in a JSON file of the form that 'config get --json' prints",
             {expectedVersionOption(), requestIdOption(), dryRunOption()},
             put},
            {"config",
             "history",
             {},
             "List changes, newest first, with values before and after",
             {{"limit", OptionKind::Number, "Changes to list"},
              {"before", OptionKind::Number, "Only changes before this version"}},
             history},
            {"config",
             "rollback",
             {},
             "Restore the values of an earlier version as a new version",
             {{"to-version", OptionKind::Number, "Version whose values are restored"},
              expectedVersionOption(),
              requestIdOption()},
             rollBack},
            {"config",
             "status",
             {},
             "Show the version in force in every entry instance",
             {},
             status}};
}

} // namespace chicorywick::cli
