#include "evidence/peer_network.h"
#include "evidence/prove/proof.h"

#include <chicorywick/cluster/config_diff.h>

#include <optional>
#include <sstream>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration kInForceBound = 5s;
constexpr int kItems = 6;

/// A call of an operator that is repeated with the same request id until its answer is definite.
struct PendingCall
{
    v1::PutConfigRequest request;
    std::string zone;
    int triesLeft = 8;
    base::TimePoint next;
};

class ConfigRun
{
public:
    explicit ConfigRun(std::uint64_t seed)
        : network_(
                {.seed = seed, .agent = {.deployment = "proof", .membership = {}}, .follower = {}})
        , rng_(seed ^ 0xC0FFEE)
    {}

    std::string run()
    {
        const std::size_t size = 3 + rng_.below(7);
        for (std::size_t i = 0; i < size; ++i)
            network_.start("e" + std::to_string(i), zoneOf(i));
        network_.publishList();
        network_.setConfigHook(
                [this](const evidence::SimDaemon &daemon, const cluster::ConfigApplier &config) {
                    note(daemon, config);
                });
        for (int phase = 0; phase < 6 && violation_.empty(); ++phase) {
            disturb();
            network_.run(4s, [this] { return operate() && checkLost(); });
        }
        heal();
        if (rng_.chance(0.3))
            restartAll();
        network_.run(12s, [this] { return operate() && checkLost(); });
        checkInForce();
        checkHistory();
        return violation_;
    }

private:
    static std::string zoneOf(std::size_t index) { return "z" + std::to_string(index % 3); }

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

    void log(const std::string &line)
    {
        constexpr std::size_t kTraceLines = 12;
        trace_.push_back(std::to_string(base::toMillis(network_.now()) % 1'000'000) + " " + line);
        if (trace_.size() > kTraceLines)
            trace_.erase(trace_.begin());
    }

    // What a daemon has in force, and that it never falls within one process.
    void note(const evidence::SimDaemon &daemon, const cluster::ConfigApplier &config)
    {
        const std::string process =
                daemon.identity.id + "@" + std::to_string(base::toMillis(daemon.startedAt));
        std::uint64_t &last = applied_[process];
        log(process + " applies version " + std::to_string(config.version()));
        if (config.version() <= last)
            fail(process + " went from version " + std::to_string(last) + " to "
                 + std::to_string(config.version()));
        last = config.version();
        const std::string content = contentOf(config.items());
        const auto [known, isNew] = contents_.emplace(config.version(), content);
        if (!isNew && known->second != content)
            fail(process + " has another content at version " + std::to_string(config.version())
                 + ": " + content + " against " + known->second);
    }

    template <typename Items>
    static std::string contentOf(const Items &items)
    {
        std::string content;
        for (const v1::ConfigItem &item : items) {
            if (!item.deleted())
                content += item.name() + "=" + std::to_string(item.team().weight()) + "."
                           + std::to_string(item.team().quota_cpu_millis()) + " ";
        }
        return content;
    }

    void disturb()
    {
        platform::FaultPlan faults;
        faults.table.down = rng_.chance(0.2);
        faults.table.loseAnswer = rng_.chance(0.5) ? 0.15 : 0;
        faults.table.loseRequest = rng_.chance(0.3) ? 0.1 : 0;
        // At the high rate a call often ends without a definite answer and is repeated while its
        // first commit is still on its way.
        faults.table.lateCommit = rng_.chance(0.5) ? (rng_.chance(0.5) ? 0.7 : 0.15) : 0;
        if (rng_.chance(0.3))
            faults.partitionedZones.insert("z" + std::to_string(rng_.below(3)));
        network_.platform().setFaults(faults);
        network_.faults().loss = rng_.chance(0.5) ? rng_.uniform() * 0.3 : 0;
        network_.faults().duplicate = rng_.chance(0.5) ? 0.2 : 0;
        network_.faults().late = rng_.chance(0.5) ? 0.05 : 0;
        network_.faults().maxDelay = std::chrono::milliseconds(2 + rng_.below(400));
        if (rng_.chance(0.4)) {
            const std::string zone = "z" + std::to_string(rng_.below(3));
            network_.setCut([zone](const auto &from, const auto &to) {
                return (from.identity.zone == zone) != (to.identity.zone == zone);
            });
        } else {
            network_.setCut({});
        }
        const std::string victim = anyDaemon();
        if (rng_.chance(0.4)) {
            log("restart " + victim);
            network_.start(victim, network_.daemon(victim).identity.zone);
            network_.publishList();
        } else if (rng_.chance(0.4)) {
            network_.freeze(victim, std::chrono::milliseconds(rng_.below(8000)));
        }
        if (rng_.chance(0.1))
            restartAll();
        log(std::string("table ") + (faults.table.down ? "down" : "up"));
    }

