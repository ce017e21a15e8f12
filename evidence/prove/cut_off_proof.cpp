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

enum class Cut { OtherZones, Platform, OtherZonesAndPlatform, Peers, All };
constexpr std::array kCuts = {Cut::OtherZones, Cut::Platform, Cut::OtherZonesAndPlatform,
                              Cut::Peers, Cut::All};

std::string nameOf(Cut cut)
{
    switch (cut) {
    case Cut::OtherZones:
        return "cut off from other zones";
    case Cut::Platform:
        return "cut off from the platform";
    case Cut::OtherZonesAndPlatform:
        return "cut off from other zones and the platform";
    case Cut::Peers:
        return "each cut off from all peers";
    case Cut::All:
        return "each cut off from all peers and the platform";
    }
    return {};
}

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
        perZone_ = 2 + rng_.below(3);
        for (std::size_t i = 0; i < zones_ * perZone_; ++i)
            network_.start("e" + std::to_string(i), "z" + std::to_string(i % zones_));
        network_.publishList();
        network_.setConfigHook([this](const auto &daemon, const auto &config) {
            std::uint64_t &last = applied_[daemon.identity.id + "@"
                                           + std::to_string(base::toMillis(daemon.startedAt))];
            if (config.version() <= last)
                fail(daemon.identity.id + " reverted to version "
                     + std::to_string(config.version()));
            last = config.version();
        });
        network_.faults().loss = rng_.chance(0.5) ? 0.05 : 0;
        cutZone_ = "z" + std::to_string(rng_.below(zones_));
        if (!network_.runUntil(kHealBound, [this] { return isConverged(); }))
            fail("no convergence after the start");
        putAndExpect("before the cut", {});
        for (int round = 0; round < 2 && violation_.empty(); ++round)
            cutAndHeal(kCuts[rng_.below(kCuts.size())]);
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

    void log(const std::string &line)
    {
        trace_.push_back(std::to_string(base::toMillis(network_.now()) % 1'000'000) + " " + line);
    }

    bool isInCutZone(const evidence::SimDaemon &daemon) const
    {
        return daemon.identity.zone == cutZone_;
    }

    static bool hasPlatform(Cut cut) { return cut == Cut::OtherZones || cut == Cut::Peers; }

    void apply(Cut cut)
    {
        platform::FaultPlan faults;
        if (!hasPlatform(cut))
            faults.partitionedZones.insert(cutZone_);
        network_.platform().setFaults(faults);
        network_.setCut([this, cut](const auto &from, const auto &to) {
            if (cut == Cut::Platform)
                return false;
            if (cut == Cut::Peers || cut == Cut::All)
                return isInCutZone(from) || isInCutZone(to);
            return isInCutZone(from) != isInCutZone(to);
        });
    }

    std::string uncutZone() const { return cutZone_ == "z0" ? "z1" : "z0"; }

    // Commits a change and expects it in force in all daemons but the excepted within the bound.
    std::uint64_t putAndExpect(const std::string &when,
                               const std::function<bool(const evidence::SimDaemon &)> &isExcepted)
    {
        v1::PutConfigRequest request;
        request.set_request_id("c" + std::to_string(++calls_));
        request.set_expected_version(head_);
        v1::ConfigItem &item = *request.add_items();
        item.set_name("team/a");
        item.mutable_team()->set_weight(static_cast<std::uint32_t>(calls_));
        const auto change = network_.store(uncutZone()).put(request, "proof");
        if (!change) {
            fail("a change was refused " + when + ": " + change.error().message);
            return head_;
        }
        head_ = change.value().version();
        std::string behind;
        const auto took = network_.runUntil(kInForceBound, [&] {
            behind.clear();
            for (const auto &[id, daemon] : network_.daemons()) {
                if (daemon.isUp && (!isExcepted || !isExcepted(daemon))
                    && daemon.agent->config().version() < head_)
                    behind = id;
            }
            return behind.empty();
        });
        if (!took)
            fail(when + ": " + behind + " does not have version " + std::to_string(head_)
                 + " in force after 5 s");
        return head_;
    }

    void cutAndHeal(Cut cut)
    {
        log(cutZone_ + " " + nameOf(cut));
        apply(cut);
        // The cut may fall into any moment of the change that follows.
        network_.run(std::chrono::milliseconds(rng_.below(20'000)));
        const bool isOut = cut == Cut::All || cut == Cut::OtherZonesAndPlatform;
        const std::uint64_t before = head_;
        putAndExpect(nameOf(cut), [&](const auto &daemon) { return isOut && isInCutZone(daemon); });
        if (isOut)
            checkKept(before);
        if (!hasPlatform(cut))
            checkFreshDaemon(cut, isOut ? before : head_);
        checkMembers(cut);
        heal(cut);
    }

    // A cut-off daemon keeps its version and knows since when it is in force.
    void checkKept(std::uint64_t version)
    {
        for (const auto &[id, daemon] : network_.daemons()) {
            if (!isInCutZone(daemon) || !daemon.isUp)
                continue;
            const auto &config = daemon.agent->config();
            if (config.version() != version)
                fail(id + " has version " + std::to_string(config.version()) + " instead of "
                     + std::to_string(version) + " while cut off");
            if (config.inForceSince() > network_.now()
                || config.inForceSince() == base::TimePoint{})
                fail(id + " does not know the age of its configuration");
        }
    }

    // A daemon that starts without the platform takes what its peers hold and says so.
    void checkFreshDaemon(Cut cut, std::uint64_t expected)
    {
        std::string victim;
        for (const auto &[id, daemon] : network_.daemons()) {
            if (isInCutZone(daemon))
                victim = id;
        }
        log("replace " + victim);
        network_.start(victim, cutZone_);
        network_.publishList();
        evidence::SimDaemon &fresh = network_.daemon(victim);
        if (cut == Cut::All) {
            network_.run(5s);
            if (fresh.agent->config().version() != 0)
                fail(victim + " has a configuration that it cannot have heard of");
            return;
        }
        const auto took = network_.runUntil(
                kInForceBound, [&] { return fresh.agent->config().version() == expected; });
        if (!took)
            fail(nameOf(cut) + ": the fresh " + victim + " has version "
                 + std::to_string(fresh.agent->config().version()) + " after 5 s, its peers hold "
                 + std::to_string(expected));
        else if (!fresh.agent->config().isFromPeers() || fresh.agent->config().hasReadTable())
            fail(victim + " does not report that its configuration is from peers");
    }

    std::set<std::string> expectedAlive(const evidence::SimDaemon &daemon, Cut cut)
    {
        std::set<std::string> expected;
        for (const auto &[id, other] : network_.daemons()) {
            const bool both = isInCutZone(daemon) && isInCutZone(other);
            const bool neither = !isInCutZone(daemon) && !isInCutZone(other);
            const bool reaches =
                    cut == Cut::Platform || neither
                    || (both && (cut == Cut::OtherZones || cut == Cut::OtherZonesAndPlatform));
            if (other.isUp && (reaches || id == daemon.identity.id))
                expected.insert(id);
        }
        return expected;
    }

    std::string difference(Cut cut)
    {
        for (const auto &[id, daemon] : network_.daemons()) {
            std::set<std::string> seen;
            for (const auto &member : daemon.agent->membership().alive())
                seen.insert(member.id);
            if (seen != expectedAlive(daemon, cut))
                return id + " sees " + std::to_string(seen.size()) + " members, it can reach "
                       + std::to_string(expectedAlive(daemon, cut).size());
        }
        return {};
    }

    bool isConverged() { return difference(Cut::Platform).empty(); }

    void checkMembers(Cut cut)
    {
        if (!violation_.empty())
            return;
        if (!network_.runUntil(kDetectionBound, [&] { return difference(cut).empty(); }))
            fail(nameOf(cut) + ": " + difference(cut) + " after "
                 + std::to_string(kDetectionBound / 1s) + " s");
    }

    void heal(Cut cut)
    {
        if (!violation_.empty())
            return;
        log("heal");
        network_.platform().setFaults({});
        network_.setCut({});
        const auto caughtUp = network_.runUntil(kInForceBound, [this] {
            for (const auto &[id, daemon] : network_.daemons()) {
                if (daemon.agent->config().version() < head_)
                    return false;
            }
            return true;
        });
        if (!caughtUp)
            fail("a daemon that was " + nameOf(cut) + " lacks version " + std::to_string(head_)
                 + " 5 s after the cut ended");
        if (!network_.runUntil(kHealBound, [this] { return isConverged(); }))
            fail("views differ " + std::to_string(kHealBound / 1s)
                 + " s after the cut ended: " + difference(Cut::Platform));
        putAndExpect("after the cut", {});
        for (const auto &[id, daemon] : network_.daemons()) {
            if (violation_.empty() && daemon.agent->config().version() != head_)
                fail(id + " has another version than the head");
        }
    }

    evidence::PeerNetwork network_;
    base::Rng rng_;
    std::size_t zones_ = 3;
    std::size_t perZone_ = 3;
    std::string cutZone_;
    std::uint64_t head_ = 0;
    int calls_ = 0;
    std::vector<std::string> trace_;
    std::string violation_;
    std::map<std::string, std::uint64_t> applied_;
};

const Registration kRegistration(
        {.name = "cut-off",
         .description = "configuration and membership while a zone is cut off from other zones, "
                        "the platform, its peers or all of them, and after",
         .defaultRuns = 200,
         .run = [](std::uint64_t seed) { return CutOffRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
