#include "evidence/peer_network.h"
#include "evidence/prove/proof.h"

#include <sstream>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

// Goal: "its waves and jobs are taken over within seconds".
constexpr base::Duration kTakeoverBound = 15s;
constexpr base::Duration kConvergenceBound = 60s;
constexpr int kObjects = 40;
// Each waiting object costs one transaction of this many rows when the table comes back.
constexpr double kRowsPerStep = 3;

class TakeoverRun
{
public:
    explicit TakeoverRun(std::uint64_t seed)
        : network_(
                {.seed = seed, .agent = {.deployment = "proof", .membership = {}}, .follower = {}})
        , rng_(seed ^ 0xFACADE)
    {}

    std::string run()
    {
        const std::size_t size = 3 + rng_.below(10);
        for (std::size_t i = 0; i < size; ++i)
            network_.start("e" + std::to_string(i), "z" + std::to_string(i % 3));
        network_.publishList();
        if (!network_.runUntil(kConvergenceBound, [this] { return everyObjectHasOneOwner(); }))
            fail("no division of the objects after the start: " + detail_);
        for (int round = 0; round < 3 && violation_.empty(); ++round)
            endOneOwner();
        if (violation_.empty())
            checkOutage();
        return violation_;
    }

private:
    static std::string key(int index) { return "wave/" + std::to_string(index); }
    static std::string zoneOfKey(int index)
    {
        return index % 2 == 0 ? std::string() : "z" + std::to_string(index % 3);
    }

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

    std::vector<std::string> ownersOf(int index)
    {
        std::vector<std::string> owners;
        for (const auto &[id, daemon] : network_.daemons()) {
            if (network_.isRunning(daemon)
                && daemon.ownership->isOwner(key(index), zoneOfKey(index), network_.now()))
                owners.push_back(id);
        }
        return owners;
    }

    bool everyObjectHasOneOwner()
    {
        for (int i = 0; i < kObjects; ++i) {
            const std::vector<std::string> owners = ownersOf(i);
            if (owners.size() == 1)
                continue;
            detail_ = key(i) + " has " + std::to_string(owners.size()) + " owners";
            return false;
        }
        return true;
    }

    // While nobody is cut off, the wait of a new owner keeps it from overlapping with the old one.
    bool noneHasTwoOwners()
    {
        for (int i = 0; i < kObjects; ++i) {
            const std::vector<std::string> owners = ownersOf(i);
            if (owners.size() > 1)
                fail(key(i) + " is driven by " + owners[0] + " and " + owners[1]);
        }
        return violation_.empty();
    }

    void endOneOwner()
    {
        std::vector<std::string> up;
        for (const auto &[id, daemon] : network_.daemons()) {
            if (daemon.isUp)
                up.push_back(id);
        }
        if (up.size() < 2)
            return;
        const std::string victim = up[rng_.below(up.size())];
        switch (rng_.below(4)) {
        case 0:
            log("kill " + victim);
            network_.kill(victim);
            break;
        case 1:
            log("leave " + victim);
            network_.leave(victim);
            break;
        case 2:
            log("replace " + victim);
            network_.start(victim, network_.daemon(victim).identity.zone);
            network_.publishList();
            break;
        default:
            freeze(victim);
            return;
        }
        expectTakeover(victim);
    }

    void expectTakeover(const std::string &victim)
    {
        const auto took = network_.runUntil(
                kTakeoverBound, [this] { return !noneHasTwoOwners() || everyObjectHasOneOwner(); });
        if (!took)
            fail("objects of " + victim + " are not taken over after "
                 + std::to_string(kTakeoverBound / 1s) + " s: " + detail_);
        network_.run(5s, [this] { return noneHasTwoOwners(); });
    }

