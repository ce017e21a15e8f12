#include "chicorywick/v1/fleet_service.pb.h"

#include <chicorywick/cli/command.h>

namespace chicorywick::cli {

namespace {

constexpr const char *kService = "FleetService";

std::string stateText(v1::MaintenanceState state)
{
    return v1::MaintenanceState_Name(state).substr(std::string("MAINTENANCE_STATE_").size());
}

TextTable instanceListTable(const google::protobuf::RepeatedPtrField<v1::Instance> &instances)
{
    TextTable table{{"INSTANCE", "POOL", "ZONE", "RACK", "STATE", "WAVE", "MAINTAINED", "VERSION"},
                    {}};
    for (const v1::Instance &instance : instances) {
        const v1::InstanceRow &row = instance.row();
        table.rows.push_back({row.id(), row.pool(), row.zone(), row.rack(), stateText(row.state()),
                              row.wave().empty() ? "-" : row.wave(),
                              formatTime(row.maintained_at_ms()),
                              std::to_string(instance.version())});
    }
    return table;
}

TextTable instanceTable(const v1::Instance &instance)
{
    v1::ListFleetResponse list;
    *list.add_instances() = instance;
    return instanceListTable(list.instances());
}

ExitCode add(Session &session, const Arguments &arguments)
{
    v1::AddInstanceRequest request;
    request.set_request_id(requestId(arguments));
    request.set_id(arguments.positional()[0]);
    request.set_pool(arguments.positional()[1]);
    request.set_zone(arguments.text("zone"));
    request.set_rack(arguments.text("rack"));
    return session.callAndShow<v1::Instance>(kService, "AddInstance", request, instanceTable);
}

ExitCode move(Session &session, const Arguments &arguments)
{
    v1::MoveInstanceRequest request;
    request.set_request_id(requestId(arguments));
    request.set_id(arguments.positional()[0]);
    request.set_to_pool(arguments.positional()[1]);
    request.set_expected_version(arguments.number("expected-version"));
    request.set_dry_run(arguments.has("dry-run"));
    return session.callAndShow<v1::Instance>(kService, "MoveInstance", request, instanceTable);
}

ExitCode remove(Session &session, const Arguments &arguments)
{
    v1::RemoveInstanceRequest request;
    request.set_request_id(requestId(arguments));
    request.set_id(arguments.positional()[0]);
    request.set_expected_version(arguments.number("expected-version"));
    request.set_dry_run(arguments.has("dry-run"));
    return session.callAndShow<v1::Instance>(kService, "RemoveInstance", request, instanceTable);
}

ExitCode release(Session &session, const Arguments &arguments)
{
    v1::ReleaseInstanceRequest request;
    request.set_request_id(requestId(arguments));
    request.set_id(arguments.positional()[0]);
    request.set_expected_version(arguments.number("expected-version"));
    return session.callAndShow<v1::Instance>(kService, "ReleaseInstance", request, instanceTable);
}

ExitCode show(Session &session, const Arguments &arguments)
{
    v1::GetInstanceRequest request;
    request.set_id(arguments.positional()[0]);
    return session.callAndShow<v1::Instance>(kService, "GetInstance", request, instanceTable);
}

ExitCode list(Session &session, const Arguments &arguments)
{
    v1::ListFleetRequest request;
    request.set_pool(arguments.text("pool"));
    return session.callAndShow<v1::ListFleetResponse>(
            kService, "ListInstances", request, [](const v1::ListFleetResponse &response) {
                return instanceListTable(response.instances());
            });
}

} // namespace

std::vector<Command> instanceCommands()
{
    return {{"instance",
             "add",
             {"ID", "POOL"},
             "Put an instance into a pool",
             {{"zone", OptionKind::Text, "Availability zone of the instance", "ZONE"},
              {"rack", OptionKind::Text, "Rack of the instance", "RACK"},
              requestIdOption()},
             add},
            {"instance",
             "move",
             {"ID", "POOL"},
             "Move an instance to another pool",
             {requestIdOption(), expectedVersionOption(), dryRunOption()},
             move},
            {"instance",
             "remove",
             {"ID"},
             "Take an instance out of its pool for good",
             {requestIdOption(), expectedVersionOption(), dryRunOption()},
             remove},
            {"instance",
             "release",
             {"ID"},
             "Return a held instance to service once it is up",
             {requestIdOption(), expectedVersionOption()},
             release},
            {"instance", "show", {"ID"}, "Show an instance", {}, show},
            {"instance",
             "list",
             {},
             "List instances",
             {{"pool", OptionKind::Text, "Only the members of this pool", "POOL"}},
             list}};
}

} // namespace chicorywick::cli
