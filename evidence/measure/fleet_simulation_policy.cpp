#include "evidence/measure/fleet_simulation.h"

#include <algorithm>

namespace chicorywick::measure {

namespace {

constexpr std::size_t kMovesPerSecond = 16;
// Maintenance takes between 70 % and 130 % of its mean time.
constexpr double kMinMaintenanceFactor = 0.7;
constexpr double kMaintenanceFactorRange = 0.6;

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

// Depends only on the seed, the instance and the wave, so that it is the same for all policies.
base::Duration FleetSimulation::maintenanceTime(std::size_t member) const
{
    base::Rng rng(seed_ * 1'000'003 + member * 7'919 + figures_.wavesStarted);
    const double factor = kMinMaintenanceFactor + kMaintenanceFactorRange * rng.uniform();
    return base::Duration(static_cast<std::int64_t>(
            factor * static_cast<double>(deployment_.meanMaintenanceTime.count())));
}

void FleetSimulation::startWave()
{
    waveStartedAt_ = now_;
    nextWave_ += deployment_.waveInterval;
    ++figures_.wavesStarted;
    for (Member &member : members_) {
        count(member, -1);
        member.isMaintained = false;
        count(member, 1);
    }
}

void FleetSimulation::endWave()
{
    rolloutSum_ += seconds(now_ - *waveStartedAt_);
    rolloutBoundSum_ += waveLowerBound();
    ++figures_.wavesFinished;
    waveStartedAt_.reset();
}

// A roll-out takes at least the longest maintenance, and at least the total maintenance time of a
// pool's base members divided by its budget. Members of the spare pool may be maintained in other
// pools, so the second bound does not apply to them.
double FleetSimulation::waveLowerBound() const
{
    double result = 0;
    std::size_t member = 0;
    for (std::size_t pool = 0; pool < pools_.size(); ++pool) {
        double work = 0;
        for (std::uint32_t i = 0; i < pools_[pool].baseSize; ++i, ++member) {
            const double time = seconds(maintenanceTime(member));
            work += time;
            result = std::max(result, time);
        }
        if (pool != 0)
            result = std::max(result, work / pools_[pool].budget.limit(pools_[pool].baseSize));
    }
    return result;
}

std::vector<fleet::PlacedInstance> FleetSimulation::unavailable(std::size_t pool) const
{
    std::vector<fleet::PlacedInstance> result;
    for (const std::size_t index : notServing_) {
        const Member &member = members_[index];
        const bool isDown = member.state == State::Maintenance || member.state == State::Failed;
        if (member.pool == pool && isDown)
            result.push_back(member.place);
    }
    return result;
}

bool FleetSimulation::canStart(const PoolState &pool) const
{
    const std::uint32_t limit =
            policy_.wavePolicy == WavePolicy::OneAtATime ? 1 : pool.budget.limit(pool.members);
    return pool.awaitingMaintenance > 0 && pool.down < limit;
}

std::vector<fleet::PacedPool> FleetSimulation::pacedPools() const
{
    std::vector<fleet::PacedPool> result(pools_.size());
    for (std::size_t i = 0; i < pools_.size(); ++i) {
        const PoolState &pool = pools_[i];
        result[i].name = pool.name;
        result[i].isSpare = i == 0;
        result[i].view.budget = pool.budget;
        result[i].view.memberCount = pool.members;
        result[i].view.unavailable = unavailable(i);
        result[i].available = pool.owned;
        result[i].expectedDemand = pool.window.demandWithin(now_, deployment_.meanMaintenanceTime);
        result[i].offPeakDemand = pool.window.offPeakDemand();
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const Member &member = members_[i];
        if (member.state != State::Serving || !canStart(pools_[member.pool]))
            continue;
        fleet::DisruptionView &view = result[member.pool].view;
        (member.isMaintained ? view.started : view.candidates)
                .push_back({static_cast<std::uint32_t>(i), member.place});
    }
    return result;
}

void FleetSimulation::checkBudget(std::size_t pool)
{
    if (!pools_[pool].budget.violation(unavailable(pool), pools_[pool].members).empty())
        ++figures_.budgetViolations;
}

void FleetSimulation::pace()
{
    if (std::none_of(pools_.begin(), pools_.end(),
                     [&](const PoolState &pool) { return canStart(pool); }))
        return;
    const fleet::PaceInput input{pacedPools(), policy_.concurrentPeaks,
                                 policy_.failureReserve
                                         - std::min(policy_.failureReserve, failed_)};
    std::vector<fleet::PoolDisruptions> chosen;
    if (policy_.wavePolicy == WavePolicy::Paced) {
        chosen = fleet::paceWaves(input);
    } else {
        for (const fleet::PacedPool &pool : input.pools) {
            const std::size_t limit =
                    policy_.wavePolicy == WavePolicy::UpToBudget ? pool.view.candidates.size() : 1;
            if (!pool.view.candidates.empty())
                chosen.push_back({pool.name, fleet::nextDisruptions(pool.view, limit)});
        }
    }
    for (const fleet::PoolDisruptions &pool : chosen) {
        for (const fleet::PlanEntry &entry : pool.entries)
            enter(entry.number, State::Maintenance, now_ + maintenanceTime(entry.number));
        if (!pool.entries.empty())
            checkBudget(members_[pool.entries.front().number].pool);
    }
}

fleet::LendingPool FleetSimulation::lendingPool(std::size_t index) const
{
    const PoolState &pool = pools_[index];
    fleet::LendingPool result;
    result.name = pool.name;
    result.isSpare = index == 0;
    result.budget = pool.budget;
    result.memberCount = pool.members;
    if (pool.down > 0)
        result.unavailable = unavailable(index);
    result.arriving = pool.arriving;
    result.needed = pool.needed;
    result.recentPeak = pool.window.recentPeak();
    return result;
}

void FleetSimulation::lend()
{
    const bool hasShortfall = std::any_of(pools_.begin(), pools_.end(), [](const PoolState &pool) {
        return pool.needed > pool.serving + pool.arriving;
    });
    fleet::LendingView view;
    view.now = now_;
    view.minMoveInterval = std::max(policy_.minMoveInterval, kMoveTime);
    for (const std::size_t index : initialSpares_) {
        const Member &member = members_[index];
        if (member.state != State::Serving)
            continue;
        if (member.pool == 0 && hasShortfall)
            view.lendable.push_back({member.place, pools_[0].name, member.movedAt});
        else if (member.isLent && member.pool != 0)
            view.lent.push_back({member.place, pools_[member.pool].name, member.movedAt});
    }
    if (view.lendable.empty() && view.lent.empty())
        return;
    for (std::size_t i = 0; i < pools_.size(); ++i)
        view.pools.push_back(lendingPool(i));
    const auto limit = static_cast<std::size_t>(kMovesPerSecond * seconds(deployment_.timeStep));
    for (const fleet::InstanceMove &move : fleet::decideLending(view, limit))
        apply(move);
}

void FleetSimulation::apply(const fleet::InstanceMove &move)
{
    const std::size_t index = std::stoul(move.instance);
    Member &member = members_[index];
    const std::size_t from = member.pool;
    const auto target = std::find_if(pools_.begin(), pools_.end(),
                                     [&](const PoolState &pool) { return pool.name == move.to; });
    count(member, -1);
    member.pool = static_cast<std::size_t>(target - pools_.begin());
    member.isLent = member.pool != 0;
    member.movedAt = now_;
    count(member, 1);
    enter(index, State::Moving, now_ + kMoveTime);
    ++figures_.moves;
    if (pools_[from].down > 0)
        checkBudget(from);
}

} // namespace chicorywick::measure
