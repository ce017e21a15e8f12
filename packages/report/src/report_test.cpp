#include <chicorywick/report/burn_chart.h>
#include <chicorywick/report/burn_ledger.h>
#include <chicorywick/report/burn_rate.h>
#include <chicorywick/report/burn_recorder.h>

#include <doctest/doctest.h>

namespace chicorywick::report {

using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart(24h * 1000);

v1::Objective objective()
{
    v1::Objective objective;
    objective.set_availability_ppm(990000);
    objective.set_latency_ppm(900000);
    objective.set_latency_ms(100);
    return objective;
}

v1::BurnReport reportOf(const BurnLedger &ledger, base::TimePoint now)
{
    return ledger.report({{"shop", objective()}}, {"z1", "z2"}, now);
}

} // namespace

TEST_CASE("burn is the share of bad requests over the share that the objective allows")
{
    CHECK(availabilityBurn({1000, 10, 0}, objective()) == doctest::Approx(1));
    CHECK(availabilityBurn({0, 0, 0}, objective()) == 0);
    CHECK(latencyBurn({1000, 0, 200}, objective()) == doctest::Approx(2));
}

// Guards against a repeated summary that is counted twice, and against counts lost with their
// member.
TEST_CASE("repeated summaries replace each other and members' counts add up")
{
    BurnRecorder one;
    BurnRecorder two;
    BurnLedger ledger;
    for (int i = 0; i < 90; ++i)
        one.record("shop", RequestResult::Good);
    for (int i = 0; i < 10; ++i)
        two.record("shop", RequestResult::Failed);
    one.collect(kStart);
    two.collect(kStart);
    for (int i = 0; i < 3; ++i) {
        ledger.add(one.summary("m1", "z1"), kStart);
        ledger.add(two.summary("m2", "z1"), kStart);
    }
    for (const base::TimePoint now : {kStart, kStart + 20min}) {
        const v1::BurnReport report = reportOf(ledger, now);
        const v1::BurnWindow &window = report.services(0).windows(2);
        CHECK(window.minutes() == 60);
        CHECK(window.total() == 100);
        CHECK(window.failed() == 10);
        ledger.add(one.summary("m1", "z1"), now);
    }
}

// Guards against a silent zone that is taken for a good one.
TEST_CASE("a zone without summaries is named as missing")
{
    BurnLedger ledger;
    BurnRecorder recorder;
    ledger.add(recorder.summary("m1", "z1"), kStart);
    const v1::BurnReport fresh = reportOf(ledger, kStart);
    CHECK(fresh.zones_reported(0) == "z1");
    CHECK(fresh.zones_missing(0) == "z2");
    CHECK(reportOf(ledger, kStart + 5min).zones_missing_size() == 2);
}

TEST_CASE("an alert needs the long and the short window")
{
    BurnLedger ledger;
    BurnRecorder recorder;
    for (int i = 0; i < 100; ++i)
        recorder.record("shop", i < 20 ? RequestResult::Failed : RequestResult::Good);
    recorder.collect(kStart);
    ledger.add(recorder.summary("m1", "z1"), kStart);
    CHECK(reportOf(ledger, kStart).services(0).alert() == "page");
    CHECK(reportOf(ledger, kStart + 10min).services(0).alert() == "page");
    CHECK(reportOf(ledger, kStart + 50min).services(0).alert() == "ticket");
    CHECK(reportOf(ledger, kStart + 24h * 4).services(0).alert().empty());
}

// Guards against memory that grows with names a caller makes up.
TEST_CASE("the number of counted services is bounded")
{
    BurnRecorder recorder;
    for (std::size_t i = 0; i < kMaxServices * 2; ++i)
        recorder.record("service-" + std::to_string(i), RequestResult::Good);
    recorder.collect(kStart);
    CHECK(static_cast<std::size_t>(recorder.summary("m", "z").services_size()) <= kMaxServices + 1);
}

TEST_CASE("the chart script holds a row for each service and names missing zones")
{
    BurnLedger ledger;
    const std::string script = burnChartScript(reportOf(ledger, kStart));
    CHECK(script.find("\"shop\" 0 0 0 0 0 0 0") != std::string::npos);
    CHECK(script.find("missing: z1, z2") != std::string::npos);
}

} // namespace chicorywick::report
