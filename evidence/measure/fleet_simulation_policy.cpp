#include "evidence/measure/fleet_simulation.h"

#include <algorithm>

namespace chicorywick::measure {

namespace {

constexpr std::size_t kMovesPerSecond = 16;
// Maintenance takes between 70 % and 130 % of its mean time.
constexpr double kLeastMaintenance = 0.7;
constexpr double kMaintenanceSpread = 0.6;

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

// The time depends on the instance and the wave only.
base::Duration FleetSimulation::maintenanceTime(std::size_t member) const
{
    base::Rng rng(seed_ * 1'000'003 + member * 7'919 + figures_.wavesStarted);
    const double factor = kLeastMaintenance + kMaintenanceSpread * rng.uniform();
    return base::Duration(static_cast<std::int64_t>(
            factor * static_cast<double>(deployment_.maintenance.count())));
}

void FleetSimulation::startWave()
{
    waveSince_ = now_;
    nextWave_ += deployment_.waveInterval;
    ++figures_.wavesStarted;
    for (Member &member : members_)
        member.isMaintained = false;
}

void FleetSimulation::endWave()
{
    rolloutSum_ += seconds(now_ - *waveSince_);
    boundSum_ += bound();
    ++figures_.wavesFinished;
    waveSince_.reset();
}

// No schedule is shorter than the longest instance, than a lending pool's own base members in the
// slots of its budget, or than all base members in the slots of all budgets. The spare pool's
// members may be maintained elsewhere, so only the last one holds for them.
double FleetSimulation::bound() const
{
    std::vector<double> work(pools_.size(), 0);
    double longest = 0;
    std::size_t member = 0;
    for (std::size_t pool = 0; pool < pools_.size(); ++pool) {
        for (std::uint32_t i = 0; i < pools_[pool].baseSize; ++i, ++member) {
            const double time = seconds(maintenanceTime(member));
            work[pool] += time;
            longest = std::max(longest, time);
        }
    }
    double result = longest;
    double sum = 0;
    double slots = 0;
    for (std::size_t pool = 0; pool < pools_.size(); ++pool) {
        const double limit = pools_[pool].budget.limit(pools_[pool].baseSize);
        sum += work[pool];
        slots += limit;
        if (pool != 0)
            result = std::max(result, work[pool] / limit);
    }
    return std::max(result, sum / slots);
}

std::vector<fleet::PlacedInstance> FleetSimulation::unavailable(std::size_t pool) const
{
    std::vector<fleet::PlacedInstance> result;
    for (const Member &member : members_) {
        const bool isDown = member.state == State::Maintenance || member.state == State::Failed;
        if (member.pool == pool && isDown)
            result.push_back(member.place);
    }
    return result;
}

fleet::PacedPool FleetSimulation::pacedPool(std::size_t index) const
{
    const PoolState &pool = pools_[index];
    fleet::PacedPool result;
    result.name = pool.name;
    result.isSpare = index == 0;
    result.view.budget = pool.budget;
    result.view.memberCount = pool.members;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const Member &member = members_[i];
        const bool isServing = member.state == State::Serving;
        const bool isCounted = member.isLent ? index == 0 : member.pool == index;
        if (isCounted && (isServing || member.state == State::InFlight))
            ++result.available;
        if (member.pool != index || member.state == State::InFlight)
            continue;
        const fleet::NumberedEntry entry{static_cast<std::uint32_t>(i), member.place};
        if (!isServing)
            result.view.unavailable.push_back(member.place);
        else if (!member.isMaintained)
            result.view.candidates.push_back(entry);
        else
            result.view.started.push_back(entry);
    }
    result.expectedNeed = pool.window.needWithin(now_, deployment_.maintenance);
    result.quietNeed = pool.window.quietNeed();
    return result;
}

void FleetSimulation::disrupt(const fleet::NumberedEntry &entry)
{
    Member &member = members_[entry.number];
    member.state = State::Maintenance;
    member.until = now_ + maintenanceTime(entry.number);
}

void FleetSimulation::checkBudget(std::size_t pool)
{
    const std::vector<fleet::PlacedInstance> lost = unavailable(pool);
    const auto arrived = std::count_if(members_.begin(), members_.end(), [&](const Member &member) {
        return member.pool == pool && member.state != State::InFlight;
    });
    if (!pools_[pool].budget.excess(lost, static_cast<std::uint32_t>(arrived)).empty())
        ++figures_.budgetViolations;
}

void FleetSimulation::pace()
{
    const bool isPaced = policy_.waves == WavePolicy::Paced;
    std::uint32_t failed = 0;
    for (const Member &member : members_)
        failed += member.state == State::Failed ? 1 : 0;
    fleet::PaceInput input{
            {}, policy_.concurrentPeaks, policy_.reserve - std::min(policy_.reserve, failed)};
    bool canStart = false;
    for (const PoolState &pool : pools_)
        canStart = canStart || (pool.waiting > 0 && pool.down < pool.budget.limit(pool.members));
    if (!canStart)
        return;
    for (std::size_t i = 0; i < pools_.size(); ++i)
        input.pools.push_back(pacedPool(i));

    std::vector<fleet::PoolDisruptions> chosen;
    if (isPaced) {
        chosen = fleet::paceWaves(input);
    } else {
        for (const fleet::PacedPool &pool : input.pools) {
            const std::size_t limit = policy_.waves == WavePolicy::UpToBudget
                                              ? pool.view.candidates.size()
                                              : (pool.view.unavailable.empty() ? 1 : 0);
            chosen.push_back({pool.name, fleet::nextDisruptions(pool.view, limit)});
        }
    }
    for (const fleet::PoolDisruptions &pool : chosen) {
        for (const fleet::NumberedEntry &entry : pool.entries)
            disrupt(entry);
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
    const bool isLacking = std::any_of(pools_.begin(), pools_.end(), [](const PoolState &pool) {
        return pool.needed > pool.serving + pool.arriving;
    });
    fleet::LendingView view;
    view.now = now_;
    view.minStay = std::max(policy_.minStay, kMoveTime);
    for (const Member &member : members_) {
        if (member.state != State::Serving)
            continue;
        if (member.pool == 0 && isLacking)
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
    Member &member = members_[std::stoul(move.instance)];
    const std::size_t from = member.pool;
    const auto target = std::find_if(pools_.begin(), pools_.end(),
                                     [&](const PoolState &pool) { return pool.name == move.to; });
    member.pool = static_cast<std::size_t>(target - pools_.begin());
    member.isLent = member.pool != 0;
    member.state = State::InFlight;
    member.until = now_ + kMoveTime;
    member.movedAt = now_;
    ++figures_.moves;
    if (pools_[from].down > 0)
        checkBudget(from);
}

} // namespace chicorywick::measure