    // A process that was paused for long drives nothing when it resumes: others have taken over.
    void freeze(const std::string &victim)
    {
        log("freeze " + victim);
        const base::Duration pause = 12s + std::chrono::milliseconds(rng_.below(5000));
        network_.freeze(victim, pause);
        network_.run(pause - 500ms, [this] { return noneHasTwoOwners(); });
        if (!violation_.empty())
            return;
        if (!everyObjectHasOneOwner())
            fail("objects of the paused " + victim + " are not taken over: " + detail_);
        evidence::SimDaemon &daemon = network_.daemon(victim);
        network_.runUntil(2s, [&] { return daemon.frozenUntil + 60ms <= network_.now(); });
        for (int i = 0; i < kObjects; ++i) {
            if (daemon.ownership->isOwner(key(i), zoneOfKey(i), network_.now()))
                fail(victim + " drives " + key(i) + " right after its pause");
        }
        if (!network_.runUntil(kConvergenceBound, [this] { return everyObjectHasOneOwner(); }))
            fail("no division after the pause of " + victim + ": " + detail_);
    }

    // After an outage every daemon wants to step all its objects at once; the table must see no
    // more than the share, and refuse nothing.
    void checkOutage()
    {
        platform::FaultPlan faults;
        faults.table.down = true;
        network_.platform().setFaults(faults);
        std::map<std::string, int> waiting;
        for (const auto &[id, daemon] : network_.daemons())
            waiting[id] = daemon.isUp ? 200 : 0;
        log("table down");
        network_.run(std::chrono::seconds(5 + rng_.below(30)),
                     [&] { return drainBacklog(waiting); });
        network_.platform().setFaults({});
        log("table up");
        const platform::PlatformCounters before = network_.platform().counters();
        platform::PlatformCounters last = before;
        constexpr double kWriteShare = 400.0 / 3;
        constexpr double kReadShare = 2000.0 / 3;
        // One second may hold the bursts of all daemons beside the steady share.
        constexpr double kBurstFactor = 1.5;
        for (int second = 0; second < 20 && violation_.empty(); ++second) {
            network_.run(1s, [&] { return drainBacklog(waiting); });
            const platform::PlatformCounters now = network_.platform().counters();
            const auto writes = static_cast<double>(now.tableWrites - last.tableWrites);
            const auto reads = static_cast<double>(now.tableReads - last.tableReads);
            if (writes > kWriteShare * kBurstFactor || reads > kReadShare * kBurstFactor
                || now.tableOverloads != before.tableOverloads)
                fail("second " + std::to_string(second) + " after the outage saw "
                     + std::to_string(writes) + " writes, " + std::to_string(reads) + " reads and "
                     + std::to_string(now.tableOverloads - before.tableOverloads) + " refusals");
            last = now;
        }
        if (violation_.empty() && last.tableWrites == before.tableWrites)
            fail("nothing was written after the outage");
    }

    bool drainBacklog(std::map<std::string, int> &waiting)
    {
        for (auto &[id, count] : waiting) {
            evidence::SimDaemon &daemon = network_.daemon(id);
            while (count > 0 && network_.isRunning(daemon)
                   && daemon.pacer->reserveWrites(network_.now(), kRowsPerStep)
                              == base::Duration::zero()) {
                if (!writeStep(id, count)) {
                    daemon.pacer->recordUnavailable(network_.now());
                    break;
                }
                daemon.pacer->recordSuccess(network_.now());
                --count;
            }
        }
        return violation_.empty();
    }

    bool writeStep(const std::string &id, int count)
    {
        platform::Transaction transaction;
        transaction.writer = id + std::to_string(count);
        for (int row = 0; row < static_cast<int>(kRowsPerStep); ++row)
            transaction.puts.push_back({"step/" + id + std::to_string(row), "x"});
        return network_.platform()
                .commit(network_.daemon(id).identity.zone, transaction)
                .has_value();
    }

    evidence::PeerNetwork network_;
    base::Rng rng_;
    std::vector<std::string> trace_;
    std::string violation_;
    std::string detail_;
};

const Registration kRegistration(
        {.name = "takeover",
         .description = "objects of an ended or paused daemon get one new owner within 15 s, and "
                        "the table's return starts no stampede",
         .defaultRuns = 300,
         .run = [](std::uint64_t seed) { return TakeoverRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
