#include "evidence/measure/fleet_simulation.h"

#include <chicorywick/fleet/queue_load.h>

#include <algorithm>
#include <cmath>

namespace chicorywick::measure {

namespace {

constexpr base::Duration kObservation = std::chrono::hours(6);
constexpr base::Duration kFirstWave = std::chrono::minutes(30);
constexpr std::uint64_t kFailureSeed = 0x5eed'fa11;
constexpr double kSecondsPerDay = 86'400;
constexpr double kSecondsPerHour = 3'600;

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

base::Duration lookBack(const FleetPolicy &policy)
{
    return std::max<base::Duration>(policy.holdTime, std::chrono::seconds(1));
}

std::uint32_t instancesFor(double slots)
{
    return static_cast<std::uint32_t>(std::ceil(slots / kSlotsPerInstance));
}

} // namespace

FleetHistory observeDemand(const FleetDeployment &deployment, std::uint64_t seed)
{
    FleetHistory history{FleetDemand(deployment, seed), {}, 0};
    for (const std::uint32_t size : deployment.poolSizes)
        history.windows.emplace_back(size, std::chrono::seconds(20));
    base::TimePoint now = base::TimePoint(std::chrono::hours(24)) - kObservation;
    for (; now < base::TimePoint(std::chrono::hours(24)); now += deployment.timeStep) {
        const std::vector<double> &offered = history.demand.next(deployment.timeStep);
        std::uint32_t peaks = 0;
        for (std::size_t pool = 0; pool < offered.size(); ++pool) {
            history.windows[pool] =
                    history.windows[pool].withSample(now, instancesFor(offered[pool]));
            if (history.windows[pool].needed() > deployment.poolSizes[pool])
                ++peaks;
        }
        history.concurrentPeaks = std::max(history.concurrentPeaks, peaks);
    }
    return history;
}

FleetSimulation::FleetSimulation(const FleetDeployment &deployment, FleetPolicy policy,
                                 const FleetHistory &history, std::uint64_t seed)
    : deployment_(deployment)
    , policy_(std::move(policy))
    , demand_(history.demand)
    , seed_(seed)
    , failures_(seed ^ kFailureSeed)
    , nextWave_(now_ + kFirstWave)
{
    for (std::size_t pool = 0; pool < deployment.poolSizes.size(); ++pool) {
        const std::uint32_t size = deployment.poolSizes[pool];
        pools_.push_back({pool == 0 ? deployment.spareName : "pool-" + std::to_string(pool), size,
                          budgetOf(deployment, pool),
                          history.windows[pool].withLookBack(lookBack(policy_))});
    }
    addMembers(deployment);
}

// Base members come first, so their placement does not depend on the buffer.
void FleetSimulation::addMembers(const FleetDeployment &deployment)
{
    std::vector<std::uint32_t> membersInZone(deployment.zones, 0);
    const auto add = [&](std::size_t pool, std::uint32_t added) {
        for (std::uint32_t i = 0; i < added; ++i) {
            const std::size_t zone = members_.size() % deployment.zones;
            const std::uint32_t rack = membersInZone[zone]++ / kInstancesPerRack;
            const std::string zoneName = "z" + std::to_string(zone);
            Member member;
            member.place = {std::to_string(members_.size()), zoneName + "r" + std::to_string(rack),
                            zoneName};
            member.pool = pool;
            if (pool == 0)
                initialSpares_.push_back(members_.size());
            count(member, 1);
            members_.push_back(std::move(member));
        }
    };
    for (std::size_t pool = 0; pool < deployment.poolSizes.size(); ++pool)
        add(pool, deployment.poolSizes[pool]);
    for (std::size_t pool = 0; pool < policy_.buffer.size(); ++pool)
        add(pool, policy_.buffer[pool]);
}

FleetFigures FleetSimulation::run()
{
    for (; now_ < start_ + deployment_.horizon; now_ += deployment_.timeStep) {
        endExpiredStates();
        injectFailures();
        if (!waveStartedAt_ && now_ >= nextWave_)
            startWave();
        const std::vector<double> &offered = demand_.next(deployment_.timeStep);
        for (std::size_t pool = 0; pool < pools_.size(); ++pool)
            serve(pool, offered[pool]);
        recordBufferCost();
        if (policy_.lends)
            lend();
        if (waveStartedAt_ && now_ - pacedAt_ >= deployment_.paceInterval) {
            pacedAt_ = now_;
            pace();
        }
    }
    const double steps = seconds(deployment_.horizon) / seconds(deployment_.timeStep);
    figures_.bufferLowerBound =
            (largestExtra_ * steps - extraSum_) * seconds(deployment_.timeStep) / kSecondsPerHour;
    const double finished = std::max(1U, figures_.wavesFinished);
    figures_.rolloutSeconds = rolloutSum_ / finished;
    figures_.rolloutLowerBound = rolloutBoundSum_ / finished;
    return figures_;
}

void FleetSimulation::count(const Member &member, std::int64_t sign)
{
    const auto add = [sign](std::uint32_t &counter, bool isCounted) {
        if (isCounted)
            counter = static_cast<std::uint32_t>(counter + sign);
    };
    PoolState &pool = pools_[member.pool];
    const bool isServing = member.state == State::Serving;
    const bool isMoving = member.state == State::Moving;
    add(pool.serving, isServing);
    add(pool.arriving, isMoving);
    add(pool.members, !isMoving);
    add(pool.down, !isServing && !isMoving);
    add(pool.awaitingMaintenance, isServing && !member.isMaintained);
    add(pools_[member.isLent ? 0 : member.pool].owned, isServing || isMoving);
    add(unmaintained_, !member.isMaintained);
    add(failed_, member.state == State::Failed);
}

void FleetSimulation::enter(std::size_t index, State state, base::TimePoint until)
{
    Member &member = members_[index];
    count(member, -1);
    if (member.state == State::Serving && state != State::Serving)
        notServing_.push_back(index);
    if (member.state == State::Maintenance && state == State::Serving)
        member.isMaintained = true;
    member.state = state;
    member.until = until;
    count(member, 1);
}

void FleetSimulation::endExpiredStates()
{
    for (const std::size_t index : notServing_) {
        if (now_ >= members_[index].until)
            enter(index, State::Serving, now_);
    }
    std::erase_if(notServing_, [&](std::size_t i) { return members_[i].state == State::Serving; });
    if (waveStartedAt_ && unmaintained_ == 0)
        endWave();
}

void FleetSimulation::failMember(std::size_t member, base::Duration repair)
{
    enter(member, State::Failed, now_ + repair);
}

// Draws only base members, so that all policies have the same failures. A buffer member fails only
// with its rack.
void FleetSimulation::injectFailures()
{
    std::uint32_t baseMembers = 0;
    for (const PoolState &pool : pools_)
        baseMembers += pool.baseSize;
    const double days = seconds(deployment_.timeStep) / kSecondsPerDay;
    const double instance = failures_.uniform();
    const std::uint64_t failedMember = failures_.below(baseMembers);
    const double rack = failures_.uniform();
    const std::uint64_t rackMember = failures_.below(baseMembers);
    if (instance < deployment_.instanceFailuresPerDay * days)
        failMember(failedMember, kInstanceRepair);
    if (rack >= deployment_.rackFailuresPerDay * days)
        return;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (members_[i].place.rack == members_[rackMember].place.rack)
            failMember(i, kRackRepair);
    }
}

