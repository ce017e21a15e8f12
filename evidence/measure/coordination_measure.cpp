#include "evidence/measure/coordination_fleet.h"
#include "evidence/measure/measurement.h"

#include <cstdio>

namespace chicorywick::measure {

namespace {

// Goals of docs/design.md, section 1.6, and of the share of table reads in section 6.4.
constexpr double kGoalCorePercent = 1;
constexpr double kGoalMib = 64;
constexpr double kGoalBytesPerSecond = 10'000;
constexpr double kGoalConfigSecondsToday = 5;
constexpr double kGoalConfigSecondsTarget = 11;
constexpr double kGoalReadsPerSecond = 2000.0 / 3;
constexpr std::size_t kTargetMembers = 200;

// Today's deployments have 8 to 9 daemons in 3 zones; the target has 15 zones.
constexpr FleetSize kSizes[] = {{3, 3}, {9, 3}, {30, 6}, {90, 15}, {200, 15}};

nlohmann::json toJson(const VirtualFigures &figures)
{
    return {{"members", figures.size.members},
            {"zones", figures.size.zones},
            {"messages_per_s", figures.messagesPerSecond},
            {"bytes_per_s", figures.bytesPerSecond},
            {"busiest_bytes_per_s", figures.busiestBytesPerSecond},
            {"largest_message_bytes", figures.largestMessage},
            {"core_percent", figures.corePercent},
            {"heap_kib", figures.heapKib},
            {"fleet_table_reads_per_s", figures.readsPerSecond},
            {"config_s", toJson(figures.configSeconds)},
            {"detect_all_s", toJson(figures.detectSeconds)},
            {"takeover_s", toJson(figures.takeoverSeconds)},
            {"burst_s", figures.burstSeconds},
            {"burst_bytes_per_daemon", figures.burstBytesPerDaemon},
            {"burst_table_writes", figures.burstWrites}};
}

void print(const VirtualFigures &f)
{
    std::printf("%7zu %5zu %7.1f %8.0f %8.0f %8.0f %6.3f %7.0f %7.1f\n", f.size.members,
                f.size.zones, f.messagesPerSecond, f.bytesPerSecond, f.busiestBytesPerSecond,
                f.largestMessage, f.corePercent, f.heapKib, f.readsPerSecond);
}

void printTimes(const VirtualFigures &f)
{
    std::printf("%7zu %6.2f %6.2f %6.2f   %6.2f %6.2f %6.2f   %6.2f %6.2f %6.2f   %6.2f %8.0f "
                "%6.0f\n",
                f.size.members, f.configSeconds.p50, f.configSeconds.p99, f.configSeconds.max,
                f.detectSeconds.p50, f.detectSeconds.p99, f.detectSeconds.max,
                f.takeoverSeconds.p50, f.takeoverSeconds.p99, f.takeoverSeconds.max, f.burstSeconds,
                f.burstBytesPerDaemon, f.burstWrites);
}

nlohmann::json printSlopes(const std::vector<VirtualFigures> &all)
{
    nlohmann::json slopes;
    const auto add = [&](const std::string &name, const auto &value) {
        std::vector<double> x;
        std::vector<double> y;
        for (const VirtualFigures &figures : all) {
            x.push_back(static_cast<double>(figures.size.members));
            y.push_back(value(figures));
        }
        const Line line = fitLine(x, y);
        std::printf("  %-24s = %10.3f + %9.5f * members\n", name.c_str(), line.intercept,
                    line.slope);
        slopes[name] = {{"intercept", line.intercept}, {"slope", line.slope}};
    };
    std::printf("\nleast-squares lines over the points above (virtual time)\n");
    add("messages_per_s", [](const auto &f) { return f.messagesPerSecond; });
    add("bytes_per_s", [](const auto &f) { return f.bytesPerSecond; });
    add("core_percent", [](const auto &f) { return f.corePercent; });
    add("heap_kib", [](const auto &f) { return f.heapKib; });
    add("fleet_table_reads_per_s", [](const auto &f) { return f.readsPerSecond; });
    add("config_p99_s", [](const auto &f) { return f.configSeconds.p99; });
    add("detect_all_p99_s", [](const auto &f) { return f.detectSeconds.p99; });
    add("takeover_p99_s", [](const auto &f) { return f.takeoverSeconds.p99; });
    return slopes;
}

void printGoal(const char *name, double measured, double goal)
{
    std::printf("  %-44s %10.3f  goal %10.3f  %s\n", name, measured, goal,
                measured <= goal ? "met" : "MISSED");
}

nlohmann::json runReal()
{
    std::printf("\nreal nodes over loopback ZeroMQ, one process, real time, per daemon\n"
                "(messages and bytes sent and received; 8 s window, 30 changes)\n"
                "members  msg/s     B/s  core%%  RSS MiB  config p50 / p99 / max s\n");
    nlohmann::json points = nlohmann::json::array();
    for (const FleetSize size :
         {FleetSize{3, 3}, FleetSize{9, 3}, FleetSize{30, 6}, FleetSize{90, 15}}) {
        const RealFigures f = measureRealNodes(size.members, size.zones);
        std::printf("%7zu %6.1f %7.0f %6.3f %8.2f  %.3f / %.3f / %.3f\n", f.members,
                    f.messagesPerSecond, f.bytesPerSecond, f.corePercent, f.residentMib,
                    f.configSeconds.p50, f.configSeconds.p99, f.configSeconds.max);
        std::fflush(stdout);
        points.push_back({{"members", f.members},
                          {"messages_per_s", f.messagesPerSecond},
                          {"bytes_per_s", f.bytesPerSecond},
                          {"core_percent", f.corePercent},
                          {"resident_mib", f.residentMib},
                          {"config_s", toJson(f.configSeconds)}});
    }
    return points;
}

nlohmann::json runPauses(std::uint64_t seed)
{
    constexpr int kTries = 40;
    std::printf("\nshare of pauses of one daemon of 30 in which any daemon declares it dead\n");
    nlohmann::json rates;
    VirtualFleet fleet({30, 6}, seed + 7);
    for (const auto pause : {1s, 2s, 3s, 4s, 5s, 6s, 8s}) {
        const double rate = fleet.falseDeathRate(pause, kTries);
        std::printf("  %2ld s: %5.1f %% of %d\n", static_cast<long>(pause.count()), rate * 100,
                    kTries);
        rates[std::to_string(pause.count()) + "s"] = rate;
    }
    return rates;
}

nlohmann::json runBaselines(std::uint64_t seed)
{
    // Links from every member make a run with 200 members ten times as long.
    constexpr FleetSize kSize{90, 15};
    Variant allLinks;
    allLinks.agent.membership.linksPerZone = kSize.members;
    allLinks.agent.membership.maxLinks = kSize.members;
    // Peers neither push nor pull configuration; each daemon reads the head every second.
    Variant tableOnly;
    tableOnly.agent.relayFanout = 0;
    tableOnly.agent.configPullInterval = std::chrono::hours(1000);
    tableOnly.follower.fleetReadsPerSecond = 1e6;
    const std::pair<const char *, Variant> variants[] = {
            {"chosen", {}},
            {"every member links to every zone", allLinks},
            {"configuration from the table only", tableOnly}};
    std::printf("\nbaselines at 90 members in 15 zones, virtual time\n"
                "   msg/s      B/s  reads/s   config p50    max s\n");
    nlohmann::json result;
    for (const auto &[name, variant] : variants) {
        const VirtualFigures f = VirtualFleet(kSize, seed, variant).measureVariant();
        std::printf("%8.1f %8.0f %8.1f %12.2f %8.2f  %s\n", f.messagesPerSecond, f.bytesPerSecond,
                    f.readsPerSecond, f.configSeconds.p50, f.configSeconds.max, name);
        std::fflush(stdout);
        result[name] = toJson(f);
    }
    return result;
}

void printGoals(const VirtualFigures &today, const VirtualFigures &target,
                const nlohmann::json &real)
{
    const double nodeMib = real.back()["resident_mib"].get<double>();
    const double nodeCore = real.back()["core_percent"].get<double>();
    std::printf("\ngoals of docs/design.md\n");
    printGoal("B/s per daemon, 200 members, mean", target.bytesPerSecond, kGoalBytesPerSecond);
    printGoal("B/s per daemon, 200 members, busiest", target.busiestBytesPerSecond,
              kGoalBytesPerSecond);
    printGoal("core % per daemon, 200 members (virtual)", target.corePercent, kGoalCorePercent);
    printGoal("core % per daemon, 90 real nodes", nodeCore, kGoalCorePercent);
    printGoal("MiB per daemon, 90 real nodes", nodeMib, kGoalMib);
    printGoal("s to in force, 9 members, max", today.configSeconds.max, kGoalConfigSecondsToday);
    printGoal("s to in force, 200 members, max", target.configSeconds.max,
              kGoalConfigSecondsTarget);
    printGoal("table reads/s of the fleet, 200 members", target.readsPerSecond,
              kGoalReadsPerSecond);
}

nlohmann::json runCoordination(std::uint64_t seed)
{
    nlohmann::json result;
    std::vector<VirtualFigures> all;
    for (const FleetSize size : kSizes)
        all.push_back(VirtualFleet(size, seed).measure());
    std::printf("virtual time, 0.5 to 2 ms between any two daemons, 0.1 %% loss; per daemon, sent "
                "and received, 60 s window\n"
                "members zones   msg/s      B/s  busiest  largest  core%%  heap K  reads/s\n");
    for (const VirtualFigures &figures : all)
        print(figures);
    std::printf("\ns to: change in force everywhere | death known to all | taken over | burst of "
                "100 changes\n"
                "members    p50    p99    max      p50    p99    max      p50    p99    max       "
                " s  B/daem.  writes\n");
    for (const VirtualFigures &figures : all) {
        printTimes(figures);
        result["virtual"].push_back(toJson(figures));
    }
    result["slopes"] = printSlopes(all);
    result["false_death_rate"] = runPauses(seed);
    result["real"] = runReal();
    printGoals(all[1], all.back(), result["real"]);
    static_assert(kSizes[4].members == kTargetMembers);
    return result;
}

const Registration kBaselines(
        {.name = "coordination-baselines",
         .description = "the chosen membership and configuration spread beside simpler ones",
         .run = runBaselines});

const Registration kRegistration(
        {.name = "coordination",
         .description = "cost and speed of membership, configuration and takeover from 3 to 200 "
                        "daemons",
         .run = runCoordination});

} // namespace

} // namespace chicorywick::measure
