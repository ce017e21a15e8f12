#include <chicorywick/report/burn_aggregator.h>
#include <chicorywick/report/burn_chart.h>
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

v1::BurnReport reportOf(const BurnAggregator &aggregator, base::TimePoint now)
{
    return aggregator.report({{"shop", objective()}}, {"z1", "z2"}, now);
}

} // namespace

TEST_CASE("the burn rate is the share of bad requests over the share that the objective allows")
{
    CHECK(availabilityBurn({1000, 10, 0}, objective()) == doctest::Approx(1));
    CHECK(availabilityBurn({0, 0, 0}, objective()) == 0);
    CHECK(latencyBurn({1000, 0, 200}, objective()) == doctest::Approx(2));
}

// Guards against counting a repeated summary twice, and against losing the counts of a member when
// another member reports or when it stops reporting.
TEST_CASE("repeated summaries replace each other and members' counts add up")
{
    BurnRecorder one;
    BurnRecorder two;
    BurnAggregator aggregator;
    for (int i = 0; i < 90; ++i)
        one.record("shop", RequestResult::Good);
    for (int i = 0; i < 10; ++i)
        two.record("shop", RequestResult::Failed);
    one.collect(kStart);
    two.collect(kStart);
    for (int i = 0; i < 3; ++i) {
        aggregator.add(one.summary("m1", "z1"), kStart);
        aggregator.add(two.summary("m2", "z1"), kStart);
    }
    for (const base::TimePoint now : {kStart, kStart + 20min}) {
        const v1::BurnReport report = reportOf(aggregator, now);
        const v1::BurnWindow &window = report.services(0).windows(2);
        CHECK(window.minutes() == 60);
        CHECK(window.total() == 100);
        CHECK(window.failed() == 10);
        aggregator.add(one.summary("m1", "z1"), now);
    }
}

// Guards against reporting a zone as healthy because no summary of it arrives.
TEST_CASE("a zone without summaries is listed as missing")
{
    BurnAggregator aggregator;
    BurnRecorder recorder;
    aggregator.add(recorder.summary("m1", "z1"), kStart);
    const v1::BurnReport fresh = reportOf(aggregator, kStart);
    CHECK(fresh.zones_reported(0) == "z1");
    CHECK(fresh.zones_missing(0) == "z2");
    CHECK(reportOf(aggregator, kStart + 5min).zones_missing_size() == 2);
}

// Guards against an alert that remains long after the errors have ended.
TEST_CASE("an alert requires a high burn rate in the long and the short window")
{
    BurnAggregator aggregator;
    BurnRecorder recorder;
    for (int i = 0; i < 100; ++i)
        recorder.record("shop", i < 20 ? RequestResult::Failed : RequestResult::Good);
    recorder.collect(kStart);
    aggregator.add(recorder.summary("m1", "z1"), kStart);
    CHECK(reportOf(aggregator, kStart).services(0).alert() == "page");
    CHECK(reportOf(aggregator, kStart + 10min).services(0).alert() == "page");
    CHECK(reportOf(aggregator, kStart + 50min).services(0).alert() == "ticket");
    CHECK(reportOf(aggregator, kStart + 24h * 4).services(0).alert().empty());
}

// Guards against unbounded memory when callers send requests with arbitrary service names.
TEST_CASE("the number of counted services is bounded")
{
    BurnRecorder recorder;
    for (std::size_t i = 0; i < kMaxServices * 2; ++i)
        recorder.record("service-" + std::to_string(i), RequestResult::Good);
    recorder.collect(kStart);
    CHECK(static_cast<std::size_t>(recorder.summary("m", "z").services_size()) <= kMaxServices + 1);
}

TEST_CASE("the chart script contains a row for each service and lists missing zones")
{
    BurnAggregator aggregator;
    const std::string script = burnChartScript(reportOf(aggregator, kStart));
    CHECK(script.find("\"shop\" 0 0 0 0 0 0 0") != std::string::npos);
    CHECK(script.find("missing: z1, z2") != std::string::npos);
}

} // namespace chicorywick::report
