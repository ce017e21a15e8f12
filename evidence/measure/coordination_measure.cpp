#include "evidence/measure/coordination_figures.h"
#include "evidence/measure/measurement.h"
#include "evidence/peer_network.h"

#include <malloc.h>

#include <cstdio>
#include <ctime>

namespace chicorywick::measure {

using namespace std::chrono_literals;

namespace {

// Goals of docs/design.md, section 1.6, and of the table's share, section 6.4.
constexpr double kGoalCorePercent = 1;
constexpr double kGoalMib = 64;
constexpr double kGoalBytesPerSecond = 10'000;
constexpr double kGoalConfigSecondsToday = 5;
constexpr double kGoalConfigSecondsTarget = 11;
constexpr double kGoalReadsPerSecond = 2000.0 / 3;
constexpr std::size_t kTargetMembers = 200;

struct Size
{
    std::size_t members;
    std::size_t zones;
};
// Today's deployments have 8 to 9 daemons in 3 zones, the target has 15 zones.
constexpr Size kSizes[] = {{3, 3}, {9, 3}, {30, 6}, {90, 15}, {200, 15}};

struct VirtualFigures
{
    Size size{};
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
    double busiestBytesPerSecond = 0;
    double largestMessage = 0;
    double corePercent = 0;
    double heapKib = 0;
    double readsPerSecond = 0;
    Spread configSeconds;
    Spread detectSeconds;
    Spread takeoverSeconds;
    double burstSeconds = 0;
    double burstBytesPerDaemon = 0;
    double burstWrites = 0;
};

double seconds(base::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

double processSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

class VirtualFleet
{
public:
    VirtualFleet(Size size, std::uint64_t seed)
        : size_(size)
        , heapBefore_(mallinfo2().uordblks)
        , network_({.seed = seed,
                    .agent = {.deployment = "measure", .membership = {}},
                    .follower = {}})
    {
        network_.faults().loss = 0.001;
        for (std::size_t i = 0; i < size.members; ++i)
            network_.start(id(i), "z" + std::to_string(i % size.zones));
        network_.publishList();
        network_.runUntil(120s, [this] { return allSee(size_.members); });
        network_.run(30s);
    }

    VirtualFigures measure()
    {
        VirtualFigures figures;
        figures.size = size_;
        const auto count = static_cast<double>(size_.members);
        figures.heapKib = static_cast<double>(mallinfo2().uordblks - heapBefore_) / count / 1024;
        measureSteady(figures);
        measureConfig(figures);
        measureBurst(figures);
        measureDeaths(figures);
        return figures;
    }

    // The share of pauses of one length in which any daemon declares the paused one dead.
    double falseDeathRate(base::Duration pause, int tries)
    {
        int deaths = 0;
        for (int i = 0; i < tries; ++i) {
            const std::string victim = id(network_.rng().below(size_.members));
            network_.freeze(victim, pause);
            bool isDeclared = false;
            network_.run(pause + 6s, [&] {
                isDeclared = isDeclared || countDead(victim) > 0;
                return true;
            });
            deaths += isDeclared ? 1 : 0;
            network_.runUntil(60s, [this] { return allSee(size_.members); });
        }
        return static_cast<double>(deaths) / tries;
    }

private:
    static std::string id(std::size_t index) { return "e" + std::to_string(index); }

    bool allSee(std::size_t members)
    {
        return std::all_of(network_.daemons().begin(), network_.daemons().end(),
                           [&](const auto &entry) {
                               return !entry.second.isUp
                                      || entry.second.agent->membership().alive().size() == members;
                           });
    }

    std::size_t countDead(const std::string &victim)
    {
        std::size_t dead = 0;
        for (const auto &[name, daemon] : network_.daemons()) {
            const auto &members = daemon.agent->membership().members();
            const auto found = members.find(victim);
            if (daemon.isUp && found != members.end()
                && found->second.status == cluster::MemberStatus::Dead)
                ++dead;
        }
        return dead;
    }

    std::uint64_t bytesOf(const evidence::SimDaemon &daemon) const
    {
        return daemon.sentBytes + daemon.receivedBytes;
    }

    std::uint64_t totalBytes()
    {
        std::uint64_t bytes = 0;
        for (const auto &[name, daemon] : network_.daemons())
            bytes += bytesOf(daemon);
        return bytes;
    }

    // Processor time includes the fake network and the in-memory table, so it is an upper bound.
    void measureSteady(VirtualFigures &figures)
    {
        constexpr auto kWindow = 60s;
        for (auto &[name, daemon] : network_.daemons()) {
            daemon.sentBytes = daemon.receivedBytes = 0;
            daemon.sentMessages = daemon.receivedMessages = 0;
            daemon.largestMessage = 0;
        }
        const auto before = network_.platform().counters();
        const double cpuBefore = processSeconds();
        network_.run(kWindow);
        const double window = seconds(kWindow);
        const auto count = static_cast<double>(size_.members);
        figures.corePercent = (processSeconds() - cpuBefore) / window / count * 100;
        figures.readsPerSecond =
                static_cast<double>(network_.platform().counters().tableReads - before.tableReads)
                / window;
        std::uint64_t messages = 0;
        for (const auto &[name, daemon] : network_.daemons()) {
            messages += daemon.sentMessages + daemon.receivedMessages;
            figures.busiestBytesPerSecond = std::max(figures.busiestBytesPerSecond,
                                                     static_cast<double>(bytesOf(daemon)) / window);
            figures.largestMessage =
                    std::max(figures.largestMessage, static_cast<double>(daemon.largestMessage));
        }
        figures.messagesPerSecond = static_cast<double>(messages) / window / count;
        figures.bytesPerSecond = static_cast<double>(totalBytes()) / window / count;
    }

    void putChange()
    {
        v1::PutConfigRequest request;
        request.set_request_id("c" + std::to_string(version_));
        request.set_expected_version(version_);
        v1::ConfigItem &item = *request.add_items();
        item.set_name("team/" + std::to_string(version_ % 100));
        item.mutable_team()->set_weight(1);
        version_ = network_.store("z0").put(request, "measure").value().version();
        // The daemon that accepted the change reads it back at once, as refreshConfig() does.
        evidence::SimDaemon &daemon = network_.daemon(id(version_ % size_.members));
        daemon.follower->stepNow(network_.now());
    }

    double spreadSeconds()
    {
        const auto took = network_.runUntil(120s, [this] {
            return std::all_of(network_.daemons().begin(), network_.daemons().end(),
                               [this](const auto &entry) {
                                   return entry.second.agent->config().version() >= version_;
                               });
        });
        return took ? seconds(*took) : 120;
    }

    void measureConfig(VirtualFigures &figures)
    {
        constexpr int kChanges = 100;
        std::vector<double> times;
        for (int i = 0; i < kChanges; ++i) {
            putChange();
            times.push_back(spreadSeconds());
            network_.run(1s);
        }
        figures.configSeconds = spreadOf(times);
    }

    // 100 changes, one every 20 ms, by one operator after the other.
    void measureBurst(VirtualFigures &figures)
    {
        constexpr int kChanges = 100;
        const std::uint64_t bytesBefore = totalBytes();
        const auto before = network_.platform().counters();
        const base::TimePoint start = network_.now();
        for (int i = 0; i < kChanges; ++i) {
            putChange();
            network_.run(20ms);
        }
        spreadSeconds();
        figures.burstSeconds = seconds(network_.now() - start);
        figures.burstBytesPerDaemon = static_cast<double>(totalBytes() - bytesBefore)
                                      / static_cast<double>(size_.members);
        figures.burstWrites = static_cast<double>(network_.platform().counters().tableWrites
                                                  - before.tableWrites);
    }

    bool isTakenOver(const std::vector<std::string> &keys)
    {
        return std::all_of(keys.begin(), keys.end(), [this](const std::string &key) {
            return std::any_of(
                    network_.daemons().begin(), network_.daemons().end(), [&](const auto &entry) {
                        return entry.second.isUp
                               && entry.second.ownership->isMine(key, {}, network_.now());
                    });
        });
    }

    void measureDeaths(VirtualFigures &figures)
    {
        const int tries = size_.members > 30 ? 12 : 40;
        std::vector<double> detected;
        std::vector<double> takenOver;
        for (int i = 0; i < tries; ++i) {
            const std::string victim = id(network_.rng().below(size_.members));
            std::vector<std::string> keys;
            constexpr int kObjects = 500;
            for (int key = 0; key < kObjects; ++key) {
                const std::string name = "wave/" + std::to_string(key);
                if (network_.daemon(victim).ownership->ownerOf(name) == victim)
                    keys.push_back(name);
            }
            network_.kill(victim);
            const base::TimePoint start = network_.now();
            const auto known =
                    network_.runUntil(60s, [&] { return countDead(victim) + 1 == size_.members; });
            detected.push_back(known ? seconds(*known) : 60);
            network_.runUntil(60s, [&] { return isTakenOver(keys); });
            takenOver.push_back(seconds(network_.now() - start));
            network_.start(victim, network_.daemon(victim).identity.zone);
            network_.publishList();
            network_.runUntil(60s, [this] { return allSee(size_.members); });
            network_.run(3s);
        }
        figures.detectSeconds = spreadOf(detected);
        figures.takeoverSeconds = spreadOf(takenOver);
    }

    Size size_;
    std::size_t heapBefore_;
    evidence::PeerNetwork network_;
    std::uint64_t version_ = 0;
};

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
        const Line line = fit(x, y);
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

void printGoal(const char *name, double found, double goal)
{
    std::printf("  %-44s %10.3f  goal %10.3f  %s\n", name, found, goal,
                found <= goal ? "met" : "MISSED");
}

nlohmann::json runReal()
{
    std::printf("\nreal nodes over loopback ZeroMQ, one process, real time, per daemon\n"
                "(messages and bytes sent and received; 8 s window, 30 changes)\n"
                "members  msg/s     B/s  core%%  RSS MiB  config p50 / p99 / max s\n");
    nlohmann::json points = nlohmann::json::array();
    for (const Size size : {Size{3, 3}, Size{9, 3}, Size{30, 6}, Size{90, 15}}) {
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
    for (const Size size : kSizes)
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

const Registration kRegistration(
        {.name = "coordination",
         .description = "cost and speed of membership, configuration and takeover from 3 to 200 "
                        "daemons",
         .run = runCoordination});

} // namespace

} // namespace chicorywick::measure
