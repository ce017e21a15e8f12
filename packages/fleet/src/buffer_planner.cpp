#include <chicorywick/fleet/buffer_planner.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chicorywick::fleet {

namespace {

// With equal weights, a wave that takes twice its shortest duration costs as much as keeping a
// tenth of the fleet idle while it runs.
constexpr double kSlowdownCost = 0.1;
// In move times: an instance serves at least as long as its two moves take.
constexpr int kMoveIntervalFactor = 2;
// Over longer times, the observed peaks do not predict the next one.
constexpr base::Duration kMaxHoldTime = std::chrono::minutes(15);
// No pool has more members, so a larger allowance has no use.
constexpr std::uint32_t kMaxFailureAllowance = 1'000;

double hours(base::Duration duration)
{
    return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

std::uint32_t shortfall(const PoolObservation &pool)
{
    return pool.peakDemand > pool.baseSize ? pool.peakDemand - pool.baseSize : 0;
}

/// @brief Whether lending costs more than a dedicated buffer. A lent instance moves twice per peak.
bool needsDedicatedBuffer(const PoolObservation &pool, const BufferPlanInput &input)
{
    const double movesCost = 2 * pool.peaksPerHour * hours(input.moveCost) * input.weights.moves;
    return movesCost > input.weights.bufferCost;
}

/// @brief Probability that a pool is at its peak and has lost more than `allowance` members.
double shortageProbability(const PoolObservation &pool, std::uint32_t fleetSize,
                           const FailureObservation &failures, std::int64_t allowance)
{
    const double repairTime = hours(failures.repairTime);
    const double ownShare = static_cast<double>(pool.baseSize) / std::max(1U, fleetSize);
    const double mean = failures.instancesPerHour * repairTime * ownShare;
    const double rackDown = std::min(1.0, failures.racksPerHour * repairTime);
    const double zoneDown = std::min(1.0, failures.zonesPerHour * repairTime);
    const double single = poissonTail(mean, allowance);
    const double withRack = poissonTail(mean, allowance - pool.largestRack);
    const double withZone = poissonTail(mean, allowance - pool.largestZone);
    return pool.peakShare * (single + rackDown * withRack + zoneDown * withZone);
}

/// @brief Number of lost members to cover so that a shortage lasts at most the permitted fraction
/// of the time.
std::uint32_t failureAllowance(const PoolObservation &pool, const BufferPlanInput &input,
                               std::uint32_t fleetSize)
{
    std::uint32_t allowance = 0;
    while (allowance < kMaxFailureAllowance
           && shortageProbability(pool, fleetSize, input.failures, allowance) > input.maxShortage)
        ++allowance;
    return allowance;
}

/// @brief Number of maintenance rounds of a pool's wave if `covered` members may be out of service
/// at its peak.
double rounds(const PoolObservation &pool, std::uint32_t members, std::uint32_t covered)
{
    constexpr double kMinPace = 0.01;
    const double limit = std::max(1U, pool.budget.limit(members));
    const double atPeak = std::min<double>(covered, limit);
    const double pace = (1 - pool.peakShare) * limit + pool.peakShare * atPeak;
    return members / std::max(pace, kMinPace);
}

/// @brief Buffer required by coinciding peaks, with and without a peak of the spare pool.
///
/// While the spare pool has no peak, its idle members are lent before any buffer.
class SharedBuffer
{
public:
    SharedBuffer(const BufferPlanInput &input, std::uint32_t fleetSize)
        : input_(input)
    {
        for (const PoolObservation &pool : input.pools) {
            const std::uint32_t allowance = failureAllowance(pool, input, fleetSize);
            const std::uint32_t lent = needsDedicatedBuffer(pool, input) ? 0 : shortfall(pool);
            largestLimit_ = std::max(largestLimit_, pool.budget.limit(pool.baseSize));
            if (pool.isSpare) {
                spareShortfall_ = lent;
                spareAllowance_ = allowance;
                spareIdle_ = pool.baseSize - std::min(pool.baseSize, pool.offPeakDemand);
                hasSpare_ = true;
            } else {
                shortfalls_.push_back(lent);
                allowance_ = std::max(allowance_, allowance);
            }
        }
        std::sort(shortfalls_.rbegin(), shortfalls_.rend());
    }

    /// @brief Buffer for peaks and failures if `covered` members of each peaking pool are out of
    /// service for its wave.
    std::uint32_t size(std::uint32_t covered, bool includeFailures = true) const
    {
        const std::uint32_t peaks = input_.concurrentPeaks;
        const std::uint32_t waves = covered * peaks;
        const std::uint32_t others = largest(peaks) + waves + (includeFailures ? allowance_ : 0);
        const std::uint32_t withoutSpare = others - std::min(others, spareIdle_);
        if (!hasSpare_ || peaks == 0)
            return withoutSpare;
        const std::uint32_t withSpare = spareShortfall_ + largest(peaks - 1) + waves
                                        + (includeFailures ? spareAllowance_ : 0);
        return std::max(withSpare, withoutSpare);
    }

    /// @brief Members of a pool that may be out of service at its peak with a buffer of
    /// size(covered).
    std::uint32_t coverageOf(const PoolObservation &pool, std::uint32_t covered) const
    {
        if (pool.isSpare || input_.concurrentPeaks == 0)
            return covered;
        const std::uint32_t held = size(covered) + spareIdle_;
        const std::uint32_t used = largest(input_.concurrentPeaks) + allowance_;
        return std::max(covered, (held - std::min(held, used)) / input_.concurrentPeaks);
    }

    std::uint32_t largestLimit() const { return largestLimit_; }

private:
    std::uint32_t largest(std::uint32_t count) const
    {
        const auto end =
                static_cast<std::ptrdiff_t>(std::min<std::size_t>(shortfalls_.size(), count));
        return std::accumulate(shortfalls_.begin(), shortfalls_.begin() + end, 0U);
    }

    const BufferPlanInput &input_;
    bool hasSpare_ = false;
    std::uint32_t spareShortfall_ = 0;
    std::uint32_t spareAllowance_ = 0;
    std::uint32_t spareIdle_ = 0;
    std::uint32_t allowance_ = 0;
    std::uint32_t largestLimit_ = 0;
    std::vector<std::uint32_t> shortfalls_;
};

/// @brief Number of rounds of the longest wave. Buffer instances are maintained in the spare pool,
/// under its budget.
double longestWave(const BufferPlanInput &input, const SharedBuffer &shared, std::uint32_t covered)
{
    double longest = 0;
    for (const PoolObservation &pool : input.pools) {
        const std::uint32_t members = pool.baseSize + (pool.isSpare ? shared.size(covered) : 0);
        longest = std::max(longest, rounds(pool, members, shared.coverageOf(pool, covered)));
    }
    return longest;
}

/// @brief Number of covered members with the lowest weighted sum of buffer and roll-out time.
std::uint32_t cheapestCoverage(const BufferPlanInput &input, const SharedBuffer &shared,
                               std::uint32_t fleetSize)
{
    double shortest = 1;
    for (const PoolObservation &pool : input.pools)
        shortest = std::max(shortest, rounds(pool, pool.baseSize, pool.baseSize));
    std::uint32_t best = 0;
    double bestCost = INFINITY;
    // The search exceeds the largest limit because the spare pool's limit may grow with its buffer.
    for (std::uint32_t covered = 0; covered <= 2 * shared.largestLimit(); ++covered) {
        const double slowdown = longestWave(input, shared, covered) / shortest;
        const double cost = input.weights.bufferCost * shared.size(covered)
                            + input.weights.rolloutTime * slowdown * kSlowdownCost * fleetSize;
        if (cost < bestCost) {
            bestCost = cost;
            best = covered;
        }
    }
    return best;
}

// A loan that is kept beyond another pool's peak would require a second buffer.
base::Duration maxHoldTime(const BufferPlanInput &input)
{
    double peaksPerHour = 0;
    for (const PoolObservation &pool : input.pools)
        peaksPerHour += pool.peaksPerHour;
    if (peaksPerHour <= 0)
        return kMaxHoldTime;
    const double hoursBetween = std::max(1U, input.concurrentPeaks) / peaksPerHour;
    const std::chrono::duration<double, std::ratio<3600>> half(hoursBetween / 2);
    return std::min(kMaxHoldTime, std::chrono::duration_cast<base::Duration>(half));
}

// Keeping an idle loan until its cost equals that of returning and lending it again costs at most
// twice as much as the best choice with the next peak known in advance.
base::Duration holdTime(const BufferPlanInput &input, base::Duration minMoveInterval)
{
    const double ratio = input.weights.moves / std::max(input.weights.bufferCost, 0.01);
    const auto wanted = std::chrono::duration_cast<base::Duration>(2 * ratio * input.moveCost);
    return std::clamp(wanted, minMoveInterval, std::max(minMoveInterval, maxHoldTime(input)));
}

} // namespace

PlannerWeights plannerWeights(const v1::PlannerConfig &config)
{
    if (config.buffer_cost_weight() + config.rollout_time_weight() + config.move_weight() == 0)
        return {};
    return {static_cast<double>(config.buffer_cost_weight()),
            static_cast<double>(config.rollout_time_weight()),
            static_cast<double>(config.move_weight())};
}

double poissonTail(double mean, std::int64_t count)
{
    if (count < 0)
        return 1;
    double term = std::exp(-mean);
    double sum = term;
    for (std::int64_t i = 1; i <= count; ++i) {
        term *= mean / static_cast<double>(i);
        sum += term;
    }
    return std::max(0.0, 1 - sum);
}

std::uint32_t BufferPlan::total() const
{
    std::uint32_t sum = shared();
    for (const DedicatedBuffer &buffer : dedicated)
        sum += buffer.instances;
    return sum;
}

BufferPlan planBuffer(const BufferPlanInput &input)
{
    BufferPlan plan;
    std::uint32_t fleetSize = 0;
    for (const PoolObservation &pool : input.pools) {
        fleetSize += pool.baseSize;
        if (needsDedicatedBuffer(pool, input))
            plan.dedicated.push_back({pool.name, shortfall(pool)});
    }
    const SharedBuffer shared(input, fleetSize);
    const std::uint32_t covered = cheapestCoverage(input, shared, fleetSize);
    plan.forPeaks = shared.size(0, false);
    plan.forFailures = shared.size(0) - plan.forPeaks;
    plan.forWaves = shared.size(covered) - shared.size(0);
    plan.minMoveInterval = kMoveIntervalFactor * input.moveTime;
    plan.holdTime = holdTime(input, plan.minMoveInterval);
    return plan;
}

} // namespace chicorywick::fleet
