#include "evidence/peer_network.h"
#include "evidence/prove/proof.h"

#include <array>
#include <sstream>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration kInForceBound = 5s;
constexpr base::Duration kDetectionBound = 30s;
constexpr base::Duration kHealBound = 60s;

/// @brief What the isolated zone loses its connection to.
enum class Partition { OtherZones, Platform, OtherZonesAndPlatform, Peers, All };
constexpr std::array kPartitions = {Partition::OtherZones, Partition::Platform,
                                    Partition::OtherZonesAndPlatform, Partition::Peers,
                                    Partition::All};

std::string nameOf(Partition partition)
{
    switch (partition) {
    case Partition::OtherZones:
        return "cut off from other zones";
    case Partition::Platform:
        return "cut off from the platform";
    case Partition::OtherZonesAndPlatform:
        return "cut off from other zones and the platform";
    case Partition::Peers:
        return "each cut off from all peers";
    case Partition::All:
        return "each cut off from all peers and the platform";
    }
    return {};
}

/// @brief One run of configuration changes before, during and after partitions of one zone. Guards
/// against daemons that lose, revert or never receive a configuration, and against wrong membership
/// views, when a zone loses its peers or the platform.
class CutOffRun
{
public:
    explicit CutOffRun(std::uint64_t seed)
        : network_(
                {.seed = seed, .agent = {.deployment = "proof", .membership = {}}, .follower = {}})
        , rng_(seed ^ 0xD00D)
    {}

    std::string run()
    {
        zones_ = 2 + rng_.below(3);
        daemonsPerZone_ = 2 + rng_.below(3);
        for (std::size_t i = 0; i < zones_ * daemonsPerZone_; ++i)
            network_.start("e" + std::to_string(i), "z" + std::to_string(i % zones_));
        network_.publishList();
        network_.setConfigHook([this](const auto &daemon, const auto &config) {
            std::uint64_t &last = lastApplied_[daemon.identity.id + "@"
                                               + std::to_string(base::toMillis(daemon.startedAt))];
            if (config.version() <= last)
                fail(daemon.identity.id + " reverted to version "
                     + std::to_string(config.version()));
            last = config.version();
        });
        network_.faults().loss = rng_.chance(0.5) ? 0.05 : 0;
        isolatedZone_ = "z" + std::to_string(rng_.below(zones_));
        if (!network_.runUntil(kHealBound, [this] { return isConverged(); }))
            fail("views did not converge after the start");
        putAndExpect("before the partition", {});
        for (int round = 0; round < 2 && violation_.empty(); ++round)
            partitionAndHeal(kPartitions[rng_.below(kPartitions.size())]);
        return violation_;
    }

private:
    void fail(const std::string &text)
    {
        if (!violation_.empty())
            return;
        std::ostringstream out;
        out << text << "\n  at " << base::toMillis(network_.now()) % 1'000'000 << " ms; actions:";
        for (const std::string &line : trace_)
            out << "\n  " << line;
        violation_ = out.str();
    }

    void addTraceLine(const std::string &line)
    {
        trace_.push_back(std::to_string(base::toMillis(network_.now()) % 1'000'000) + " " + line);
    }

    bool isInIsolatedZone(const evidence::SimDaemon &daemon) const
    {
        return daemon.identity.zone == isolatedZone_;
    }

    static bool reachesPlatform(Partition partition)
    {
        return partition == Partition::OtherZones || partition == Partition::Peers;
    }

    void startPartition(Partition partition)
    {
        platform::FaultPlan faults;
        if (!reachesPlatform(partition))
            faults.partitionedZones.insert(isolatedZone_);
        network_.platform().setFaults(faults);
        network_.setPartition([this, partition](const auto &from, const auto &to) {
            if (partition == Partition::Platform)
                return false;
            if (partition == Partition::Peers || partition == Partition::All)
                return isInIsolatedZone(from) || isInIsolatedZone(to);
            return isInIsolatedZone(from) != isInIsolatedZone(to);
        });
    }

    std::string connectedZone() const { return isolatedZone_ == "z0" ? "z1" : "z0"; }

    // Commits a change that must be in force within the bound in all daemons that are not exempt.
    std::uint64_t putAndExpect(const std::string &when,
                               const std::function<bool(const evidence::SimDaemon &)> &isExempt)
    {
        v1::PutConfigRequest request;
        request.set_request_id("c" + std::to_string(++calls_));
        request.set_expected_version(head_);
        v1::ConfigItem &item = *request.add_items();
        item.set_name("team/a");
        item.mutable_team()->set_weight(static_cast<std::uint32_t>(calls_));
        const auto change = network_.store(connectedZone()).put(request, "proof");
        if (!change) {
            fail("a change was rejected " + when + ": " + change.error().message);
            return head_;
        }
        head_ = change.value().version();
        std::string behind;
        const auto elapsed = network_.runUntil(kInForceBound, [&] {
            behind.clear();
            for (const auto &[id, daemon] : network_.daemons()) {
                if (daemon.isUp && (!isExempt || !isExempt(daemon))
                    && daemon.agent->config().version() < head_)
                    behind = id;
            }
            return behind.empty();
        });
        if (!elapsed)
            fail(when + ": " + behind + " does not have version " + std::to_string(head_)
                 + " in force after 5 s");
        return head_;
    }

