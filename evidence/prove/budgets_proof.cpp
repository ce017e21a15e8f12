#include "evidence/prove/budget_audit.h"
#include "evidence/prove/proof.h"

#include <algorithm>

namespace chicorywick::prove {

namespace {

using platform::InstancePhase;

constexpr int kPools = 2;
constexpr int kCalls = 4000;
constexpr int kSettleCalls = 20000;
constexpr std::uint32_t kAllPercent = 100;

/// @brief What a run adds to the ordinary course.
struct Profile
{
    int drivers = 2;
    bool hasFreezes = false;
    bool hasTableFaults = false;
    bool hasFailures = false;
};

/// @brief A driver of the run, with the time from which it may make calls.
struct DriverSlot
{
    std::unique_ptr<SteppedThread> thread;
    base::TimePoint frozenUntil{};
};

/// @brief One run: drivers under faults, correlated failures and operators who change budgets.
class BudgetsRun
{
public:
    explicit BudgetsRun(std::uint64_t seed)
        : world_(seed)
    {}

    std::string run();

private:
    void setUp();
    v1::Budget drawBudget();
    void act();
    void chaos();
    void failDomain();
    void failUnderMaintenance();
    void freeze(DriverSlot &slot);
    void heal();
    std::string settle();
    std::string turn();

    std::string check();

