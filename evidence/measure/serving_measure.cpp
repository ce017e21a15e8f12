#include "evidence/measure/measurement.h"
#include "evidence/measure/serving_sim.h"

#include <cstdio>

namespace chicorywick::measure {

namespace {

using namespace std::chrono_literals;

struct NamedSharing
{
    const char *name;
    serving::SlotSharing sharing;
};

struct NamedWeights
{
    const char *name;
    std::vector<double> weights;
};

double millis(base::Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

nlohmann::json measureSharing(std::uint64_t seed)
{
    const NamedSharing schemes[] = {{"fixed", serving::FixedShares{}},
                                    {"demand", serving::DemandShares{}},
                                    {"optimistic", serving::OptimisticShares{}}};
    const NamedWeights splits[] = {{"equal", {1, 1, 1}}, {"skewed", {6, 3, 1}}, {"one", {1, 0, 0}}};
    std::printf("%-8s %-11s %5s  %8s %8s %10s %9s %8s\n", "split", "scheme", "load", "goodput",
                "rejected", "quick p99", "refusals", "fairness");
    nlohmann::json rows = nlohmann::json::array();
    for (const NamedWeights &split : splits) {
        for (const NamedSharing &scheme : schemes) {
            for (const double load : {0.7, 0.9, 2.5, 5.0}) {
                SimOptions options;
                options.sharing = scheme.sharing;
                options.weights = split.weights;
                ServingSim sim(options, seed);
                sim.run(0.5, 5s);
                const PhaseFigures f = sim.run(load, 20s);
                std::printf("%-8s %-11s %5.1f  %7.1f%% %7.1f%% %7.1f ms %8.2f%% %8.2f\n",
                            split.name, scheme.name, load, 100 * f.goodput(),
                            100 * f.rejectedShare(), millis(f.quickQuantile(0.99)),
                            100 * f.refusalsPerAttempt(), f.fairness());
            }
        }
    }
    return rows;
}

nlohmann::json run(std::uint64_t seed)
{
    return {{"sharing", measureSharing(seed)}};
}

const Registration kRegistration{
        {"serving", "goodput, latency and amplification of the request path", run}};

} // namespace

} // namespace chicorywick::measure