    void restartAll()
    {
        log("restart of all");
        for (auto &[id, daemon] : network_.daemons())
            network_.start(id, std::string(daemon.identity.zone));
        network_.publishList();
    }

    void heal()
    {
        network_.platform().setFaults({});
        network_.faults() = {};
        network_.faults().loss = 0.05;
        network_.setCut({});
    }

    std::string anyDaemon() { return "e" + std::to_string(rng_.below(network_.daemons().size())); }

    // Up to three operators at a time, each on some entry instance.
    bool operate()
    {
        constexpr std::size_t kOperators = 3;
        if (pending_.size() < kOperators && rng_.chance(0.02))
            beginCall();
        for (auto call = pending_.begin(); call != pending_.end();) {
            if (call->next <= network_.now() && !tryCall(*call))
                call = pending_.erase(call);
            else
                ++call;
        }
        return violation_.empty();
    }

    void beginCall()
    {
        PendingCall call;
        call.zone = zoneOf(rng_.below(3));
        call.next = network_.now();
        const auto head = network_.store(call.zone).headVersion();
        if (!head)
            return;
        const std::string id = "op" + std::to_string(++calls_);
        call.request.set_request_id(id);
        call.request.set_expected_version(head.value());
        const std::uint64_t first = rng_.below(kItems);
        for (std::uint64_t i = 0; i <= rng_.below(2); ++i) {
            v1::ConfigItem &item = *call.request.add_items();
            item.set_name("team/" + std::to_string((first + i) % kItems));
            if (rng_.chance(0.15)) {
                item.set_deleted(true);
                continue;
            }
            item.mutable_team()->set_weight(1 + static_cast<std::uint32_t>(rng_.below(1000)));
            item.mutable_team()->set_quota_cpu_millis(static_cast<std::uint32_t>(calls_));
        }
        pending_.push_back(call);
    }

    // True if the call must be repeated.
    bool tryCall(PendingCall &call)
    {
        const std::string &id = call.request.request_id();
        const auto answer = network_.store(call.zone).put(call.request, id);
        if (answer) {
            log(id + " accepted as version " + std::to_string(answer.value().version()));
            accepted_.emplace_back(id, answer.value());
            return false;
        }
        const base::Code code = answer.error().code;
        if (code == base::Code::ConfigVersionConflict) {
            log(id + " refused as a conflict");
            refused_.insert(id);
            return false;
        }
        if (code != base::Code::PlatformUnavailable && code != base::Code::PlatformUnknownOutcome
            && code != base::Code::NotFound)
            fail(id + " got an unexpected error: " + answer.error().message);
        call.next = network_.now()
                    + std::chrono::milliseconds(rng_.below(rng_.chance(0.5) ? 50 : 1500));
        return --call.triesLeft > 0;
    }

    // A daemon never holds a version that the head has not reached.
    bool checkLost()
    {
        for (const auto &[id, daemon] : network_.daemons()) {
            if (daemon.isUp && daemon.agent->config().version() > 0
                && !applied_.contains(id + "@" + std::to_string(base::toMillis(daemon.startedAt))))
                fail(id + " has a version in force that it did not report");
        }
        return violation_.empty();
    }

