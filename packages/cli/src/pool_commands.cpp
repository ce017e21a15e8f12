#include "chicorywick/v1/fleet_service.pb.h"

#include <chicorywick/cli/command.h>

namespace chicorywick::cli {

namespace {

constexpr const char *kService = "FleetService";

std::string budgetText(const v1::Budget &budget)
{
    if (budget.limit_case() == v1::Budget::kMaxUnavailablePercent)
        return std::to_string(budget.max_unavailable_percent()) + "%";
    return std::to_string(budget.max_unavailable());
}

void addRow(TextTable &table, const v1::Pool &pool)
{
    const v1::PoolRow &row = pool.row();
    table.rows.push_back({row.name(), std::to_string(row.member_count()),
                          std::to_string(row.target_size()), budgetText(row.budget()),
                          std::to_string(row.grants_size()),
                          std::to_string(pool.allowed_disruptions()), row.spare() ? "yes" : "no",
                          std::to_string(pool.version())});
}

TextTable emptyTable()
{
    return {{"POOL", "MEMBERS", "TARGET", "BUDGET", "DISRUPTED", "ALLOWED", "SPARE", "VERSION"},
            {}};
}

TextTable poolTable(const v1::Pool &pool)
{
    TextTable table = emptyTable();
    addRow(table, pool);
    return table;
}

TextTable poolListTable(const v1::ListPoolsResponse &response)
{
    TextTable table = emptyTable();
    for (const v1::Pool &pool : response.pools())
        addRow(table, pool);
    return table;
}

void setBudget(v1::Budget &budget, const Arguments &arguments)
{
    if (arguments.has("max-unavailable-percent"))
        budget.set_max_unavailable_percent(
                static_cast<std::uint32_t>(arguments.number("max-unavailable-percent")));
    else
        budget.set_max_unavailable(
                static_cast<std::uint32_t>(arguments.number("max-unavailable", 1)));
    budget.set_max_disrupted_racks(static_cast<std::uint32_t>(arguments.number("max-racks")));
    budget.set_max_disrupted_zones(static_cast<std::uint32_t>(arguments.number("max-zones")));
}

std::vector<OptionSpec> budgetOptions()
{
    return {{"max-unavailable", OptionKind::Number,
             "Instances that may be unavailable at once (default 1)"},
            {"max-unavailable-percent", OptionKind::Number, "The same as a share of the members"},
            {"max-racks", OptionKind::Number, "Racks with unavailable instances at once (0: any)"},
            {"max-zones", OptionKind::Number, "Zones with unavailable instances at once (0: any)"},
            {"target-size", OptionKind::Number, "Members that the pool needs at its peak"}};
}

ExitCode create(Session &session, const Arguments &arguments)
{
    v1::CreatePoolRequest request;
    request.set_request_id(requestId(arguments));
    request.set_name(arguments.positional()[0]);
    setBudget(*request.mutable_budget(), arguments);
    request.set_spare(arguments.has("spare"));
    request.set_target_size(static_cast<std::uint32_t>(arguments.number("target-size")));
    return session.callAndShow<v1::Pool>(kService, "CreatePool", request, poolTable);
}

ExitCode update(Session &session, const Arguments &arguments)
{
    v1::UpdatePoolRequest request;
    request.set_request_id(requestId(arguments));
    request.set_name(arguments.positional()[0]);
    setBudget(*request.mutable_budget(), arguments);
    request.set_target_size(static_cast<std::uint32_t>(arguments.number("target-size")));
    request.set_expected_version(arguments.number("expected-version"));
    request.set_dry_run(arguments.has("dry-run"));
    return session.callAndShow<v1::Pool>(kService, "UpdatePool", request, poolTable);
}

ExitCode show(Session &session, const Arguments &arguments)
{
    v1::GetPoolRequest request;
    request.set_name(arguments.positional()[0]);
    return session.callAndShow<v1::Pool>(kService, "GetPool", request, poolTable);
}

ExitCode list(Session &session, const Arguments &)
{
    return session.callAndShow<v1::ListPoolsResponse>(kService, "ListPools", v1::ListPoolsRequest(),
                                                      poolListTable);
}

} // namespace

std::vector<Command> poolCommands()
{
    std::vector<OptionSpec> createOptions = budgetOptions();
    createOptions.push_back({"spare", OptionKind::Flag, "The pool lends instances to others"});
    createOptions.push_back(requestIdOption());
    std::vector<OptionSpec> updateOptions = budgetOptions();
    updateOptions.insert(updateOptions.end(),
                         {requestIdOption(), expectedVersionOption(), dryRunOption()});
    return {{"pool",
             "create",
             {"NAME"},
             "Create a pool with its availability budget",
             createOptions,
             create},
            {"pool",
             "update",
             {"NAME"},
             "Replace the budget and target size of a pool",
             updateOptions,
             update},
            {"pool", "show", {"NAME"}, "Show a pool", {}, show},
            {"pool", "list", {}, "List all pools", {}, list}};
}

} // namespace chicorywick::cli