    void partitionAndHeal(Partition partition)
    {
        addTraceLine(isolatedZone_ + " " + nameOf(partition));
        startPartition(partition);
        // The random delay makes the next change start at any time after the partition.
        network_.run(std::chrono::milliseconds(rng_.below(20'000)));
        const bool isIsolated =
                partition == Partition::All || partition == Partition::OtherZonesAndPlatform;
        const std::uint64_t before = head_;
        putAndExpect(nameOf(partition),
                     [&](const auto &daemon) { return isIsolated && isInIsolatedZone(daemon); });
        if (isIsolated)
            checkVersionUnchanged(before);
        if (!reachesPlatform(partition))
            checkNewDaemon(partition, isIsolated ? before : head_);
        checkMembers(partition);
        heal(partition);
    }

    // An isolated daemon keeps its version and reports since when it is in force.
    void checkVersionUnchanged(std::uint64_t version)
    {
        for (const auto &[id, daemon] : network_.daemons()) {
            if (!isInIsolatedZone(daemon) || !daemon.isUp)
                continue;
            const auto &config = daemon.agent->config();
            if (config.version() != version)
                fail(id + " has version " + std::to_string(config.version()) + " instead of "
                     + std::to_string(version) + " while isolated");
            if (config.inForceSince() > network_.now()
                || config.inForceSince() == base::TimePoint{})
                fail(id + " does not report the age of its configuration");
        }
    }

    // A daemon that starts without the platform adopts the configuration of its peers and reports
    // that it did.
    void checkNewDaemon(Partition partition, std::uint64_t expected)
    {
        std::string victim;
        for (const auto &[id, daemon] : network_.daemons()) {
            if (isInIsolatedZone(daemon))
                victim = id;
        }
        addTraceLine("replace " + victim);
        network_.start(victim, isolatedZone_);
        network_.publishList();
        evidence::SimDaemon &newDaemon = network_.daemon(victim);
        if (partition == Partition::All) {
            network_.run(5s);
            if (newDaemon.agent->config().version() != 0)
                fail(victim + " has a configuration that it cannot have received");
            return;
        }
        const auto elapsed = network_.runUntil(
                kInForceBound, [&] { return newDaemon.agent->config().version() == expected; });
        if (!elapsed)
            fail(nameOf(partition) + ": the new " + victim + " has version "
                 + std::to_string(newDaemon.agent->config().version())
                 + " after 5 s, its peers have " + std::to_string(expected));
        else if (!newDaemon.agent->config().isFromPeers()
                 || newDaemon.agent->config().hasReadTable())
            fail(victim + " does not report that its configuration is from peers");
    }

    std::set<std::string> expectedAlive(const evidence::SimDaemon &daemon, Partition partition)
    {
        std::set<std::string> expected;
        for (const auto &[id, other] : network_.daemons()) {
            const bool areBothIsolated = isInIsolatedZone(daemon) && isInIsolatedZone(other);
            const bool areBothConnected = !isInIsolatedZone(daemon) && !isInIsolatedZone(other);
            const bool reaches = partition == Partition::Platform || areBothConnected
                                 || (areBothIsolated
                                     && (partition == Partition::OtherZones
                                         || partition == Partition::OtherZonesAndPlatform));
            if (other.isUp && (reaches || id == daemon.identity.id))
                expected.insert(id);
        }
        return expected;
    }

    std::string viewDifference(Partition partition)
    {
        for (const auto &[id, daemon] : network_.daemons()) {
            std::set<std::string> seen;
            for (const auto &member : daemon.agent->membership().alive())
                seen.insert(member.id);
            if (seen != expectedAlive(daemon, partition))
                return id + " sees " + std::to_string(seen.size()) + " members, but can reach "
                       + std::to_string(expectedAlive(daemon, partition).size());
        }
        return {};
    }

    bool isConverged() { return viewDifference(Partition::Platform).empty(); }

    void checkMembers(Partition partition)
    {
        if (!violation_.empty())
            return;
        if (!network_.runUntil(kDetectionBound, [&] { return viewDifference(partition).empty(); }))
            fail(nameOf(partition) + ": " + viewDifference(partition) + " after "
                 + std::to_string(kDetectionBound / 1s) + " s");
    }

    void heal(Partition partition)
    {
        if (!violation_.empty())
            return;
        addTraceLine("partition ends");
        network_.platform().setFaults({});
        network_.setPartition({});
        const auto caughtUp = network_.runUntil(kInForceBound, [this] {
            for (const auto &[id, daemon] : network_.daemons()) {
                if (daemon.agent->config().version() < head_)
                    return false;
            }
            return true;
        });
        if (!caughtUp)
            fail("a daemon that was " + nameOf(partition) + " lacks version "
                 + std::to_string(head_) + " 5 s after the partition ended");
        if (!network_.runUntil(kHealBound, [this] { return isConverged(); }))
            fail("views differ " + std::to_string(kHealBound / 1s)
                 + " s after the partition ended: " + viewDifference(Partition::Platform));
        putAndExpect("after the partition", {});
        for (const auto &[id, daemon] : network_.daemons()) {
            if (violation_.empty() && daemon.agent->config().version() != head_)
                fail(id + " has a different version than the head");
        }
    }

    evidence::PeerNetwork network_;
    base::Rng rng_;
    std::size_t zones_ = 3;
    std::size_t daemonsPerZone_ = 3;
    std::string isolatedZone_;
    std::uint64_t head_ = 0;
    int calls_ = 0;
    std::vector<std::string> trace_;
    std::string violation_;
    std::map<std::string, std::uint64_t> lastApplied_;
};

const Registration kRegistration(
        {.name = "cut-off",
         .description = "configuration and membership are correct while and after a zone is cut "
                        "off from other zones, the platform, its peers or all of them",
         .defaultRuns = 200,
         .run = [](std::uint64_t seed) { return CutOffRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
