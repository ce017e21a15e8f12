#include "evidence/prove/budget_audit.h"

#include <algorithm>

namespace chicorywick::prove {

using platform::InstancePhase;

namespace {

constexpr std::uint32_t kAllPercent = 100;

} // namespace

void BudgetAudit::observe(FleetWorld &world)
{
    truth_ = world.platform().actualInstanceStates();
    std::set<std::string> unavailable;
    nowMs_ = base::toMillis(world.now());
    for (const auto &[id, truth] : truth_) {
        if (truth.status.phase != InstancePhase::Up || truth.leaving)
            unavailable.insert(id);
        else
            lastAvailableMs_[id] = nowMs_;
    }
    auto &states = unavailableAt_[nowMs_];
    if (states.empty() || states.back() != unavailable)
        states.push_back(std::move(unavailable));
}

// Counts again what the pool's budget should have counted.
std::string BudgetAudit::checkLimits(const v1::PoolRow &pool, const FleetRows &rows) const
{
    std::set<std::string> ids;
    for (const v1::Grant &grant : pool.grants())
        ids.insert(grant.instance());
    for (const v1::UnavailableMember &member : pool.unhealthy())
        ids.insert(member.instance());
    std::set<std::string> racks;
    std::set<std::string> zones;
    for (const std::string &id : ids) {
        racks.insert(rows.instances.at(id).zone() + "/" + rows.instances.at(id).rack());
        zones.insert(rows.instances.at(id).zone());
    }
    const v1::Budget &budget = pool.budget();
    const std::uint32_t limit =
            budget.limit_case() == v1::Budget::kMaxUnavailable
                    ? budget.max_unavailable()
                    : pool.member_count() * budget.max_unavailable_percent() / kAllPercent;
    const bool isOver =
            ids.size() > limit
            || (budget.max_disrupted_racks() != 0 && racks.size() > budget.max_disrupted_racks())
            || (budget.max_disrupted_zones() != 0 && zones.size() > budget.max_disrupted_zones());
    if (!isOver)
        return {};
    return pool.name() + " took a grant beyond its budget: " + std::to_string(ids.size())
           + " unavailable in " + std::to_string(racks.size()) + " racks and "
           + std::to_string(zones.size()) + " zones";
}

// The members counted as unavailable must be those of the moment that the row claims.
std::string BudgetAudit::checkObservation(const v1::PoolRow &pool, const FleetRows &rows,
                                          bool mayBeLate) const
{
    const auto at = unavailableAt_.find(pool.health_observed_at_ms());
    if (at == unavailableAt_.end())
        return pool.name() + " took a grant on an observation that never was";
    std::set<std::string> counted;
    for (const v1::Grant &grant : pool.grants())
        counted.insert(grant.instance());
    for (const v1::UnavailableMember &member : pool.unhealthy())
        counted.insert(member.instance());
    const auto isCovered = [&](const std::set<std::string> &unavailable) {
        return std::all_of(unavailable.begin(), unavailable.end(), [&](const std::string &id) {
            const auto row = rows.instances.find(id);
            return row == rows.instances.end() || row->second.pool() != pool.name()
                   || counted.contains(id);
        });
    };
    if (!std::any_of(at->second.begin(), at->second.end(), isCovered))
        return pool.name() + " took a grant without counting a member seen unavailable";
    const std::int64_t age = nowMs_ - pool.health_observed_at_ms();
    const std::int64_t bound = 25'000;
    if (!mayBeLate && age > bound)
        return pool.name() + " took a grant on an observation of " + std::to_string(age)
               + " ms ago";
    return {};
}

std::string BudgetAudit::checkReturns(const std::string &name, const FleetRows &oldRows,
                                      const FleetRows &rows) const
{
    const v1::PoolRow &before = oldRows.pools.at(name);
    const v1::PoolRow &after = rows.pools.at(name);
    for (const v1::Grant &grant : before.grants()) {
        const auto &grants = after.grants();
        const bool isHeld = std::any_of(grants.begin(), grants.end(), [&](const v1::Grant &other) {
            return other.instance() == grant.instance();
        });
        if (isHeld || !rows.instances.contains(grant.instance()))
            continue;
        const v1::InstanceRow &was = oldRows.instances.at(grant.instance());
        const bool wasSeen = lastAvailableMs_.contains(grant.instance())
                             && lastAvailableMs_.at(grant.instance()) >= was.state_since_ms();
        const bool hasBooted = was.state() != v1::MAINTENANCE_STATE_VERIFYING
                               || truth_.at(grant.instance()).status.boots > was.boots_before();
        if (!wasSeen || !hasBooted)
            return name + " got the grant of " + grant.instance()
                   + " back, which was not healthy since it was "
                   + v1::MaintenanceState_Name(was.state());
    }
    return {};
}

std::string BudgetAudit::checkPool(const std::string &name, const FleetRows &oldRows,
                                   const FleetRows &rows, bool mayBeLate) const
{
    const v1::PoolRow &before = oldRows.pools.at(name);
    const v1::PoolRow &after = rows.pools.at(name);
    if (after.health_observed_at_ms() < before.health_observed_at_ms())
        return name + " went back to an older observation";
    const bool hasNew =
            std::any_of(after.grants().begin(), after.grants().end(), [&](const v1::Grant &grant) {
                return std::none_of(
                        before.grants().begin(), before.grants().end(),
                        [&](const v1::Grant &old) { return old.instance() == grant.instance(); });
            });
    std::string violation = checkReturns(name, oldRows, rows);
    if (violation.empty() && hasNew)
        violation = checkLimits(after, rows);
    if (violation.empty() && hasNew)
        violation = checkObservation(after, rows, mayBeLate);
    return violation;
}

// An instance that was stopped by a command has a grant, always.
std::string BudgetAudit::checkMachines(const FleetRows &rows) const
{
    for (const auto &entry : truth_) {
        const std::string &id = entry.first;
        const InstancePhase phase = entry.second.status.phase;
        if (phase == InstancePhase::Up || phase == InstancePhase::Down)
            continue;
        const auto row = rows.instances.find(id);
        if (row == rows.instances.end())
            continue;
        const auto &grants = rows.pools.at(row->second.pool()).grants();
        if (std::none_of(grants.begin(), grants.end(),
                         [&](const v1::Grant &grant) { return grant.instance() == id; }))
            return id + " was drained or rebooted without a grant";
    }
    return {};
}

std::string BudgetAudit::check(const FleetRows &before, const FleetRows &after,
                               bool mayBeLate) const
{
    std::string violation = checkMachines(after);
    for (const auto &[name, version] : after.poolVersions) {
        if (violation.empty() && version != before.poolVersions.at(name))
            violation = checkPool(name, before, after, mayBeLate);
    }
    return violation;
}

} // namespace chicorywick::prove
