#include "evidence/peer_network.h"
#include "evidence/prove/proof.h"

#include <chicorywick/base/hash.h>

#include <sstream>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

// Entry instances must take over within seconds, so all members detect a death within 15 s while
// messages arrive. All other views converge within a minute after the faults end.
constexpr base::Duration kDetectionBound = 15s;
constexpr base::Duration kConvergenceBound = 60s;
// A pause up to this length must not lead to a declared death while no message is lost.
constexpr base::Duration kMaxSurvivedPause = 4s;

std::string concatenate(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

/// @brief One run of membership under message loss, partitions, pauses and replacements. Guards
/// against false deaths that persist, late detection, and views that go back or stay different.
class MembershipRun
{
public:
    explicit MembershipRun(std::uint64_t seed)
        : network_({.seed = seed,
                    .agent = {.deployment = "proof", .membership = {}},
                    .follower = {},
                    .followTable = false})
        , rng_(seed ^ 0xBEEF)
    {}

    std::string run()
    {
        const std::size_t size = 2 + rng_.below(17);
        zones_ = 1 + rng_.below(4);
        for (std::size_t i = 0; i < size; ++i)
            network_.start("e" + std::to_string(i), zoneOf(i));
        publishPartialList();
        expectConvergence("after the start");
        checkPause();
        for (int phase = 0; phase < 5 && violation_.empty(); ++phase) {
            injectFaults();
            network_.run(std::chrono::seconds(2 + rng_.below(10)),
                         [this] { return checkIncarnations(); });
        }
        endFaults();
        expectConvergence("after the faults ended");
        checkDetection();
        return violation_;
    }

private:
    std::string zoneOf(std::size_t index) const { return "z" + std::to_string(index % zones_); }

    void addTraceLine(const std::string &line)
    {
        constexpr std::size_t kTraceLines = 12;
        trace_.push_back(std::to_string(base::toMillis(network_.now()) % 1'000'000) + " " + line);
        if (trace_.size() > kTraceLines)
            trace_.erase(trace_.begin());
    }

    void fail(const std::string &text)
    {
        if (!violation_.empty())
            return;
        std::ostringstream out;
        out << text << "\n  at " << base::toMillis(network_.now()) % 1'000'000
            << " ms; last actions:";
        for (const std::string &line : trace_)
            out << "\n  " << line;
        violation_ = out.str();
    }

    // The platform's list lags: it contains e0 and a random part of the other running instances.
    void publishPartialList()
    {
        std::vector<std::string> ids = {"e0"};
        for (const auto &[id, daemon] : network_.daemons()) {
            if (id != "e0" && daemon.isUp && rng_.chance(0.6))
                ids.push_back(id);
        }
        network_.publishList(ids);
    }

    std::string randomDaemon()
    {
        return "e" + std::to_string(rng_.below(network_.daemons().size()));
    }

    // A process's view of another member's incarnation never decreases and never exceeds that
    // member's own incarnation.
    bool checkIncarnations()
    {
        for (auto &[id, daemon] : network_.daemons()) {
            if (!network_.isRunning(daemon))
                continue;
            const std::string process =
                    id + "@" + std::to_string(base::toMillis(daemon.startedAt)) + ">";
            for (const auto &[other, member] : daemon.agent->membership().members()) {
                std::uint64_t &seen = lastIncarnations_[process + other];
                if (member.incarnation < seen)
                    fail(concatenate({id, " reverted from incarnation ", std::to_string(seen),
                                      " of ", other, " to ", std::to_string(member.incarnation)}));
                seen = member.incarnation;
                const auto &subject = network_.daemon(other);
                if (member.incarnation > subject.agent->membership().incarnation())
                    fail(concatenate({id, " has an incarnation of ", other, " that it never had"}));
            }
        }
        return violation_.empty();
    }

    void injectFaults()
    {
        network_.faults().loss = rng_.chance(0.6) ? rng_.uniform() * 0.4 : 0;
        network_.faults().duplicate = rng_.chance(0.5) ? 0.2 : 0;
        network_.faults().late = rng_.chance(0.5) ? 0.05 : 0;
        network_.faults().lateDelay = 20s;
        network_.faults().maxDelay = std::chrono::milliseconds(2 + rng_.below(300));
        partitionAtRandom();
        const std::string victim = randomDaemon();
        switch (rng_.below(5)) {
        case 0:
            addTraceLine("kill " + victim);
            network_.kill(victim);
            break;
        case 1:
            addTraceLine("replace " + victim);
            network_.start(victim, network_.daemon(victim).identity.zone);
            publishPartialList();
            break;
        case 2:
            addTraceLine("freeze " + victim);
            network_.freeze(victim, std::chrono::milliseconds(500 + rng_.below(20'000)));
            break;
        case 3:
            if (network_.daemon(victim).isUp) {
                addTraceLine("leave " + victim);
                network_.leave(victim);
            }
            break;
        default:
            break;
        }
    }

    void partitionAtRandom()
    {
        if (rng_.chance(0.3)) {
            const std::string zone = zoneOf(rng_.below(zones_));
            addTraceLine("isolate zone " + zone);
            network_.setPartition([zone](const auto &from, const auto &to) {
                return (from.identity.zone == zone) != (to.identity.zone == zone);
            });
        } else if (rng_.chance(0.3)) {
            // Drops messages in one direction only, from a random half to the rest.
            const std::uint64_t salt = rng_();
            addTraceLine("one-way partition");
            network_.setPartition([salt](const auto &from, const auto &to) {
                return base::hash64(from.identity.id, salt) % 2 == 0
                       && base::hash64(to.identity.id, salt) % 2 == 1;
            });
        } else {
            network_.setPartition({});
        }
    }

    void endFaults()
    {
        network_.faults() = {};
        network_.faults().loss = 0.02;
        network_.setPartition({});
        for (auto &[id, daemon] : network_.daemons())
            daemon.frozenUntil = {};
        // Without a running daemon, the rest of the run would check nothing.
        if (!network_.daemon("e0").isUp)
            network_.start("e0", zoneOf(0));
        network_.publishList();
        addTraceLine("faults end");
    }

    // Describes the first running daemon whose alive members are not exactly the running daemons.
    std::string viewDifference() const
    {
        for (const auto &[id, daemon] : const_cast<evidence::PeerNetwork &>(network_).daemons()) {
            if (!daemon.isUp)
                continue;
            std::set<std::string> seen;
            for (const cluster::MemberIdentity &member : daemon.agent->membership().alive())
                seen.insert(member.id);
            for (const auto &[other, subject] :
                 const_cast<evidence::PeerNetwork &>(network_).daemons()) {
                if (subject.isUp != seen.contains(other))
                    return concatenate({id,
                                        subject.isUp ? " sees the running " : " sees the ended ",
                                        other, subject.isUp ? " as not alive" : " as alive"});
            }
        }
        return {};
    }

    void expectConvergence(const std::string &when)
    {
        if (!violation_.empty())
            return;
        const auto elapsed = network_.runUntil(kConvergenceBound, [this] {
            return !checkIncarnations() || viewDifference().empty();
        });
        if (!elapsed)
            fail(when + ", " + viewDifference() + " for " + std::to_string(kConvergenceBound / 1s)
                 + " s");
    }

    // Without loss, a member refutes the suspicion caused by a pause shorter than the suspicion
    // time, even if messages sent before the pause arrive after it.
    void checkPause()
    {
        if (!violation_.empty())
            return;
        network_.faults() = {};
        const std::string victim = randomDaemon();
        addTraceLine("short freeze of " + victim);
        network_.faults().late = 0.02;
        network_.freeze(victim, base::Duration(static_cast<std::int64_t>(
                                        rng_.below(kMaxSurvivedPause / 1us))));
        network_.run(20s, [this] {
            for (const auto &[id, daemon] : network_.daemons()) {
                for (const auto &[other, member] : daemon.agent->membership().members()) {
                    if (member.status == cluster::MemberStatus::Dead)
                        fail(concatenate({id, " declared ", other,
                                          " dead after a pause shorter than ",
                                          std::to_string(kMaxSurvivedPause / 1s), " s"}));
                }
            }
            return checkIncarnations();
        });
    }

    void checkDetection()
    {
        if (!violation_.empty())
            return;
        std::vector<std::string> up;
        for (const auto &[id, daemon] : network_.daemons()) {
            if (daemon.isUp)
                up.push_back(id);
        }
        const std::string victim = up[rng_.below(up.size())];
        addTraceLine("kill " + victim);
        network_.kill(victim);
        const auto elapsed = network_.runUntil(kDetectionBound, [this] {
            return !checkIncarnations() || viewDifference().empty();
        });
        if (!elapsed)
            fail("the death of " + victim + " is not detected by all members after "
                 + std::to_string(kDetectionBound / 1s) + " s: " + viewDifference());
    }

    evidence::PeerNetwork network_;
    base::Rng rng_;
    std::size_t zones_ = 1;
    std::vector<std::string> trace_;
    std::string violation_;
    std::map<std::string, std::uint64_t> lastIncarnations_;
};

const Registration kRegistration(
        {.name = "membership",
         .description = "no false death persists, deaths are detected within 15 s, incarnations "
                        "only grow, views converge after partitions, pauses and replacements",
         .defaultRuns = 300,
         .run = [](std::uint64_t seed) { return MembershipRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
