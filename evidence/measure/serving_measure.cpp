#include "evidence/measure/measurement.h"
#include "evidence/measure/serving_cost.h"
#include "evidence/measure/serving_sim.h"

#include <algorithm>
#include <cstdio>

namespace chicorywick::measure {

namespace {

using namespace std::chrono_literals;

// Goals of the request path.
constexpr double kGoodputGoal = 0.95;
constexpr double kLatencyGoal = 2;
constexpr double kAmplificationGoal = 1.1;

constexpr int kSeeds = 5;
// Loads are shares of the slot capacity; off peak, the load is a twentieth of the mean.
constexpr double kMeanLoad = 0.5;
constexpr double kOffPeakLoad = kMeanLoad / 20;
constexpr base::Duration kWindow = 100ms;
constexpr int kWindows = 60;
constexpr int kRecoveredWindows = 5;

struct NamedRouter
{
    const char *name;
    Router router;
};

constexpr NamedRouter kRouters[] = {{"dispatcher", Router::Dispatcher},
                                    {"random+retries", Router::RandomWithRetries},
                                    {"round robin+retries", Router::RoundRobinWithRetries}};

double millis(base::Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

const char *verdict(bool met)
{
    return met ? "met" : "missed";
}

nlohmann::json measureSharing(std::uint64_t seed)
{
    const std::pair<const char *, serving::SlotSharing> schemes[] = {
            {"fixed", serving::FixedShares{}},
            {"demand", serving::DemandShares{}},
            {"optimistic", serving::OptimisticShares{}}};
    const std::pair<const char *, std::vector<double>> splits[] = {
            {"equal", {1, 1, 1}}, {"6:3:1", {6, 3, 1}}, {"1:0:0", {1, 0, 0}}};
    std::printf("slot sharing, 3 entry instances, 10 upstreams of 8 slots, 20 s each\n");
    std::printf("%-8s %-11s %5s  %8s %8s %10s %9s %8s\n", "split", "scheme", "load", "goodput",
                "rejected", "quick p99", "refusals", "fairness");
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[split, weights] : splits) {
        for (const auto &[scheme, sharing] : schemes) {
            for (const double load : {0.7, 0.9, 2.5}) {
                SimOptions options;
                options.sharing = sharing;
                options.weights = weights;
                ServingSim sim(options, seed);
                sim.run(kMeanLoad, 5s);
                const PhaseFigures f = sim.run(load, 20s);
                std::printf("%-8s %-11s %5.1f  %7.1f%% %7.1f%% %7.1f ms %8.2f%% %8.2f\n", split,
                            scheme, load, 100 * f.goodput(), 100 * f.rejectedShare(),
                            millis(f.quickQuantile(0.99)), 100 * f.refusalsPerAttempt(),
                            f.fairness());
                rows.push_back({{"split", split},
                                {"scheme", scheme},
                                {"load", load},
                                {"goodput", f.goodput()},
                                {"rejected", f.rejectedShare()},
                                {"quick_p99_ms", millis(f.quickQuantile(0.99))},
                                {"refusals", f.refusalsPerAttempt()},
                                {"fairness", f.fairness()}});
            }
        }
    }
    return rows;
}

/// @brief Time after the peak until kRecoveredWindows consecutive windows reject nothing and keep
/// p99 latency within kLatencyGoal times the unloaded one.
base::Duration recoveryTime(ServingSim &sim, base::Duration unloadedP99)
{
    int consecutiveRecovered = 0;
    for (int window = 1; window <= kWindows; ++window) {
        const PhaseFigures f = sim.run(kMeanLoad, kWindow);
        const bool isRecovered =
                f.rejected == 0 && f.quickQuantile(0.99) <= kLatencyGoal * unloadedP99;
        consecutiveRecovered = isRecovered ? consecutiveRecovered + 1 : 0;
        if (consecutiveRecovered == kRecoveredWindows)
            return (window - kRecoveredWindows) * kWindow;
    }
    return kWindows * kWindow;
}

struct PeakResult
{
    PhaseFigures unloaded;
    PhaseFigures peak;
    base::Duration recovery{};