    FleetWorld world_;
    Profile profile_;
    std::vector<DriverSlot> drivers_;
    std::unique_ptr<SteppedThread> operator_;
    FleetRows last_;
    BudgetAudit audit_;
    int instances_ = 0;
    int waves_ = 3;
};

v1::Budget BudgetsRun::drawBudget()
{
    v1::Budget budget;
    if (world_.rng().chance(0.5))
        budget.set_max_unavailable(static_cast<std::uint32_t>(world_.rng().below(5)));
    else
        budget.set_max_unavailable_percent(static_cast<std::uint32_t>(world_.rng().below(50)));
    if (world_.rng().chance(0.3))
        budget.set_max_disrupted_racks(static_cast<std::uint32_t>(1 + world_.rng().below(3)));
    if (world_.rng().chance(0.3))
        budget.set_max_disrupted_zones(static_cast<std::uint32_t>(1 + world_.rng().below(2)));
    return budget;
}

void BudgetsRun::setUp()
{
    base::Rng &rng = world_.rng();
    profile_ = {.drivers = static_cast<int>(1 + rng.below(4)),
                .hasFreezes = rng.chance(0.5),
                .hasTableFaults = rng.chance(0.6),
                .hasFailures = rng.chance(0.7)};
    instances_ = static_cast<int>(8 + rng.below(16));
    for (int i = 0; i < kPools; ++i)
        world_.createPool("p" + std::to_string(i), drawBudget());
    for (int i = 0; i < instances_; ++i)
        world_.addInstance("i" + std::to_string(i), "p" + std::to_string(rng.below(kPools)),
                           "z" + std::to_string(i % 3), "r" + std::to_string(i % 6));
    world_.advance(std::chrono::seconds(1));
    world_.createWave("w0", "p0");
    world_.createWave("w1", "p1");
    // A second wave that shares the budget of the first.
    world_.createWave("w2", "p0");
    drivers_.resize(static_cast<std::size_t>(profile_.drivers));
    for (DriverSlot &slot : drivers_)
        slot.thread = world_.makeDriver();
    operator_ = world_.makeOperator([this] { act(); });
    last_ = world_.rows();
    audit_.observe(world_);
}

// Operators change budgets, move instances and steer waves while the drivers work.
void BudgetsRun::act()
{
    const std::uint64_t kind = world_.rng().below(8);
    if (kind < 3) {
        v1::UpdatePoolRequest request;
        request.set_request_id(world_.newRequestId());
        request.set_name("p" + std::to_string(world_.rng().below(kPools)));
        *request.mutable_budget() = drawBudget();
        world_.call("FleetService", "UpdatePool", request);
        return;
    }
    if (kind < 5) {
        v1::MoveInstanceRequest request;
        request.set_request_id(world_.newRequestId());
        request.set_id("i" + std::to_string(world_.rng().below(instances_)));
        request.set_to_pool("p" + std::to_string(world_.rng().below(kPools)));
        world_.call("FleetService", "MoveInstance", request);
        return;
    }
    if (kind == 5) {
        v1::CreateWaveRequest request;
        request.set_request_id(world_.newRequestId());
        request.set_id("w" + std::to_string(waves_++));
        request.set_pool("p" + std::to_string(world_.rng().below(kPools)));
        world_.call("WaveService", "CreateWave", request);
        return;
    }
    if (kind == 6) {
        v1::ReleaseInstanceRequest request;
        request.set_request_id(world_.newRequestId());
        request.set_id("i" + std::to_string(world_.rng().below(instances_)));
        world_.call("FleetService", "ReleaseInstance", request);
        return;
    }
    v1::WaveRequest request;
    request.set_request_id(world_.newRequestId());
    request.set_id("w" + std::to_string(world_.rng().below(waves_)));
    const char *method = world_.rng().chance(0.2) ? "PauseWave" : "ResumeWave";
    world_.call("WaveService", method, request);
}

void BudgetsRun::failDomain()
{
    const bool isZone = world_.rng().chance(0.3);
    const int domains = isZone ? 3 : 6;
    const int domain = static_cast<int>(world_.rng().below(domains));
    world_.note("failure of " + std::string(isZone ? "zone z" : "rack r") + std::to_string(domain));
    for (int i = domain; i < instances_; i += domains) {
        if (world_.rng().chance(0.8))
            world_.platform().failInstance("i" + std::to_string(i));
    }
}

void BudgetsRun::chaos()
{
    base::Rng &rng = world_.rng();
    if (profile_.hasTableFaults && rng.chance(0.01))
        world_.platform().setFaults(rng.chance(0.4) ? platform::FaultPlan() : world_.drawFaults());
    if (profile_.hasFailures && rng.chance(0.004))
        failDomain();
    if (profile_.hasFailures && rng.chance(0.01)) {
        const std::string id = "i" + std::to_string(rng.below(instances_));
        rng.chance(0.5) ? world_.platform().failInstance(id)
                        : world_.platform().setLeaving(id, rng.chance(0.5));
    }
    for (int i = 0; i < instances_; ++i) {
        const std::string id = "i" + std::to_string(i);
        if (rng.chance(0.002) && audit_.truth().at(id).status.phase == InstancePhase::Down)
            world_.platform().restoreInstance(id);
    }
    failUnderMaintenance();
    for (DriverSlot &slot : drivers_)
        freeze(slot);
}

// Instances under maintenance are few; they fail and leave more often than the others.
void BudgetsRun::failUnderMaintenance()
{
    if (!profile_.hasFailures || !world_.rng().chance(0.01))
        return;
    for (const auto &[name, pool] : last_.pools) {
        for (const v1::Grant &grant : pool.grants()) {
            if (world_.rng().chance(0.2))
                world_.platform().setLeaving(grant.instance(), world_.rng().chance(0.7));
        }
    }
}

// A command to an instance is what a driver can still do to harm after it wakes.
void BudgetsRun::freeze(DriverSlot &slot)
{
    constexpr double kAtControl = 0.05;
    constexpr double kElsewhere = 0.002;
    base::Rng &rng = world_.rng();
    const bool isFrozen = slot.frozenUntil > world_.now();
    if (!profile_.hasFreezes || isFrozen
        || !rng.chance(slot.thread->isAtControl() ? kAtControl : kElsewhere))
        return;
    slot.frozenUntil = world_.now() + std::chrono::seconds(rng.below(60));
    if (rng.chance(0.1))
        slot.thread = world_.makeDriver();
}

std::string BudgetsRun::check()
{
    audit_.observe(world_);
    const FleetRows rows = world_.rows();
    for (const std::string &change : describeChanges(last_, rows))
        world_.note(change);
    const bool mayBeLate = profile_.hasFreezes || profile_.hasTableFaults;
    const std::string violation = audit_.check(last_, rows, mayBeLate);
    last_ = rows;
    return violation;
}

std::string BudgetsRun::turn()
{
    base::Rng &rng = world_.rng();
    if (rng.chance(0.3))
        world_.advance(std::chrono::milliseconds(1 + rng.below(500)));
    audit_.observe(world_);
    if (operator_ && rng.chance(0.05)) {
        operator_->resume();
        return check();
    }
    DriverSlot &slot = drivers_[rng.below(drivers_.size())];
    if (slot.frozenUntil > world_.now())
        return {};
    slot.thread->resume();
    return check();
}

void BudgetsRun::heal()
{
    profile_.hasFailures = false;
    world_.platform().setFaults({});
    operator_.reset();
    for (DriverSlot &slot : drivers_)
        slot.frozenUntil = {};
    for (int i = 0; i < instances_; ++i) {
        const std::string id = "i" + std::to_string(i);
        world_.platform().setLeaving(id, false);
        if (audit_.truth().at(id).status.phase == InstancePhase::Down)
            world_.platform().restoreInstance(id);
    }
    for (int i = 0; i < kPools; ++i) {
        v1::UpdatePoolRequest request;
        request.set_request_id(world_.newRequestId());
        request.set_name("p" + std::to_string(i));
        request.mutable_budget()->set_max_unavailable_percent(kAllPercent);
        world_.setUp("FleetService", "UpdatePool", request);
    }
    last_ = world_.rows();
}

// Once all faults end and the budgets allow it, every wave ends and no grant of a healthy
// instance is left.
std::string BudgetsRun::settle()
{
    heal();
    for (int i = 0; i < kSettleCalls; ++i) {
        const std::string violation = turn();
        if (!violation.empty())
            return violation;
        constexpr int kResumeInterval = 500;
        if (i % kResumeInterval == 0) {
            for (const auto &[id, wave] : last_.waves) {
                v1::WaveRequest request;
                request.set_request_id(world_.newRequestId());
                request.set_id(id);
                world_.setUp("WaveService", "ResumeWave", request);
            }
        }
        const bool hasEnded =
                std::all_of(last_.waves.begin(), last_.waves.end(),
                            [](const auto &entry) { return entry.second.ended_at_ms() != 0; });
        if (hasEnded)
            return {};
    }
    return "a wave did not end after all faults had ended";
}

std::string BudgetsRun::run()
{
    setUp();
    std::string violation;
    for (int i = 0; i < kCalls && violation.empty(); ++i) {
        chaos();
        violation = turn();
    }
    if (violation.empty())
        violation = settle();
    return violation.empty() ? violation : violation + "\n" + world_.trace();
}

const Registration kBudgets(
        {.name = "budgets",
         .description = "planned disruptions stay within the budget under correlated failures, "
                        "table faults, frozen drivers and operators who shrink it",
         .defaultRuns = 100,
         .run = [](std::uint64_t seed) { return BudgetsRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
