#pragma once

#include "evidence/measure/coordination_figures.h"
#include "evidence/peer_network.h"

#include <malloc.h>

#include <ctime>

namespace chicorywick::measure {

using namespace std::chrono_literals;

/// @brief Numbers of daemons and of the zones that they are spread over.
struct FleetSize
{
    std::size_t members;
    std::size_t zones;
};
/// @brief Figures of one fleet in virtual time.
struct VirtualFigures
{
    FleetSize size{};
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
    double busiestBytesPerSecond = 0;
    double largestMessage = 0;
    double corePercent = 0;
    double heapKib = 0;
    double readsPerSecond = 0;
    OrderStatistics configSeconds;
    OrderStatistics detectSeconds;
    OrderStatistics takeoverSeconds;
    double burstSeconds = 0;
    double burstBytesPerDaemon = 0;
    double burstWrites = 0;
};

inline double seconds(base::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

inline double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// @brief Options under comparison. The defaults are the chosen design; others are baselines.
struct Variant
{
    cluster::PeerAgentOptions agent = {.deployment = "measure", .membership = {}};
    cluster::ConfigFollowerOptions follower;
};

/// @brief Runs and measures a fleet on the simulated network.
class VirtualFleet
{
public:
    VirtualFleet(FleetSize size, std::uint64_t seed, const Variant &variant = {})
        : size_(size)
        , heapBefore_(mallinfo2().uordblks)
        , network_({.seed = seed, .agent = variant.agent, .follower = variant.follower})
    {
        network_.faults().loss = 0.001;
        for (std::size_t i = 0; i < size.members; ++i)
            network_.start(id(i), "z" + std::to_string(i % size.zones));
        network_.publishList();
        network_.runUntil(120s, [this] { return allReportAlive(size_.members); });
        network_.run(30s);
    }

    VirtualFigures measure()
    {
        VirtualFigures figures;
        figures.size = size_;
        const auto count = static_cast<double>(size_.members);
        figures.heapKib = static_cast<double>(mallinfo2().uordblks - heapBefore_) / count / 1024;
        measureSteadyState(figures);
        measureConfig(figures);
        measureBurst(figures);
        measureDeaths(figures);
        return figures;
    }

    // Measures only the figures in which the variants differ.
    VirtualFigures measureVariant()
    {
        VirtualFigures figures;
        figures.size = size_;
        measureSteadyState(figures);
        measureConfig(figures);
        return figures;
    }

    // Returns the share of pauses of this length in which any daemon declares the paused one dead.
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
            network_.runUntil(60s, [this] { return allReportAlive(size_.members); });
        }
        return static_cast<double>(deaths) / tries;
    }

private:
    static std::string id(std::size_t index) { return "e" + std::to_string(index); }

    bool allReportAlive(std::size_t members)
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

    // Processor time includes the simulated network and the in-memory table, so it is an upper
    // bound.
    void measureSteadyState(VirtualFigures &figures)
    {
        constexpr auto kWindow = 60s;
        for (auto &[name, daemon] : network_.daemons()) {
            daemon.sentBytes = daemon.receivedBytes = 0;
            daemon.sentMessages = daemon.receivedMessages = 0;
            daemon.largestMessage = 0;
        }
        const auto before = network_.platform().counters();
        const double cpuBefore = processorSeconds();
        network_.run(kWindow);
        const double window = seconds(kWindow);
        const auto count = static_cast<double>(size_.members);
        figures.corePercent = (processorSeconds() - cpuBefore) / window / count * 100;
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

    void putConfigChange()
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

    double propagationSeconds()
    {
        const auto elapsed = network_.runUntil(120s, [this] {
            return std::all_of(network_.daemons().begin(), network_.daemons().end(),
                               [this](const auto &entry) {
                                   return entry.second.agent->config().version() >= version_;
                               });
        });
        return elapsed ? seconds(*elapsed) : 120;
    }

    void measureConfig(VirtualFigures &figures)
    {
        constexpr int kChanges = 100;
        std::vector<double> times;
        for (int i = 0; i < kChanges; ++i) {
            putConfigChange();
            times.push_back(propagationSeconds());
            network_.run(1s);
        }
        figures.configSeconds = orderStatistics(times);
    }

    // Makes 100 sequential changes, one every 20 ms.
    void measureBurst(VirtualFigures &figures)
    {
        constexpr int kChanges = 100;
        const std::uint64_t bytesBefore = totalBytes();
        const auto before = network_.platform().counters();
        const base::TimePoint start = network_.now();
        for (int i = 0; i < kChanges; ++i) {
            putConfigChange();
            network_.run(20ms);
        }
        propagationSeconds();
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
                               && entry.second.ownership->isOwner(key, {}, network_.now());
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
            const auto detectionTime =
                    network_.runUntil(60s, [&] { return countDead(victim) + 1 == size_.members; });
            detected.push_back(detectionTime ? seconds(*detectionTime) : 60);
            network_.runUntil(60s, [&] { return isTakenOver(keys); });
            takenOver.push_back(seconds(network_.now() - start));
            network_.start(victim, network_.daemon(victim).identity.zone);
            network_.publishList();
            network_.runUntil(60s, [this] { return allReportAlive(size_.members); });
            network_.run(3s);
        }
        figures.detectSeconds = orderStatistics(detected);
        figures.takeoverSeconds = orderStatistics(takenOver);
    }

    FleetSize size_;
    std::size_t heapBefore_;
    evidence::PeerNetwork network_;
    std::uint64_t version_ = 0;
};

} // namespace chicorywick::measure
