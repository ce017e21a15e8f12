#include "evidence/prove/budget_audit.h"
#include "evidence/prove/proof.h"

#include <algorithm>

namespace chicorywick::prove {

namespace {

using platform::InstancePhase;

constexpr int kPools = 2;
constexpr int kCalls = 4000;
constexpr int kSettleCalls = 20000;
constexpr std::uint32_t kHundredPercent = 100;

/// @brief The fault kinds and the number of drivers of a run.
struct Profile
{
    int drivers = 2;
    bool hasFreezes = false;
    bool hasTableFaults = false;
    bool hasFailures = false;
};

/// @brief A driver and the time until which it makes no calls.
struct DriverSlot
{
    std::unique_ptr<SteppedThread> thread;
    base::TimePoint frozenUntil{};
};

/// @brief One run with drivers under faults, correlated failures and operators that change budgets.
/// Guards against planned disruptions beyond the budget, caused by stale observations, lost replies
/// or commands of a driver that resumes after a freeze.
class BudgetsRun
{
public:
    explicit BudgetsRun(std::uint64_t seed)
        : fleet_(seed)
    {}

    std::string run();

private:
    void setUp();
    v1::Budget drawBudget();
    void performOperatorCall();
    void injectFaults();
    void failDomain();
    void changeLeavingUnderMaintenance();
    void freeze(DriverSlot &slot);
    void heal();
    std::string settle();
    std::string step();

    std::string check();

