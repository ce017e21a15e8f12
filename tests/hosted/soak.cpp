#include "soak.h"

#include "configuration_soak.h"
#include "hosted_deployment.h"

#include <chicorywick/base/rng.h>

#include <algorithm>
#include <csignal>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int kDaemons = 3;
constexpr int kRunners = 4;
constexpr int kMachinesInOneCell = 280;
constexpr int kMachinesPerCell = 2;
constexpr const char *kApiKey = "soak";
constexpr auto kStep = 200ms;
// Longest outage of a daemon, a runner or the store. It exceeds the 6 s leases, so that some
// expire.
constexpr std::uint64_t kMaxFaultMs = 7'000;
// All accepted jobs have to end within this time after the last fault.
constexpr auto kSettleTime = 60s;

// A fault in effect and the action that ends it.
struct ActiveFault
{
    Clock::time_point until;
    std::function<void()> end;
};

struct AcceptedJob
{
    std::string id;
    const char *expectedState;
};

class Soak
{
public:
    explicit Soak(const SoakPlan &plan)
        : plan_(plan)
        , rng_(plan.seed)
        , crashingRng_(plan.seed)
        , deployment_(kDaemons, kRunners, plan.seed,
                      plan.accountLimit > 0 ? kMachinesPerCell : kMachinesInOneCell)
        , isDown_(kDaemons, false)
    {
        for (int job = 0; job < plan.crashingJobs; ++job)
            crashingJobsDue_.emplace_back(
                    crashingRng_.below(static_cast<std::uint64_t>(plan.duration / 1ms * 3 / 4)));
        std::ranges::sort(crashingJobsDue_);
        if (plan.accountLimit > 0)
            configureAccount();
        if (plan.changesConfigurations)
            configurations_ = std::make_unique<ConfigurationSoak>(deployment_, plan.seed);
    }

    SoakReport run()
    {
        if (!deployment_.waitUntilReady())
            report_.violations.emplace_back("the daemons did not become ready after the start");
        const auto start = Clock::now();
        const auto end = start + plan_.duration;
        while (Clock::now() < end) {
            endFaults(false);
            if (rng_.chance(0.12))
                injectFault();
            submitJob();
            submitLimitedJobs();
            submitCrashingJob(Clock::now() - start);
            if (configurations_)
                configurations_->step(isDown_);
            std::this_thread::sleep_for(kStep);
        }
        endFaults(true);
        if (configurations_)
            finishConfigurations();
        awaitCompletion();
        report_.crashes = deployment_.crashes();
        for (std::string &violation : deployment_.violations())
            report_.violations.push_back(std::move(violation));
        return report_;
    }

private:
    // The route also serves the jobs without an account.
    void configureAccount()
    {
        constexpr int kCpuPerTask = 1'000;
        deployment_.setMaxLimitedTasks(plan_.accountLimit);
        deployment_.configure(
                R"({"version":2,"routes":[{"name":"r","host":"work.example","path_prefix":"/q/",)"
                R"("service":"s","max_attempts":2,"stretch":1.6,"target_completion_ms":600,)"
                R"("allow_anonymous":true}],"services":[{"name":"s"}],"limits":{},)"
                R"("tenants":[{"name":"a","api_keys":[")"
                + std::string(kApiKey) + R"("],"weight":5,"cap":{"cpu":)"
                + std::to_string(plan_.accountLimit * kCpuPerTask) + "}}]}");
    }

    // Asks for more than the limit of the account allows.
    void submitLimitedJobs()
    {
        constexpr int kJobsPerStep = 2;
        for (int job = 0; plan_.accountLimit > 0 && job < kJobsPerStep; ++job) {
            const int daemon = static_cast<int>(accountRng_.below(kDaemons));
            const std::string id = kLimitedPrefix + std::to_string(submittedLimited_++);
            if (isDown_[static_cast<std::size_t>(daemon)]
                || deployment_.submitWithKey(daemon, id, kApiKey) != 200)
                continue;
            ++report_.acceptedLimited;
            accepted_.push_back({.id = id, .expectedState = "completed"});
        }
    }

    void finishConfigurations()
    {
        configurations_->restoreLinks();
        if (!deployment_.waitUntilReady())
            report_.violations.emplace_back("the daemons did not become ready after the faults");
        configurations_->awaitNewest();
        report_.configurations = configurations_->stored();
        for (const std::string &violation : configurations_->violations())
            report_.violations.push_back(violation);
    }

    void submitJob()
    {
        const int daemon = static_cast<int>(rng_.below(kDaemons));
        const std::string id = "job" + std::to_string(submitted_++);
        if (isDown_[static_cast<std::size_t>(daemon)] || deployment_.submit(daemon, id) != 200)
            return;
        ++report_.accepted;
        accepted_.push_back({.id = id, .expectedState = "completed"});
    }

    // A job that was not accepted is due again at the next step.
    void submitCrashingJob(Clock::duration elapsed)
    {
        const auto next = static_cast<std::size_t>(report_.acceptedCrashing);
        if (next >= crashingJobsDue_.size() || crashingJobsDue_[next] > elapsed)
            return;
        const int daemon = static_cast<int>(crashingRng_.below(kDaemons));
        const std::string id = "crashing" + std::to_string(next);
        if (isDown_[static_cast<std::size_t>(daemon)]
            || deployment_.submitCrashing(daemon, id) != 200)
            return;
        ++report_.acceptedCrashing;
        accepted_.push_back({.id = id, .expectedState = "failed"});
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
                                     restartDaemon(daemon);
                                     isDown_[static_cast<std::size_t>(daemon)] = false;
                                 }});
    }

    void restartDaemon(int daemon)
    {
        if (!configurations_)
            return deployment_.startDaemon(daemon);
        configurations_->forget(daemon);
        deployment_.startDaemon(daemon, configurations_->settings(daemon));
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
        for (const AcceptedJob &job : accepted_) {
            std::optional<std::string> state;
            // Asks at least once, so that the report names the state of every job.
            do {
                state = deployment_.stateOf(static_cast<int>(rng_.below(kDaemons)), job.id);
                if (!isFinal(state))
                    std::this_thread::sleep_for(kStep);
            } while (!isFinal(state) && Clock::now() < limit);
            if (state != job.expectedState)
                report_.violations.push_back(job.id + " is " + state.value_or("unknown")
                                             + " after the faults instead of " + job.expectedState);
        }
    }

    static bool isFinal(const std::optional<std::string> &state)
    {
        return state == "completed" || state == "failed";
    }

    SoakPlan plan_;
    base::Rng rng_;
    base::Rng crashingRng_; ///< separate, so that the faults of a seed do not depend on these jobs
    std::vector<std::chrono::milliseconds> crashingJobsDue_; ///< since the start of the faults
    HostedDeployment deployment_;
    SoakReport report_;
    std::vector<AcceptedJob> accepted_;
    std::vector<bool> isDown_;
    std::vector<ActiveFault> activeFaults_;
    int submitted_ = 0;
    int submittedLimited_ = 0;
    base::Rng accountRng_{1}; ///< separate, like crashingRng_
    std::unique_ptr<ConfigurationSoak> configurations_;
};

} // namespace

SoakReport runSoak(const SoakPlan &plan)
{
    return Soak(plan).run();
}

} // namespace chicorywick::hosted
