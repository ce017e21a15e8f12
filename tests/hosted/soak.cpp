#include "soak.h"

#include "hosted_deployment.h"

#include <chicorywick/base/rng.h>

#include <csignal>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int kDaemons = 3;
constexpr int kRunners = 4;
constexpr auto kStep = 200ms;
// Longest outage of a daemon, a runner or the store. It exceeds the 6 s leases, so that some
// expire.
constexpr std::uint64_t kMaxFaultMs = 7'000;
// All accepted jobs have to complete within this time after the last fault.
constexpr auto kSettleTime = 60s;

// A fault in effect and the action that ends it.
struct ActiveFault
{
    Clock::time_point until;
    std::function<void()> end;
};

class Soak
{
public:
    explicit Soak(std::uint64_t seed)
        : rng_(seed)
        , deployment_(kDaemons, kRunners, seed)
        , isDown_(kDaemons, false)
    {}

    SoakReport run(std::chrono::seconds duration)
    {
        if (!deployment_.waitUntilReady())
            report_.violations.emplace_back("the daemons did not become ready after the start");
        const auto end = Clock::now() + duration;
        while (Clock::now() < end) {
            endFaults(false);
            if (rng_.chance(0.12))
                injectFault();
            submitJob();
            std::this_thread::sleep_for(kStep);
        }
        endFaults(true);
        awaitCompletion();
        for (std::string &violation : deployment_.violations())
            report_.violations.push_back(std::move(violation));
        return report_;
    }

private:
    void submitJob()
    {
        const int daemon = static_cast<int>(rng_.below(kDaemons));
        const std::string id = "job" + std::to_string(submitted_++);
        if (isDown_[static_cast<std::size_t>(daemon)] || deployment_.submit(daemon, id) != 200)
            return;
        ++report_.accepted;
        accepted_.push_back(id);
    }

    void injectFault()
    {
        ++report_.faults;
        const auto until = Clock::now() + std::chrono::milliseconds(rng_.below(kMaxFaultMs));
        const int daemon = static_cast<int>(rng_.below(kDaemons));
        const int runner = static_cast<int>(rng_.below(kRunners));
        switch (rng_.below(5)) {
        case 0:
            return terminateDaemon(daemon, SIGKILL, until);
        case 1:
            return terminateDaemon(daemon, SIGTERM, until);
        case 2:
            return pauseDaemon(daemon, until);
        case 3:
            deployment_.setStoreFaults(
                    {.isDown = rng_.chance(0.5), .responseLossProbability = 0.2});
            activeFaults_.push_back({until, [this] { deployment_.setStoreFaults({}); }});
            return;
        default:
            deployment_.setRunnerUnresponsive(runner, true);
            activeFaults_.push_back(
                    {until, [this, runner] { deployment_.setRunnerUnresponsive(runner, false); }});
        }
    }

    void terminateDaemon(int daemon, int signal, Clock::time_point until)
    {
        if (isDown_[static_cast<std::size_t>(daemon)])
            return;
        isDown_[static_cast<std::size_t>(daemon)] = true;
        deployment_.daemon(daemon).signal(signal);
        activeFaults_.push_back({until, [this, daemon] {
                                     deployment_.daemon(daemon).waitForExit(10s);
                                     deployment_.startDaemon(daemon);
                                     isDown_[static_cast<std::size_t>(daemon)] = false;
                                 }});
    }

    void pauseDaemon(int daemon, Clock::time_point until)
    {
        if (isDown_[static_cast<std::size_t>(daemon)])
            return;
        isDown_[static_cast<std::size_t>(daemon)] = true;
        deployment_.daemon(daemon).signal(SIGSTOP);
        activeFaults_.push_back({until, [this, daemon] {
                                     deployment_.daemon(daemon).signal(SIGCONT);
                                     isDown_[static_cast<std::size_t>(daemon)] = false;
                                 }});
    }

    void endFaults(bool all)
    {
        std::vector<ActiveFault> ending;
        std::erase_if(activeFaults_, [&](const ActiveFault &fault) {
            const bool isOver = all || fault.until <= Clock::now();
            if (isOver)
                ending.push_back(fault);
            return isOver;
        });
        for (const ActiveFault &fault : ending)
            fault.end();
    }

    void awaitCompletion()
    {
        if (!deployment_.waitUntilReady())
            report_.violations.emplace_back("the daemons did not become ready after the faults");
        const auto limit = Clock::now() + kSettleTime;
        for (const std::string &id : accepted_) {
            std::optional<std::string> state;
            while (state != "completed" && Clock::now() < limit) {
                state = deployment_.stateOf(static_cast<int>(rng_.below(kDaemons)), id);
                if (state != "completed")
                    std::this_thread::sleep_for(kStep);
            }
            if (state != "completed")
                report_.violations.push_back(id + " is " + state.value_or("unknown")
                                             + " after the faults");
        }
    }

    base::Rng rng_;
    HostedDeployment deployment_;
    SoakReport report_;
    std::vector<std::string> accepted_;
    std::vector<bool> isDown_;
    std::vector<ActiveFault> activeFaults_;
    int submitted_ = 0;
};

} // namespace

SoakReport runSoak(std::uint64_t seed, std::chrono::seconds duration)
{
    return Soak(seed).run(duration);
}

} // namespace chicorywick::hosted
