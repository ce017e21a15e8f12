#include <chicorywick/fleet/buffer_planner.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chicorywick::fleet {

namespace {

// With equal weights, a wave that takes twice its shortest time costs as much as a tenth of the
// fleet kept idle while it runs.
constexpr double kStretchCost = 0.1;
// An instance serves at least as long as its two moves take.
constexpr int kLeastStayInMoves = 2;
// Beyond, the observed peaks say little about the next one.
constexpr base::Duration kLongestHold = std::chrono::minutes(15);
// No pool is larger, so larger failure allowances are never useful.
constexpr std::uint32_t kMaxFailureAllowance = 1'000;

double hours(base::Duration duration)
{
    return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

std::uint32_t shortfall(const PoolObservation &pool)
{
    return pool.peakNeed > pool.baseSize ? pool.peakNeed - pool.baseSize : 0;
}

/// @brief A pool pays for two moves per peak and instance if its buffer is lent to it.
bool keepsOwnBuffer(const PoolObservation &pool, const BufferPlanInput &input)
{
    const double movesCost = 2 * pool.peaksPerHour * hours(input.moveCost) * input.weights.moves;
    return movesCost > input.weights.bufferCost;
}

/// @brief Probability that a pool at its peak has lost more than a number of members.
double shortageProbability(const PoolObservation &pool, std::uint32_t fleetSize,
                           const FailureObservation &failures, std::int64_t allowance)
{
    const double repair = hours(failures.repair);
    const double ownShare = static_cast<double>(pool.baseSize) / std::max(1U, fleetSize);
    const double mean = failures.instancesPerHour * repair * ownShare;
    const double rackDown = std::min(1.0, failures.racksPerHour * repair);
    const double zoneDown = std::min(1.0, failures.zonesPerHour * repair);
    const double single = poissonTail(mean, allowance);
    const double withRack = poissonTail(mean, allowance - pool.largestRack);
    const double withZone = poissonTail(mean, allowance - pool.largestZone);
    return pool.peakShare * (single + rackDown * withRack + zoneDown * withZone);
}

/// @brief Members that a pool at its peak may lose for all but the permitted share of the time.
std::uint32_t failureAllowance(const PoolObservation &pool, const BufferPlanInput &input,
                               std::uint32_t fleetSize)
{
    std::uint32_t allowance = 0;
    while (allowance < kMaxFailureAllowance
           && shortageProbability(pool, fleetSize, input.failures, allowance) > input.maxShortage)
        ++allowance;
    return allowance;
}

/// @brief Rounds of maintenance that a pool's wave takes if it may have a number of members out at
/// its peak.
double rounds(const PoolObservation &pool, std::uint32_t members, std::uint32_t covered)
{
    constexpr double kLeastPace = 0.01;
    const double limit = std::max(1U, pool.budget.limit(members));
    const double atPeak = std::min<double>(covered, limit);
    const double pace = (1 - pool.peakShare) * limit + pool.peakShare * atPeak;
    return members / std::max(pace, kLeastPace);
}

/// @brief The buffer that the coinciding peaks require, with and without one of the spare pool.
///
/// While the spare pool has no peak, its own members are lent before any buffer.
class SharedBuffer
{
public:
    SharedBuffer(const BufferPlanInput &input, std::uint32_t fleetSize)
        : input_(input)
    {
        for (const PoolObservation &pool : input.pools) {
            const std::uint32_t allowance = failureAllowance(pool, input, fleetSize);
            const std::uint32_t lent = keepsOwnBuffer(pool, input) ? 0 : shortfall(pool);
            largestLimit_ = std::max(largestLimit_, pool.budget.limit(pool.baseSize));
            if (pool.isSpare) {
                spareShortfall_ = lent;
                spareAllowance_ = allowance;
                spareIdle_ = pool.baseSize - std::min(pool.baseSize, pool.quietNeed);
                hasSpare_ = true;
            } else {
                shortfalls_.push_back(lent);
                allowance_ = std::max(allowance_, allowance);
            }
        }
        std::sort(shortfalls_.rbegin(), shortfalls_.rend());
    }

    /// @brief Instances for the peaks and failures, with a number of members out in each peaking
    /// pool for its wave.
    std::uint32_t size(std::uint32_t covered, bool hasFailures = true) const
    {
        const std::uint32_t peaks = input_.concurrentPeaks;
        const std::uint32_t waves = covered * peaks;
        const std::uint32_t others = largest(peaks) + waves + (hasFailures ? allowance_ : 0);
        const std::uint32_t withoutSpare = others - std::min(others, spareIdle_);
        if (!hasSpare_ || peaks == 0)
            return withoutSpare;
        const std::uint32_t withSpare =
                spareShortfall_ + largest(peaks - 1) + waves + (hasFailures ? spareAllowance_ : 0);
        return std::max(withSpare, withoutSpare);
    }

    /// @brief Members that a pool may have out at its peak with this cover of the spare pool.
    std::uint32_t coverOf(const PoolObservation &pool, std::uint32_t covered) const
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

/// @brief Rounds of the longest wave. The buffer is maintained in the spare pool, under its budget.
double longestWave(const BufferPlanInput &input, const SharedBuffer &shared, std::uint32_t covered)
{
    double longest = 0;
    for (const PoolObservation &pool : input.pools) {
        const std::uint32_t members = pool.baseSize + (pool.isSpare ? shared.size(covered) : 0);
        longest = std::max(longest, rounds(pool, members, shared.coverOf(pool, covered)));
    }
    return longest;
}

/// @brief The cover for waves with the least weighted sum of buffer and roll-out time.
std::uint32_t cheapestCover(const BufferPlanInput &input, const SharedBuffer &shared,
                            std::uint32_t fleetSize)
{
    double shortest = 1;
    for (const PoolObservation &pool : input.pools)
        shortest = std::max(shortest, rounds(pool, pool.baseSize, pool.baseSize));
    std::uint32_t best = 0;
    double bestCost = INFINITY;
    // The spare pool's limit may grow with the buffer that it holds.
    for (std::uint32_t covered = 0; covered <= 2 * shared.largestLimit(); ++covered) {
        const double stretch = longestWave(input, shared, covered) / shortest;
        const double cost = input.weights.bufferCost * shared.size(covered)
                            + input.weights.rolloutTime * stretch * kStretchCost * fleetSize;
        if (cost < bestCost) {
            bestCost = cost;
            best = covered;
        }
    }
    return best;
}

// A loan that is held beyond the next pool's peak would need a second buffer.
base::Duration longestHold(const BufferPlanInput &input)
{
    double peaksPerHour = 0;
    for (const PoolObservation &pool : input.pools)
        peaksPerHour += pool.peaksPerHour;
    if (peaksPerHour <= 0)
        return kLongestHold;
    const double hoursBetween = std::max(1U, input.concurrentPeaks) / peaksPerHour;
    const std::chrono::duration<double, std::ratio<3600>> half(hoursBetween / 2);
    return std::min(kLongestHold, std::chrono::duration_cast<base::Duration>(half));
}

// Keeping an idle loan for as long as returning and lending it again would cost is at most twice as
// expensive as knowing the next peak in advance.
base::Duration hold(const BufferPlanInput &input, base::Duration minStay)
{
    const double ratio = input.weights.moves / std::max(input.weights.bufferCost, 0.01);
    const auto wanted = std::chrono::duration_cast<base::Duration>(2 * ratio * input.moveCost);
    return std::clamp(wanted, minStay, std::max(minStay, longestHold(input)));
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
    for (const ResidentBuffer &buffer : resident)
        sum += buffer.instances;
    return sum;
}

BufferPlan planBuffer(const BufferPlanInput &input)
{
    BufferPlan plan;
    std::uint32_t fleetSize = 0;
    for (const PoolObservation &pool : input.pools) {
        fleetSize += pool.baseSize;
        if (keepsOwnBuffer(pool, input))
            plan.resident.push_back({pool.name, shortfall(pool)});
    }
    const SharedBuffer shared(input, fleetSize);
    const std::uint32_t covered = cheapestCover(input, shared, fleetSize);
    plan.forPeaks = shared.size(0, false);
    plan.forFailures = shared.size(0) - plan.forPeaks;
    plan.forWaves = shared.size(covered) - shared.size(0);
    plan.minStay = kLeastStayInMoves * input.moveTime;
    plan.hold = hold(input, plan.minStay);
    return plan;
}

} // namespace chicorywick::fleet