    double latencyRatio() const
    {
        return millis(peak.quickQuantile(0.99)) / millis(unloaded.quickQuantile(0.99));
    }
};

PeakResult runPeak(Router router, double load, std::uint64_t seed)
{
    SimOptions options;
    options.router = router;
    ServingSim sim(options, seed);
    PeakResult result;
    result.unloaded = sim.run(kOffPeakLoad, 120s);
    sim.run(kMeanLoad, 10s);
    result.peak = sim.run(load, 10s);
    result.recovery = recoveryTime(sim, result.unloaded.quickQuantile(0.99));
    return result;
}

nlohmann::json measurePeakOf(const NamedRouter &router, double load, std::uint64_t seed)
{
    double goodput = 1;
    double ratio = 0;
    double rejected = 0;
    double amplification = 0;
    double p99 = 0;
    base::Duration recovery{};
    for (int i = 0; i < kSeeds; ++i) {
        const PeakResult result = runPeak(router.router, load, seed + i);
        goodput = std::min(goodput, result.peak.goodput());
        ratio = std::max(ratio, result.latencyRatio());
        p99 = std::max(p99, millis(result.peak.quickQuantile(0.99)));
        rejected = std::max(rejected, result.peak.rejectedShare());
        amplification = std::max(amplification, result.peak.amplification());
        recovery = std::max(recovery, result.recovery);
    }
    std::printf("%-20s %5.1f  %7.1f%% %6.0f ms %9.2f %8.1f%% %9.2f %6.0f ms  %s\n", router.name,
                load, 100 * goodput, p99, ratio, 100 * rejected, amplification, millis(recovery),
                verdict(goodput >= kGoodputGoal && ratio <= kLatencyGoal));
    return {{"router", router.name},
            {"load", load},
            {"goodput", goodput},
            {"quick_p99_ms", p99},
            {"p99_ratio", ratio},
            {"rejected", rejected},
            {"recovery_ms", millis(recovery)},
            {"amplification", amplification}};
}

nlohmann::json measurePeak(std::uint64_t seed)
{
    std::printf("\npeak of 10 s, worst of %d seeds; goals: goodput 95%%, p99 ratio 2\n", kSeeds);
    std::printf("%-20s %5s  %8s %9s %9s %9s %9s %9s\n", "router", "load", "goodput", "quick p99",
                "p99 ratio", "rejected", "attempts", "recovery");
    nlohmann::json rows = nlohmann::json::array();
    for (const double load : {5 * kMeanLoad, 5.0}) {
        for (const NamedRouter &router : kRouters)
            rows.push_back(measurePeakOf(router, load, seed));
    }
    return rows;
}

nlohmann::json measureFailing(std::uint64_t seed)
{
    std::printf("\nhalf of the upstreams fail at once, 60 s, worst of %d seeds; goal: 1.1\n",
                kSeeds);
    std::printf("%-20s %5s  %9s %10s\n", "router", "load", "attempts", "succeeded");
    nlohmann::json rows = nlohmann::json::array();
    for (const double load : {0.2, 0.4}) {
        for (const NamedRouter &router : kRouters) {
            double amplification = 0;
            double succeeded = 1;
            for (int i = 0; i < kSeeds; ++i) {
                SimOptions options;
                options.router = router.router;
                options.failingUpstreams = options.upstreams / 2;
                const PhaseFigures f = ServingSim(options, seed + i).run(load, 60s);
                amplification = std::max(amplification, f.amplification());
                succeeded = std::min(succeeded, static_cast<double>(f.completed)
                                                        / static_cast<double>(f.requests));
            }
            std::printf("%-20s %5.1f  %9.3f %9.2f%%  %s\n", router.name, load, amplification,
                        100 * succeeded, verdict(amplification <= kAmplificationGoal));
            rows.push_back({{"router", router.name},
                            {"load", load},
                            {"amplification", amplification},
                            {"succeeded", succeeded}});
        }
    }
    return rows;
}

nlohmann::json measureCost(std::uint64_t seed)
{
    constexpr unsigned kThreads = 4;
    std::printf("\n%-10s %18s %18s %12s\n", "upstreams", "acquire+finish", "with 4 threads",
                "rejection");
    nlohmann::json rows = nlohmann::json::array();
    for (const std::size_t upstreams : {10, 100, 1000, 7400}) {
        const double one = routingNanos(upstreams, 1, seed);
        const double four = routingNanos(upstreams, kThreads, seed);
        const double rejection = rejectionNanos(upstreams, seed);
        std::printf("%-10zu %15.0f ns %15.0f ns %9.0f ns\n", upstreams, one, four, rejection);
        rows.push_back({{"upstreams", upstreams},
                        {"acquire_finish_ns", one},
                        {"acquire_finish_4_threads_ns", four},
                        {"rejection_ns", rejection}});
    }
    return rows;
}

nlohmann::json run(std::uint64_t seed)
{
    nlohmann::json figures;
    figures["queued_request_bytes"] = queuedRequestBytes(seed);
    figures["sharing"] = measureSharing(seed);
    figures["peak"] = measurePeak(seed);
    figures["failing"] = measureFailing(seed);
    figures["cost"] = measureCost(seed);
    std::printf("\nheap memory per queued request: %.0f bytes\n",
                figures["queued_request_bytes"].get<double>());
    return figures;
}

const Registration kRegistration{
        {"serving", "goodput, latency, amplification and cost of the request path", run}};

} // namespace

} // namespace chicorywick::measure
