#include "chicorywick/v1/platform.pb.h"
#include "evidence/measure/coordination_figures.h"
#include "evidence/measure/measurement.h"

#include <chicorywick/platform/platform_server.h>
#include <chicorywick/report/burn_aggregator.h>
#include <chicorywick/report/burn_recorder.h>
#include <chicorywick/serving/dispatcher.h>
#include <chicorywick/twirp/listener.h>

#include <malloc.h>

#include <chrono>
#include <cstdio>

namespace chicorywick::measure {

namespace {

// Target size in docs/CAPACITY.md.
constexpr double kTargetUpstreams = 7'400;
constexpr double kTargetServices = 28;

double heapKib()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

double elapsedMillis(const std::function<void()> &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
            .count();
}

platform::ListedInstance listedUpstream(std::size_t index)
{
    return {.id = "upstream-" + std::to_string(index),
            .kind = platform::InstanceKind::Upstream,
            .address = "10.0.0.1:" + std::to_string(1024 + index),
            .zone = "zone-" + std::to_string(index % 15),
            .rack = "rack-" + std::to_string(index / 4),
            .service = "service-" + std::to_string(index % 28)};
}

serving::RoutingTable routingTable(std::size_t upstreams)
{
    serving::RoutingTable table;
    table.localZone = "zone-0";
    for (std::size_t i = 0; i < upstreams; ++i) {
        const platform::ListedInstance listed = listedUpstream(i);
        table.services[listed.service].upstreams.push_back(
                {.target = {
                         .id = listed.id, .host = "10.0.0.1", .port = 1024, .zone = listed.zone}});
    }
    return table;
}

/// @brief Measured values of one figure by size, with a fitted line and its value at the target.
class LinearTrend
{
public:
    LinearTrend(std::string name, std::string unit, double target)
        : name_(std::move(name))
        , unit_(std::move(unit))
        , target_(target)
    {}

    void add(double size, double value)
    {
        sizes_.push_back(size);
        values_.push_back(value);
    }

    nlohmann::json print() const
    {
        const Line line = fitLine(sizes_, values_);
        const double atTarget = line.intercept + line.slope * target_;
        std::printf("%-34s", name_.c_str());
        for (std::size_t i = 0; i < sizes_.size(); ++i)
            std::printf("  %.0f: %.3g", sizes_[i], values_[i]);
        std::printf("  | slope %.4g, at %.0f: %.4g %s\n", line.slope, target_, atTarget,
                    unit_.c_str());
        return {{"sizes", sizes_},      {"values", values_},
                {"unit", unit_},        {"intercept", line.intercept},
                {"slope", line.slope},  {"target", target_},
                {"at_target", atTarget}};
    }

    const std::string &name() const { return name_; }

private:
    std::string name_;
    std::string unit_;
    double target_;
    std::vector<double> sizes_;
    std::vector<double> values_;
};

void measureInstanceList(nlohmann::json &figures)
{
    LinearTrend bytes("instance list, size", "bytes", kTargetUpstreams);
    LinearTrend call("instance list, one Twirp call", "ms", kTargetUpstreams);
    for (const std::size_t size : {110UL, 1000UL, 7400UL}) {
        const auto memory = std::make_shared<platform::MemoryPlatform>();
        platform::InstanceListing listing;
        for (std::size_t i = 0; i < size; ++i)
            memory->addInstance(listedUpstream(i));
        const auto listener =
                twirp::Listener::open({}, platform::makePlatformRouter(memory, "zone-0"));
        twirp::ClientOptions options;
        options.port = listener.value()->port();
        const twirp::Client client(options);
        v1::ListInstancesResponse response;
        const auto list = [&] {
            const auto result = client.call("chicorywick.v1.InstanceListService", "List",
                                            v1::ListInstancesRequest(), response);
            if (!result)
                throw std::runtime_error(result.error().message);
        };
        list();
        constexpr int kCalls = 20;
        const double total = elapsedMillis([&] {
            for (int i = 0; i < kCalls; ++i)
                list();
        });
        bytes.add(static_cast<double>(size), static_cast<double>(response.ByteSizeLong()));
        call.add(static_cast<double>(size), total / kCalls);
    }
    figures[bytes.name()] = bytes.print();
    figures[call.name()] = call.print();
}

void measureRouting(nlohmann::json &figures)
{
    LinearTrend update("routing, one update", "ms", kTargetUpstreams);
    LinearTrend heap("routing, heap", "KiB", kTargetUpstreams);
    for (const std::size_t size : {100UL, 1000UL, 7400UL}) {
        const serving::RoutingTable table = routingTable(size);
        const double before = heapKib();
        serving::Dispatcher dispatcher(base::Clock(), 1);
        dispatcher.update(table);
        heap.add(static_cast<double>(size), heapKib() - before);
        constexpr int kUpdates = 10;
        const double total = elapsedMillis([&] {
            for (int i = 0; i < kUpdates; ++i)
                dispatcher.update(table);
        });
        update.add(static_cast<double>(size), total / kUpdates);
    }
    figures[update.name()] = update.print();
    figures[heap.name()] = heap.print();
}

void measureBurn(nlohmann::json &figures)
{
    LinearTrend heap("burn ledger, heap, 3 days", "KiB", kTargetServices);
    LinearTrend summary("burn summary, size", "bytes", kTargetServices);
    for (const int services : {5, 10, 28}) {
        const double before = heapKib();
        report::BurnAggregator aggregator;
        report::BurnRecorder recorder;
        base::TimePoint now(std::chrono::hours(24 * 1000));
        std::size_t bytes = 0;
        for (std::int64_t minute = 0; minute < report::kKeptMinutes; ++minute) {
            for (int service = 0; service < services; ++service)
                recorder.record("service-" + std::to_string(service), report::RequestResult::Good);
            recorder.collect(now);
            const v1::BurnSummary sent = recorder.summary("member-1", "zone-1");
            bytes = sent.ByteSizeLong();
            aggregator.add(sent, now);
            now += std::chrono::minutes(1);
        }
        heap.add(services, heapKib() - before);
        summary.add(services, static_cast<double>(bytes));
    }
    figures[heap.name()] = heap.print();
    figures[summary.name()] = summary.print();

    report::BurnRecorder recorder;
    constexpr int kRecords = 1'000'000;
    const double total = elapsedMillis([&] {
        for (int i = 0; i < kRecords; ++i)
            recorder.record("service-1", report::RequestResult::Good);
    });
    constexpr double kNanosPerMilli = 1e6;
    const double nanos = total * kNanosPerMilli / kRecords;
    std::printf("%-34s  %.1f ns\n", "burn, one record", nanos);
    figures["burn, one record"] = {{"value", nanos}, {"unit", "ns"}};
}

nlohmann::json run(std::uint64_t)
{
    nlohmann::json figures;
    measureInstanceList(figures);
    measureRouting(figures);
    measureBurn(figures);
    return figures;
}

const Registration kRegistration({"capacity",
                                  "size, time and memory of the daemon's parts by fleet size",
                                  run});

} // namespace

} // namespace chicorywick::measure
