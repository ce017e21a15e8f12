#include "config_view.h"
#include "remote_loads.h"

#include <doctest/doctest.h>

namespace chicorywick::daemon {

using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart(1h);

v1::LoadReport makeLoadReport(const std::string &upstream, unsigned inFlight)
{
    v1::LoadReport report;
    v1::UpstreamLoad *load = report.add_loads();
    load->set_upstream(upstream);
    load->set_in_flight(inFlight);
    return report;
}

} // namespace

// A member sends a report twice a second. Adding each to the last would count its load repeatedly.
TEST_CASE("the loads of all members are summed, and a new report replaces the previous one")
{
    RemoteLoads loads;
    loads.setReport("m1", makeLoadReport("u", 2), kStart);
    loads.setReport("m2", makeLoadReport("u", 3), kStart);
    loads.setReport("m1", makeLoadReport("u", 4), kStart);
    CHECK(loads.totals(kStart).at("u") == 7);
}

// The last report of a dead member must not keep slots of an upstream unused.
TEST_CASE("the load of a member without new reports expires and is returned once as zero")
{
    RemoteLoads loads;
    loads.setReport("m1", makeLoadReport("u", 5), kStart);
    CHECK(loads.totals(kStart).at("u") == 5);
    CHECK(loads.totals(kStart + 3s).at("u") == 0);
    CHECK(loads.totals(kStart + 3s).empty());
}

// An unset weight must not become 0, and a service without an objective needs one for its burn
// report.
TEST_CASE("configuration items are grouped by kind, and objectives have a default")
{
    v1::ConfigItem service;
    service.set_name("service/counter");
    service.mutable_service()->mutable_objective()->set_latency_ms(7);
    v1::ConfigItem team;
    team.set_name("team/voicing");
    team.mutable_team()->set_quota_cpu_millis(9);
    const ConfigView view = makeConfigView({service, team});
    REQUIRE(view.teams.size() == 1);
    CHECK(view.teams[0].cpuMillis == 9);
    CHECK(view.teams[0].weight == 1);
    const auto objectives = objectivesOf(view, {"counter", "orders"});
    CHECK(objectives.at("counter").latency_ms() == 7);
    CHECK(objectives.at("orders").latency_ms() == defaultObjective().latency_ms());
}

} // namespace chicorywick::daemon