// Work that would wait past its deadline is rejected and counted as late.
void FleetSimulation::serve(std::size_t index, double offered)
{
    PoolState &pool = pools_[index];
    const double step = seconds(deployment_.timeStep);
    const double slots = pool.serving * kSlotsPerInstance;
    const double maxBacklog = slots * seconds(kRequestDeadline);
    pool.backlog = std::max(0.0, pool.backlog + (offered - slots) * step);
    if (pool.backlog > maxBacklog) {
        figures_.lateRequests += (pool.backlog - maxBacklog) / seconds(kServiceTime);
        pool.backlog = maxBacklog;
    }
    const double wait = slots > 0 ? pool.backlog / slots : seconds(kRequestDeadline);
    pool.window = pool.window.withSample(now_, instancesFor(offered));
    pool.needed =
            fleet::neededInstances({.offeredSlots = offered,
                                    .wait = base::Duration(static_cast<std::int64_t>(wait * 1e6)),
                                    .slotsPerInstance = kSlotsPerInstance,
                                    .available = pool.serving + pool.arriving,
                                    .tolerance = policy_.queueTolerance});
}

// Buffer cost is the time of healthy instances beyond the base sizes that no peak uses. For the
// lower bound, idle base members of the spare pool reduce the need of the other pools, as they are
// lent first.
void FleetSimulation::recordBufferCost()
{
    double healthy = 0;
    double used = 0;
    double extra = 0;
    for (const PoolState &pool : pools_) {
        const std::uint32_t need = pool.window.needed();
        healthy += pool.serving + pool.arriving;
        used += std::max(pool.baseSize, std::min(need, pool.serving));
        extra += need > pool.baseSize ? need - pool.baseSize : 0;
    }
    const PoolState &spare = pools_[0];
    const std::uint32_t spareNeed = spare.window.needed();
    extra -= spare.baseSize - std::min(spareNeed, spare.baseSize);
    extra = std::max(extra, 0.0);
    extraSum_ += extra;
    largestExtra_ = std::max(largestExtra_, extra);
    const double step = seconds(deployment_.timeStep);
    figures_.bufferCost += std::max(0.0, healthy - used) * step / kSecondsPerHour;
}

} // namespace chicorywick::measure
