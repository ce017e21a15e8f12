#include "evidence/prove/proof.h"
#include "evidence/prove/simulated_fleet.h"

#include <algorithm>

namespace chicorywick::prove {

namespace {

constexpr int kWaves = 2;
constexpr int kMaxDrivers = 3;
constexpr int kCallsWithFaults = 6000;
constexpr int kMaxCalls = 60'000;

/// @brief One run of waves by drivers that are killed at any call and replaced. Guards against
/// waves that never end, skip an instance or reboot it twice after a driver loses its state.
class WavesResumeRun
{
public:
    explicit WavesResumeRun(std::uint64_t seed)
        : fleet_(seed)
    {}

    std::string run();

private:
    void setUp();
    void injectFaults();
    void pauseResumeOrAbortWave();
    void heal();
    bool step();
    bool hasEnded() const;
    std::string recordChanges(const FleetRows &rows);
    std::string checkReboots(const std::string &id,
                             const platform::ActualInstanceState &actual) const;
    std::string checkEnd();
    std::string checkWave(const std::string &id, const v1::WaveRow &wave) const;

    SimulatedFleet fleet_;
    std::vector<std::unique_ptr<SteppedThread>> drivers_;
    std::vector<base::TimePoint> frozenUntil_;
    std::set<std::string> failingReboots_;
    /// Pairs of wave and instance whose maintenance has started.
    std::set<std::pair<std::string, std::string>> started_;
    /// Number of completed maintenances by instance.
    std::map<std::string, std::uint64_t> finished_;
    FleetRows lastRows_;
    int instances_ = 0;
    bool mayAbort_ = false;
    double killProbability_ = 0;
};

void WavesResumeRun::setUp()
{
    base::Rng &rng = fleet_.rng();
    v1::Budget budget;
    budget.set_max_unavailable(static_cast<std::uint32_t>(1 + rng.below(5)));
    fleet_.createPool("p", budget);
    instances_ = static_cast<int>(4 + rng.below(12));
    killProbability_ = rng.uniform() * 0.05;
    mayAbort_ = rng.chance(0.2);
    for (int i = 0; i < instances_; ++i) {
        const std::string id = "i" + std::to_string(i);
        fleet_.addInstance(id, "p", "z" + std::to_string(i % 2), "r" + std::to_string(i % 4));
        // A held instance keeps its grant, so only one instance may fail to reboot and only if the
        // budget leaves room for others.
        if (budget.max_unavailable() > 1 && failingReboots_.empty() && rng.chance(0.1)) {
            failingReboots_.insert(id);
            fleet_.platform().setRebootFails(id, true);
        }
    }
    fleet_.advance(std::chrono::seconds(5));
    for (int i = 0; i < kWaves; ++i)
        fleet_.createWave("w" + std::to_string(i), "p");
    for (std::uint64_t i = 0; i < 1 + rng.below(kMaxDrivers); ++i)
        drivers_.push_back(fleet_.makeDriver());
    frozenUntil_.resize(drivers_.size());
    lastRows_ = fleet_.rows();
}

void WavesResumeRun::pauseResumeOrAbortWave()
{
    v1::WaveRequest request;
    request.set_request_id(fleet_.newRequestId());
    request.set_id("w" + std::to_string(fleet_.rng().below(kWaves)));
    const bool isAbort = mayAbort_ && fleet_.rng().chance(0.1);
    const char *method = fleet_.rng().chance(0.3) ? "PauseWave" : "ResumeWave";
    fleet_.setUp("WaveService", isAbort ? "AbortWave" : method, request);
}

void WavesResumeRun::injectFaults()
{
    base::Rng &rng = fleet_.rng();
    if (rng.chance(0.01))
        fleet_.platform().setFaults(rng.chance(0.5) ? platform::FaultPlan() : fleet_.drawFaults());
    const std::size_t driver = rng.below(drivers_.size());
    if (rng.chance(killProbability_)) {
        fleet_.addTraceLine("driver killed and replaced");
        drivers_[driver] = fleet_.makeDriver();
    }
    if (rng.chance(0.005))
        frozenUntil_[driver] = fleet_.now() + std::chrono::seconds(rng.below(90));
    if (rng.chance(0.003))
        pauseResumeOrAbortWave();
}

// Instances that were held under faults keep their grants, so the budget is raised for the rest.
void WavesResumeRun::heal()
{
    constexpr std::uint32_t kHundredPercent = 100;
    fleet_.platform().setFaults({});
    v1::UpdatePoolRequest request;
    request.set_request_id(fleet_.newRequestId());
    request.set_name("p");
    request.mutable_budget()->set_max_unavailable_percent(kHundredPercent);
    fleet_.setUp("FleetService", "UpdatePool", request);
}

bool WavesResumeRun::step()
{
    base::Rng &rng = fleet_.rng();
    if (rng.chance(0.3))
        fleet_.advance(std::chrono::milliseconds(1 + rng.below(500)));
    const std::size_t driver = rng.below(drivers_.size());
    if (frozenUntil_[driver] > fleet_.now())
        return false;
    drivers_[driver]->resume();
    return true;
}

bool WavesResumeRun::hasEnded() const
{
    return std::all_of(lastRows_.waves.begin(), lastRows_.waves.end(),
                       [](const auto &entry) { return entry.second.ended_at_ms() != 0; });
}

// Checks that a wave starts each instance at most once, and counts an instance as finished when it
// returns from "verifying" to service.
std::string WavesResumeRun::recordChanges(const FleetRows &rows)
{
    for (const std::string &change : describeChanges(lastRows_, rows))
        fleet_.addTraceLine(change);
    for (const auto &[id, row] : rows.instances) {
        const v1::InstanceRow &old = lastRows_.instances.at(id);
        if (old.state() == v1::MAINTENANCE_STATE_IN_SERVICE
            && row.state() == v1::MAINTENANCE_STATE_CORDONED
            && !started_.emplace(row.wave(), id).second)
            return row.wave() + " started " + id + " a second time";
        if (old.state() == v1::MAINTENANCE_STATE_VERIFYING
            && row.state() == v1::MAINTENANCE_STATE_IN_SERVICE)
            ++finished_[id];
    }
    lastRows_ = rows;
    return {};
}

// A held instance may have one more reboot than completed maintenances.
std::string WavesResumeRun::checkReboots(const std::string &id,
                                         const platform::ActualInstanceState &actual) const
{
    const auto found = finished_.find(id);
    const std::uint64_t finished = found == finished_.end() ? 0 : found->second;
    const bool isHeld = lastRows_.instances.at(id).state() == v1::MAINTENANCE_STATE_HELD;
    if (actual.rebootOrders == finished || (isHeld && actual.rebootOrders == finished + 1))
        return {};
    return id + " was rebooted " + std::to_string(actual.rebootOrders)
           + " times, but its maintenance completed " + std::to_string(finished) + " times";
}

std::string WavesResumeRun::checkWave(const std::string &id, const v1::WaveRow &wave) const
{
    const std::uint32_t accounted =
            wave.done() + wave.skipped_count() + static_cast<std::uint32_t>(wave.held_size());
    if (wave.state() == v1::WAVE_STATE_COMPLETED && accounted != wave.total())
        return id + " accounts for " + std::to_string(accounted) + " of "
               + std::to_string(wave.total()) + " instances";
    if (wave.active_size() != 0)
        return id + " ended with an instance under maintenance";
    for (const std::string &held : wave.held()) {
        if (lastRows_.instances.at(held).state() != v1::MAINTENANCE_STATE_HELD)
            return "a wave reports " + held + " as held, but its row is not held";
    }
    return {};
}

std::string WavesResumeRun::checkEnd()
{
    std::uint64_t done = 0;
    std::set<std::string> reported;
    for (const auto &[id, wave] : lastRows_.waves) {
        const std::string violation = checkWave(id, wave);
        if (!violation.empty())
            return violation;
        done += wave.done();
        reported.insert(wave.held().begin(), wave.held().end());
    }
    std::uint64_t finished = 0;
    for (const auto &[id, actual] : fleet_.platform().actualInstanceStates()) {
        const v1::InstanceRow &row = lastRows_.instances.at(id);
        const bool isHeld = row.state() == v1::MAINTENANCE_STATE_HELD;
        if (isHeld && !reported.contains(id))
            return id + " is held, but no wave reports it";
        if (!isHeld && row.state() != v1::MAINTENANCE_STATE_IN_SERVICE)
            return id + " remained " + v1::MaintenanceState_Name(row.state());
        if (!isHeld && actual.status.phase != platform::InstancePhase::Up)
            return id + " is in service according to its row, but not up";
        const std::string violation = checkReboots(id, actual);
        if (!violation.empty())
            return violation;
        finished += finished_[id];
    }
    if (finished != done)
        return "the waves report " + std::to_string(done) + " reboots, the instance rows "
               + std::to_string(finished);
    if (static_cast<std::size_t>(lastRows_.pools.at("p").grants_size()) != reported.size())
        return "a grant was not released";
    return {};
}

std::string WavesResumeRun::run()
{
    constexpr int kResumeInterval = 500;
    setUp();
    std::string violation;
    for (int i = 0; i < kMaxCalls && violation.empty() && !hasEnded(); ++i) {
        if (i < kCallsWithFaults)
            injectFaults();
        if (i == kCallsWithFaults)
            heal();
        // Resumes waves that were paused or halted by failures under faults.
        if (i > kCallsWithFaults && i % kResumeInterval == 0) {
            mayAbort_ = false;
            pauseResumeOrAbortWave();
        }
        if (!step())
            continue;
        violation = recordChanges(fleet_.rows());
    }
    fleet_.platform().setFaults({});
    if (violation.empty())
        violation = hasEnded() ? checkEnd() : "a wave did not end";
    return violation.empty() ? violation : violation + "\n" + fleet_.trace();
}

const Registration kWavesResume(
        {.name = "waves-resume",
         .description = "waves end and reboot each instance once even if drivers are killed at any "
                        "call, frozen or replaced",
         .defaultRuns = 100,
         .run = [](std::uint64_t seed) { return WavesResumeRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
