#include "chicorywick/v1/report_service.pb.h"

#include <chicorywick/cli/command.h>
#include <chicorywick/report/burn_chart.h>

#include <cstdio>
#include <ostream>

namespace chicorywick::cli {

namespace {

constexpr const char *kService = "ReportService";

std::string formatRate(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

TextTable burnTable(const v1::BurnReport &report)
{
    TextTable table{{"SERVICE", "WINDOW", "REQUESTS", "FAILED", "SLOW", "AVAILABILITY BURN",
                     "LATENCY BURN", "ALERT"},
                    {}};
    for (const v1::ServiceBurn &service : report.services()) {
        for (const v1::BurnWindow &window : service.windows())
            table.rows.push_back({service.service(), std::to_string(window.minutes()) + " min",
                                  std::to_string(window.total()), std::to_string(window.failed()),
                                  std::to_string(window.slow()),
                                  formatRate(window.availability_burn()),
                                  formatRate(window.latency_burn()),
                                  service.alert().empty() ? "-" : service.alert()});
    }
    for (const std::string &zone : report.zones_missing())
        table.rows.push_back({"(zone " + zone + " missing)", "", "", "", "", "", "", ""});
    return table;
}

ExitCode burn(Session &session, const Arguments &arguments)
{
    v1::BurnReportRequest request;
    request.set_service(arguments.text("service"));
    if (!arguments.has("chart"))
        return session.callAndShow<v1::BurnReport>(kService, "Burn", request, burnTable);
    v1::BurnReport report;
    if (const auto result = session.call(kService, "Burn", request, report); !result)
        return session.fail(result.error());
    session.out() << report::burnChartScript(report);
    return ExitCode::Ok;
}

TextTable statusTable(const v1::StatusResponse &status)
{
    TextTable table{{"MEMBER", "ZONE", "STATE", "INCARNATION", "NOTE"}, {}};
    for (const v1::MemberStatus &member : status.members()) {
        std::string note;
        if (member.member() == status.member()) {
            note = "answers this call, configuration " + std::to_string(status.config_version());
            note += status.platform_reachable() ? "" : ", platform not reachable";
            note += status.draining() ? ", draining" : "";
        }
        table.rows.push_back({member.member(), member.zone(), member.state(),
                              std::to_string(member.incarnation()), note});
    }
    return table;
}

ExitCode status(Session &session, const Arguments &)
{
    return session.callAndShow<v1::StatusResponse>(kService, "Status", v1::StatusRequest(),
                                                   statusTable);
}

} // namespace

std::vector<Command> reportCommands()
{
    return {{"burn",
             "",
             {},
             "Report error-budget burn by service and window",
             {{"service", OptionKind::Text, "Only this service", "SERVICE"},
              {"chart", OptionKind::Flag, "Print a gnuplot script that draws the report as SVG"}},
             burn},
            {"status",
             "",
             {},
             "Show the entry instances as reported by the one that answers",
             {},
             status}};
}

} // namespace chicorywick::cli