    SimulatedFleet fleet_;
    Profile profile_;
    std::vector<DriverSlot> drivers_;
    std::unique_ptr<SteppedThread> operator_;
    FleetRows lastRows_;
    BudgetAudit audit_;
    int instances_ = 0;
    int waves_ = 3;
};

v1::Budget BudgetsRun::drawBudget()
{
    v1::Budget budget;
    if (fleet_.rng().chance(0.5))
        budget.set_max_unavailable(static_cast<std::uint32_t>(fleet_.rng().below(5)));
    else
        budget.set_max_unavailable_percent(static_cast<std::uint32_t>(fleet_.rng().below(50)));
    if (fleet_.rng().chance(0.3))
        budget.set_max_disrupted_racks(static_cast<std::uint32_t>(1 + fleet_.rng().below(3)));
    if (fleet_.rng().chance(0.3))
        budget.set_max_disrupted_zones(static_cast<std::uint32_t>(1 + fleet_.rng().below(2)));
    return budget;
}

void BudgetsRun::setUp()
{
    base::Rng &rng = fleet_.rng();
    profile_ = {.drivers = static_cast<int>(1 + rng.below(4)),
                .hasFreezes = rng.chance(0.5),
                .hasTableFaults = rng.chance(0.6),
                .hasFailures = rng.chance(0.7)};
    instances_ = static_cast<int>(8 + rng.below(16));
    for (int i = 0; i < kPools; ++i)
        fleet_.createPool("p" + std::to_string(i), drawBudget());
    for (int i = 0; i < instances_; ++i)
        fleet_.addInstance("i" + std::to_string(i), "p" + std::to_string(rng.below(kPools)),
                           "z" + std::to_string(i % 3), "r" + std::to_string(i % 6));
    fleet_.advance(std::chrono::seconds(1));
    fleet_.createWave("w0", "p0");
    fleet_.createWave("w1", "p1");
    // This wave shares the budget of w0.
    fleet_.createWave("w2", "p0");
    drivers_.resize(static_cast<std::size_t>(profile_.drivers));
    for (DriverSlot &slot : drivers_)
        slot.thread = fleet_.makeDriver();
    operator_ = fleet_.makeOperator([this] { performOperatorCall(); });
    lastRows_ = fleet_.rows();
    audit_.observe(fleet_);
}

// Operators change budgets, move instances and control waves while the drivers run.
void BudgetsRun::performOperatorCall()
{
    const std::uint64_t kind = fleet_.rng().below(8);
    if (kind < 3) {
        v1::UpdatePoolRequest request;
        request.set_request_id(fleet_.newRequestId());
        request.set_name("p" + std::to_string(fleet_.rng().below(kPools)));
        *request.mutable_budget() = drawBudget();
        fleet_.call("FleetService", "UpdatePool", request);
        return;
    }
    if (kind < 5) {
        v1::MoveInstanceRequest request;
        request.set_request_id(fleet_.newRequestId());
        request.set_id("i" + std::to_string(fleet_.rng().below(instances_)));
        request.set_to_pool("p" + std::to_string(fleet_.rng().below(kPools)));
        fleet_.call("FleetService", "MoveInstance", request);
        return;
    }
    if (kind == 5) {
        v1::CreateWaveRequest request;
        request.set_request_id(fleet_.newRequestId());
        request.set_id("w" + std::to_string(waves_++));
        request.set_pool("p" + std::to_string(fleet_.rng().below(kPools)));
        fleet_.call("WaveService", "CreateWave", request);
        return;
    }
    if (kind == 6) {
        v1::ReleaseInstanceRequest request;
        request.set_request_id(fleet_.newRequestId());
        request.set_id("i" + std::to_string(fleet_.rng().below(instances_)));
        fleet_.call("FleetService", "ReleaseInstance", request);
        return;
    }
    v1::WaveRequest request;
    request.set_request_id(fleet_.newRequestId());
    request.set_id("w" + std::to_string(fleet_.rng().below(waves_)));
    const char *method = fleet_.rng().chance(0.2) ? "PauseWave" : "ResumeWave";
    fleet_.call("WaveService", method, request);
}

void BudgetsRun::failDomain()
{
    const bool isZone = fleet_.rng().chance(0.3);
    const int domains = isZone ? 3 : 6;
    const int domain = static_cast<int>(fleet_.rng().below(domains));
    fleet_.addTraceLine("failure of " + std::string(isZone ? "zone z" : "rack r")
                        + std::to_string(domain));
    for (int i = domain; i < instances_; i += domains) {
        if (fleet_.rng().chance(0.8))
            fleet_.platform().failInstance("i" + std::to_string(i));
    }
}

void BudgetsRun::injectFaults()
{
    base::Rng &rng = fleet_.rng();
    if (profile_.hasTableFaults && rng.chance(0.01))
        fleet_.platform().setFaults(rng.chance(0.4) ? platform::FaultPlan() : fleet_.drawFaults());
    if (profile_.hasFailures && rng.chance(0.004))
        failDomain();
    if (profile_.hasFailures && rng.chance(0.01)) {
        const std::string id = "i" + std::to_string(rng.below(instances_));
        rng.chance(0.5) ? fleet_.platform().failInstance(id)
                        : fleet_.platform().setLeaving(id, rng.chance(0.5));
    }
    for (int i = 0; i < instances_; ++i) {
        const std::string id = "i" + std::to_string(i);
        if (rng.chance(0.002)
            && audit_.actualInstances().at(id).status.phase == InstancePhase::Down)
            fleet_.platform().restoreInstance(id);
    }
    changeLeavingUnderMaintenance();
    for (DriverSlot &slot : drivers_)
        freeze(slot);
}

// Few instances are under maintenance, so their leaving flag changes more often than that of
// others.
void BudgetsRun::changeLeavingUnderMaintenance()
{
    if (!profile_.hasFailures || !fleet_.rng().chance(0.01))
        return;
    for (const auto &[name, pool] : lastRows_.pools) {
        for (const v1::Grant &grant : pool.grants()) {
            if (fleet_.rng().chance(0.2))
                fleet_.platform().setLeaving(grant.instance(), fleet_.rng().chance(0.7));
        }
    }
}

// Freezes occur mostly before commands to instances, because a command is the only harmful call
// that a driver can still make when it resumes.
void BudgetsRun::freeze(DriverSlot &slot)
{
    constexpr double kFreezeChanceBeforeControl = 0.05;
    constexpr double kFreezeChanceElsewhere = 0.002;
    base::Rng &rng = fleet_.rng();
    const bool isFrozen = slot.frozenUntil > fleet_.now();
    if (!profile_.hasFreezes || isFrozen
        || !rng.chance(slot.thread->isBeforeControlCall() ? kFreezeChanceBeforeControl
                                                          : kFreezeChanceElsewhere))
        return;
    slot.frozenUntil = fleet_.now() + std::chrono::seconds(rng.below(60));
    if (rng.chance(0.1))
        slot.thread = fleet_.makeDriver();
}

std::string BudgetsRun::check()
{
    audit_.observe(fleet_);
    const FleetRows rows = fleet_.rows();
    for (const std::string &change : describeChanges(lastRows_, rows))
        fleet_.addTraceLine(change);
    const bool mayBeStale = profile_.hasFreezes || profile_.hasTableFaults;
    const std::string violation = audit_.check(lastRows_, rows, mayBeStale);
    lastRows_ = rows;
    return violation;
}

std::string BudgetsRun::step()
{
    base::Rng &rng = fleet_.rng();
    if (rng.chance(0.3))
        fleet_.advance(std::chrono::milliseconds(1 + rng.below(500)));
    audit_.observe(fleet_);
    if (operator_ && rng.chance(0.05)) {
        operator_->resume();
        return check();
    }
    DriverSlot &slot = drivers_[rng.below(drivers_.size())];
    if (slot.frozenUntil > fleet_.now())
        return {};
    slot.thread->resume();
    return check();
}

void BudgetsRun::heal()
{
    profile_.hasFailures = false;
    fleet_.platform().setFaults({});
    operator_.reset();
    for (DriverSlot &slot : drivers_)
        slot.frozenUntil = {};
    for (int i = 0; i < instances_; ++i) {
        const std::string id = "i" + std::to_string(i);
        fleet_.platform().setLeaving(id, false);
        if (audit_.actualInstances().at(id).status.phase == InstancePhase::Down)
            fleet_.platform().restoreInstance(id);
    }
    for (int i = 0; i < kPools; ++i) {
        v1::UpdatePoolRequest request;
        request.set_request_id(fleet_.newRequestId());
        request.set_name("p" + std::to_string(i));
        request.mutable_budget()->set_max_unavailable_percent(kHundredPercent);
        fleet_.setUp("FleetService", "UpdatePool", request);
    }
    lastRows_ = fleet_.rows();
}

// Every wave must end once all faults have ended and the budgets allow all disruptions.
std::string BudgetsRun::settle()
{
    heal();
    for (int i = 0; i < kSettleCalls; ++i) {
        const std::string violation = step();
        if (!violation.empty())
            return violation;
        constexpr int kResumeInterval = 500;
        if (i % kResumeInterval == 0) {
            for (const auto &[id, wave] : lastRows_.waves) {
                v1::WaveRequest request;
                request.set_request_id(fleet_.newRequestId());
                request.set_id(id);
                fleet_.setUp("WaveService", "ResumeWave", request);
            }
        }
        const bool hasEnded =
                std::all_of(lastRows_.waves.begin(), lastRows_.waves.end(),
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
        injectFaults();
        violation = step();
    }
    if (violation.empty())
        violation = settle();
    return violation.empty() ? violation : violation + "\n" + fleet_.trace();
}

const Registration kBudgets(
        {.name = "budgets",
         .description = "planned disruptions stay within the budget under correlated failures, "
                        "table faults, frozen drivers and operators who shrink it",
         .defaultRuns = 100,
         .run = [](std::uint64_t seed) { return BudgetsRun(seed).run(); }});

} // namespace

} // namespace chicorywick::prove