    void checkInForce()
    {
        if (!violation_.empty())
            return;
        pending_.clear();
        // Delayed commits of the fault phases may still arrive with later calls.
        std::optional<v1::ConfigChange> change;
        for (int i = 0; i < 50 && !change; ++i) {
            network_.run(100ms);
            v1::PutConfigRequest request;
            request.set_request_id("final" + std::to_string(i));
            request.set_expected_version(network_.store("z0").headVersion().value());
            v1::ConfigItem &item = *request.add_items();
            item.set_name("team/final");
            item.mutable_team()->set_weight(1);
            const auto answer = network_.store("z0").put(request, "final");
            if (answer)
                change = answer.value();
        }
        if (!change) {
            fail("no change was accepted after the faults ended");
            return;
        }
        const auto took = network_.runUntil(kInForceBound, [&] {
            for (const auto &[id, daemon] : network_.daemons()) {
                if (daemon.agent->config().version() < change->version())
                    return false;
            }
            return true;
        });
        if (took)
            return;
        for (const auto &[id, daemon] : network_.daemons())
            log(id + " has version " + std::to_string(daemon.agent->config().version()));
        fail("version " + std::to_string(change->version()) + " is not in force everywhere after "
             + std::to_string(kInForceBound / 1s) + " s");
    }

    // The table's history decides what was accepted and what each version holds.
    void checkHistory()
    {
        if (!violation_.empty())
            return;
        const auto store = network_.store("z0");
        const std::uint64_t head = store.headVersion().value();
        std::map<std::string, v1::ConfigItem> items;
        std::map<std::uint64_t, std::string> authors;
        platform::Table table(platform::MemoryAccess{sharedPlatform(), "z0"});
        const std::vector<platform::Row> rows = table.scanAll("config/history/", 100'000).value();
        for (const platform::Row &row : rows) {
            v1::ConfigChange change;
            change.ParseFromString(row.value);
            authors[change.version()] = change.author();
            for (const v1::ConfigItem &item : change.after())
                items[item.name()] = item;
            std::vector<v1::ConfigItem> live;
            for (const auto &[name, item] : items)
                live.push_back(item);
            const auto held = contents_.find(change.version());
            if (held != contents_.end() && held->second != contentOf(live))
                fail("version " + std::to_string(change.version()) + " is " + contentOf(live)
                     + "in the table and " + held->second + "in a daemon");
        }
        if (authors.size() != head)
            fail("the history has " + std::to_string(authors.size()) + " versions, the head is "
                 + std::to_string(head));
        for (const auto &[id, change] : accepted_) {
            if (authors[change.version()] != id)
                fail(id + " was accepted as version " + std::to_string(change.version())
                     + ", which is by '" + authors[change.version()] + "'");
        }
        for (const auto &[version, author] : authors) {
            if (refused_.contains(author))
                fail(author + " was refused as a conflict, but is version "
                     + std::to_string(version));
        }
    }

    std::shared_ptr<platform::MemoryPlatform> sharedPlatform()
    {
        return {std::shared_ptr<void>(), &network_.platform()};
    }

    evidence::PeerNetwork network_;
    base::Rng rng_;
    std::vector<std::string> trace_;
    std::string violation_;
    std::map<std::string, std::uint64_t> applied_;
    std::map<std::uint64_t, std::string> contents_;
    std::vector<PendingCall> pending_;
    std::vector<std::pair<std::string, v1::ConfigChange>> accepted_;
    std::set<std::string> refused_;
    int calls_ = 0;
};

const Registration kRegistration(
        {.name = "config-monotonic",
         .description = "accepted configuration versions are durable, never revert, hold the same "
                        "content everywhere and are in force within 5 s",
         .defaultRuns = 300,
         .run = [](std::uint64_t seed) { return ConfigRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
