#include "evidence/peer_network.h"
#include "evidence/prove/proof.h"

#include <chicorywick/base/hash.h>

#include <sstream>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

// Goals: entry instances take over within seconds, so a death is known to all within 15 s while
// messages arrive; everything else settles within a minute after the faults end.
constexpr base::Duration kDetectionBound = 15s;
constexpr base::Duration kConvergenceBound = 60s;
// Longest pause that must never end in a declared death while no message is lost.
constexpr base::Duration kSurvivedPause = 4s;

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

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
        publishPartOfList();
        expectConvergence("after the start");
        checkPause();
        for (int phase = 0; phase < 5 && violation_.empty(); ++phase) {
            disturb();
            network_.run(std::chrono::seconds(2 + rng_.below(10)), [this] { return observe(); });
        }
        calm();
        expectConvergence("after the faults ended");
        checkDetection();
        return violation_;
    }

private:
    std::string zoneOf(std::size_t index) const { return "z" + std::to_string(index % zones_); }

    void log(const std::string &line)
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

    // The list lags: it names one running instance at least, not all.
    void publishPartOfList()
    {
        std::vector<std::string> ids = {"e0"};
        for (const auto &[id, daemon] : network_.daemons()) {
            if (id != "e0" && daemon.isUp && rng_.chance(0.6))
                ids.push_back(id);
        }
        network_.publishList(ids);
    }

    std::string anyDaemon() { return "e" + std::to_string(rng_.below(network_.daemons().size())); }

    // What each process knows of another one only moves forward, and never past that one itself.
    bool observe()
    {
        for (auto &[id, daemon] : network_.daemons()) {
            if (!network_.isRunning(daemon))
                continue;
            const std::string process =
                    id + "@" + std::to_string(base::toMillis(daemon.startedAt)) + ">";
            for (const auto &[other, member] : daemon.agent->membership().members()) {
                std::uint64_t &seen = incarnations_[process + other];
                if (member.incarnation < seen)
                    fail(joined({id, " went back from incarnation ", std::to_string(seen), " of ",
                                 other, " to ", std::to_string(member.incarnation)}));
                seen = member.incarnation;
                const auto &subject = network_.daemon(other);
                if (member.incarnation > subject.agent->membership().incarnation())
                    fail(joined({id, " knows an incarnation of ", other, " that it never had"}));
            }
        }
        return violation_.empty();
    }

    void disturb()
    {
        network_.faults().loss = rng_.chance(0.6) ? rng_.uniform() * 0.4 : 0;
        network_.faults().duplicate = rng_.chance(0.5) ? 0.2 : 0;
        network_.faults().late = rng_.chance(0.5) ? 0.05 : 0;
        network_.faults().lateDelay = 20s;
        network_.faults().maxDelay = std::chrono::milliseconds(2 + rng_.below(300));
        cutAtRandom();
        const std::string victim = anyDaemon();
        switch (rng_.below(5)) {
        case 0:
            log("kill " + victim);
            network_.kill(victim);
            break;
        case 1:
            log("replace " + victim);
            network_.start(victim, network_.daemon(victim).identity.zone);
            publishPartOfList();
            break;
        case 2:
            log("freeze " + victim);
            network_.freeze(victim, std::chrono::milliseconds(500 + rng_.below(20'000)));
            break;
        case 3:
            if (network_.daemon(victim).isUp) {
                log("leave " + victim);
                network_.leave(victim);
            }
            break;
        default:
            break;
        }
    }

    void cutAtRandom()
    {
        if (rng_.chance(0.3)) {
            const std::string zone = zoneOf(rng_.below(zones_));
            log("cut zone " + zone);
            network_.setCut([zone](const auto &from, const auto &to) {
                return (from.identity.zone == zone) != (to.identity.zone == zone);
            });
        } else if (rng_.chance(0.3)) {
            // One direction only, between a random half and the rest.
            const std::uint64_t salt = rng_();
            log("one-way cut");
            network_.setCut([salt](const auto &from, const auto &to) {
                return base::hash64(from.identity.id, salt) % 2 == 0
                       && base::hash64(to.identity.id, salt) % 2 == 1;
            });
        } else {
            network_.setCut({});
        }
    }

    void calm()
    {
        network_.faults() = {};
        network_.faults().loss = 0.02;
        network_.setCut({});
        for (auto &[id, daemon] : network_.daemons())
            daemon.frozenUntil = {};
        // With nobody left, the rest of the run would check nothing.
        if (!network_.daemon("e0").isUp)
            network_.start("e0", zoneOf(0));
        network_.publishList();
        log("calm");
    }

    // Every running daemon sees exactly the running ones as alive.
    std::string difference() const
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
                    return joined({id, subject.isUp ? " takes the running " : " takes the ended ",
                                   other, subject.isUp ? " for dead" : " for alive"});
            }
        }
        return {};
    }

    void expectConvergence(const std::string &when)
    {
        if (!violation_.empty())
            return;
        const auto took = network_.runUntil(kConvergenceBound,
                                            [this] { return !observe() || difference().empty(); });
        if (!took)
            fail(when + ", " + difference() + " for " + std::to_string(kConvergenceBound / 1s)
                 + " s");
    }

    // Without loss, a pause that the suspicion time covers is refuted before it is a death, also
    // when messages of before the pause arrive after it.
    void checkPause()
    {
        if (!violation_.empty())
            return;
        network_.faults() = {};
        const std::string victim = anyDaemon();
        log("short freeze of " + victim);
        network_.faults().late = 0.02;
        network_.freeze(victim, base::Duration(static_cast<std::int64_t>(
                                        rng_.below(kSurvivedPause / 1us))));
        network_.run(20s, [this] {
            for (const auto &[id, daemon] : network_.daemons()) {
                for (const auto &[other, member] : daemon.agent->membership().members()) {
                    if (member.status == cluster::MemberStatus::Dead)
                        fail(joined({id, " declared ", other, " dead after a pause below ",
                                     std::to_string(kSurvivedPause / 1s), " s"}));
                }
            }
            return observe();
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
        log("kill " + victim);
        network_.kill(victim);
        const auto took = network_.runUntil(kDetectionBound,
                                            [this] { return !observe() || difference().empty(); });
        if (!took)
            fail("the death of " + victim + " is not known to all after "
                 + std::to_string(kDetectionBound / 1s) + " s: " + difference());
    }

    evidence::PeerNetwork network_;
    base::Rng rng_;
    std::size_t zones_ = 1;
    std::vector<std::string> trace_;
    std::string violation_;
    std::map<std::string, std::uint64_t> incarnations_;
};

const Registration kRegistration(
        {.name = "membership",
         .description = "no false death stays, deaths are detected within 15 s, incarnations only "
                        "grow, views converge after cuts, pauses and replacements",
         .defaultRuns = 300,
         .run = [](std::uint64_t seed) { return MembershipRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
