#include "evidence/prove/fleet_world.h"
#include "evidence/prove/proof.h"

#include <algorithm>

namespace chicorywick::prove {

namespace {

constexpr int kWaves = 2;
constexpr int kMaxDrivers = 3;
constexpr int kCallsWithFaults = 6000;
constexpr int kMaxCalls = 60'000;

/// @brief One run: drivers that are killed at any call and replaced carry out waves.
class WavesResumeRun
{
public:
    explicit WavesResumeRun(std::uint64_t seed)
        : world_(seed)
    {}

    std::string run();

private:
    void setUp();
    void chaos();
    void steer();
    void heal();
    bool turn();
    bool hasEnded() const;
    std::string follow(const FleetRows &rows);
    std::string checkReboots(const std::string &id,
                             const platform::ActualInstanceState &truth) const;
    std::string checkEnd();
    std::string checkWave(const std::string &id, const v1::WaveRow &wave) const;

    FleetWorld world_;
    std::vector<std::unique_ptr<SteppedThread>> drivers_;
    std::vector<base::TimePoint> frozenUntil_;
    std::set<std::string> broken_;
    /// Instances that a wave started, and how often each was finished.
    std::set<std::pair<std::string, std::string>> started_;
    std::map<std::string, std::uint64_t> finished_;
    FleetRows last_;
    int instances_ = 0;
    bool mayAbort_ = false;
    double killChance_ = 0;
};

void WavesResumeRun::setUp()
{
    base::Rng &rng = world_.rng();
    v1::Budget budget;
    budget.set_max_unavailable(static_cast<std::uint32_t>(1 + rng.below(5)));
    world_.createPool("p", budget);
    instances_ = static_cast<int>(4 + rng.below(12));
    killChance_ = rng.uniform() * 0.05;
    mayAbort_ = rng.chance(0.2);
    for (int i = 0; i < instances_; ++i) {
        const std::string id = "i" + std::to_string(i);
        world_.addInstance(id, "p", "z" + std::to_string(i % 2), "r" + std::to_string(i % 4));
        // Held instances keep their grants, so at most one fits every budget with room to go on.
        if (budget.max_unavailable() > 1 && broken_.empty() && rng.chance(0.1)) {
            broken_.insert(id);
            world_.platform().setRebootFails(id, true);
        }
    }
    world_.advance(std::chrono::seconds(5));
    for (int i = 0; i < kWaves; ++i)
        world_.createWave("w" + std::to_string(i), "p");
    for (std::uint64_t i = 0; i < 1 + rng.below(kMaxDrivers); ++i)
        drivers_.push_back(world_.makeDriver());
    frozenUntil_.resize(drivers_.size());
    last_ = world_.rows();
}

void WavesResumeRun::steer()
{
    v1::WaveRequest request;
    request.set_request_id(world_.newRequestId());
    request.set_id("w" + std::to_string(world_.rng().below(kWaves)));
    const bool isAbort = mayAbort_ && world_.rng().chance(0.1);
    const char *method = world_.rng().chance(0.3) ? "PauseWave" : "ResumeWave";
    world_.setUp("WaveService", isAbort ? "AbortWave" : method, request);
}

void WavesResumeRun::chaos()
{
    base::Rng &rng = world_.rng();
    if (rng.chance(0.01))
        world_.platform().setFaults(rng.chance(0.5) ? platform::FaultPlan() : world_.drawFaults());
    const std::size_t driver = rng.below(drivers_.size());
    if (rng.chance(killChance_)) {
        world_.note("a driver is killed and replaced");
        drivers_[driver] = world_.makeDriver();
    }
    if (rng.chance(0.005))
        frozenUntil_[driver] = world_.now() + std::chrono::seconds(rng.below(90));
    if (rng.chance(0.003))
        steer();
}

// Instances that were held under faults keep their grants, so the budget must grow for the rest.
void WavesResumeRun::heal()
{
    constexpr std::uint32_t kAllPercent = 100;
    world_.platform().setFaults({});
    v1::UpdatePoolRequest request;
    request.set_request_id(world_.newRequestId());
    request.set_name("p");
    request.mutable_budget()->set_max_unavailable_percent(kAllPercent);
    world_.setUp("FleetService", "UpdatePool", request);
}

bool WavesResumeRun::turn()
{
    base::Rng &rng = world_.rng();
    if (rng.chance(0.3))
        world_.advance(std::chrono::milliseconds(1 + rng.below(500)));
    const std::size_t driver = rng.below(drivers_.size());
    if (frozenUntil_[driver] > world_.now())
        return false;
    drivers_[driver]->resume();
    return true;
}

bool WavesResumeRun::hasEnded() const
{
    return std::all_of(last_.waves.begin(), last_.waves.end(),
                       [](const auto &entry) { return entry.second.ended_at_ms() != 0; });
}

// A wave starts each instance once, and what it reports as rebooted has left "verifying".
std::string WavesResumeRun::follow(const FleetRows &rows)
{
    for (const std::string &change : describeChanges(last_, rows))
        world_.note(change);
    for (const auto &[id, row] : rows.instances) {
        const v1::InstanceRow &old = last_.instances.at(id);
        if (old.state() == v1::MAINTENANCE_STATE_IN_SERVICE
            && row.state() == v1::MAINTENANCE_STATE_CORDONED
            && !started_.emplace(row.wave(), id).second)
            return row.wave() + " started " + id + " a second time";
        if (old.state() == v1::MAINTENANCE_STATE_VERIFYING
            && row.state() == v1::MAINTENANCE_STATE_IN_SERVICE)
            ++finished_[id];
    }
    last_ = rows;
    return {};
}

// A held instance may have been rebooted once more than it was finished.
std::string WavesResumeRun::checkReboots(const std::string &id,
                                         const platform::ActualInstanceState &truth) const
{
    const auto found = finished_.find(id);
    const std::uint64_t finished = found == finished_.end() ? 0 : found->second;
    const bool isHeld = last_.instances.at(id).state() == v1::MAINTENANCE_STATE_HELD;
    if (truth.rebootOrders == finished || (isHeld && truth.rebootOrders == finished + 1))
        return {};
    return id + " was rebooted " + std::to_string(truth.rebootOrders) + " times, and "
           + std::to_string(finished) + " times according to the waves";
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
        if (last_.instances.at(held).state() != v1::MAINTENANCE_STATE_HELD)
            return "a wave reports " + held + " as held, which is not";
    }
    return {};
}

std::string WavesResumeRun::checkEnd()
{
    std::uint64_t done = 0;
    std::set<std::string> reported;
    for (const auto &[id, wave] : last_.waves) {
        const std::string violation = checkWave(id, wave);
        if (!violation.empty())
            return violation;
        done += wave.done();
        reported.insert(wave.held().begin(), wave.held().end());
    }
    std::uint64_t finished = 0;
    for (const auto &[id, truth] : world_.platform().actualInstanceStates()) {
        const v1::InstanceRow &row = last_.instances.at(id);
        const bool isHeld = row.state() == v1::MAINTENANCE_STATE_HELD;
        if (isHeld && !reported.contains(id))
            return id + " is held and no wave reports it";
        if (!isHeld && row.state() != v1::MAINTENANCE_STATE_IN_SERVICE)
            return id + " was left " + v1::MaintenanceState_Name(row.state());
        if (!isHeld && truth.status.phase != platform::InstancePhase::Up)
            return id + " is in service by its row and not up";
        const std::string violation = checkReboots(id, truth);
        if (!violation.empty())
            return violation;
        finished += finished_[id];
    }
    if (finished != done)
        return "the waves report " + std::to_string(done) + " reboots, the instances "
               + std::to_string(finished);
    if (static_cast<std::size_t>(last_.pools.at("p").grants_size()) != reported.size())
        return "a grant was left behind";
    return {};
}

std::string WavesResumeRun::run()
{
    constexpr int kResumeInterval = 500;
    setUp();
    std::string violation;
    for (int i = 0; i < kMaxCalls && violation.empty() && !hasEnded(); ++i) {
        if (i < kCallsWithFaults)
            chaos();
        if (i == kCallsWithFaults)
            heal();
        // Waves that were paused, or halted by failures under faults, go on in the end.
        if (i > kCallsWithFaults && i % kResumeInterval == 0) {
            mayAbort_ = false;
            steer();
        }
        if (!turn())
            continue;
        violation = follow(world_.rows());
    }
    world_.platform().setFaults({});
    if (violation.empty())
        violation = hasEnded() ? checkEnd() : "a wave did not end";
    return violation.empty() ? violation : violation + "\n" + world_.trace();
}

const Registration kWavesResume(
        {.name = "waves-resume",
         .description =
                 "waves end, and reboot each instance once, though drivers are killed at any "
                 "call, frozen and replaced",
         .defaultRuns = 100,
         .run = [](std::uint64_t seed) { return WavesResumeRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
