#include <chicorywick/fleet/buffer_planner.h>

#include <algorithm>
#include <cmath>

namespace chicorywick::fleet {

namespace {

// With equal weights, a wave that takes twice its shortest time costs as much as a tenth of the
// fleet kept idle while it runs.
constexpr double kStretchCost = 0.1;
// Bounds of the hysteresis: below, every short peak moves instances; above, a loan outlasts the
// turn of the next pool.
constexpr base::Duration kLeastStay = std::chrono::seconds(20);
constexpr base::Duration kLongestStay = std::chrono::minutes(15);
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

// Peaks take turns, so the spare pool covers only the largest ones that coincide.
std::uint32_t sharedForPeaks(std::vector<std::uint32_t> shortfalls, std::uint32_t concurrent)
{
    std::sort(shortfalls.rbegin(), shortfalls.rend());
    shortfalls.resize(std::min<std::size_t>(shortfalls.size(), concurrent));
    std::uint32_t sum = 0;
    for (const std::uint32_t value : shortfalls)
        sum += value;
    return sum;
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

std::uint32_t sharedForFailures(const BufferPlanInput &input, std::uint32_t fleetSize)
{
    std::uint32_t needed = 0;
    for (const PoolObservation &pool : input.pools) {
        while (needed < kMaxFailureAllowance
               && shortageProbability(pool, fleetSize, input.failures, needed) > input.maxShortage)
            ++needed;
    }
    return needed;
}

/// @brief Roll-out time over the shortest one if a peaking pool may have this many members out.
double stretch(const PoolObservation &pool, std::uint32_t covered)
{
    const double limit = std::max(1U, pool.budget.limit(pool.baseSize));
    const double atPeak = std::min<double>(covered, limit);
    const double pace = (1 - pool.peakShare) * limit + pool.peakShare * atPeak;
    constexpr double kLeastPace = 0.01;
    return limit / std::max(pace, kLeastPace);
}

std::uint32_t sharedForWaves(const BufferPlanInput &input, std::uint32_t fleetSize)
{
    std::uint32_t largestLimit = 0;
    for (const PoolObservation &pool : input.pools)
        largestLimit = std::max(largestLimit, pool.budget.limit(pool.baseSize));
    std::uint32_t best = 0;
    double bestCost = INFINITY;
    for (std::uint32_t covered = 0; covered <= largestLimit; ++covered) {
        double worst = 1;
        for (const PoolObservation &pool : input.pools)
            worst = std::max(worst, stretch(pool, covered));
        const double rollout = (worst - 1) * kStretchCost * fleetSize;
        const double cost =
                input.weights.bufferCost * covered + input.weights.rolloutTime * rollout;
        if (cost < bestCost) {
            bestCost = cost;
            best = covered;
        }
    }
    return best;
}

// Keeping an idle loan for as long as returning and lending it again would cost is at most twice as
// expensive as knowing the next peak in advance.
base::Duration stay(const BufferPlanInput &input)
{
    const double ratio = input.weights.moves / std::max(input.weights.bufferCost, 0.01);
    const auto wanted = std::chrono::duration_cast<base::Duration>(2 * ratio * input.moveCost);
    return std::clamp(wanted, kLeastStay, kLongestStay);
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
    std::vector<std::uint32_t> lentAtPeak;
    for (const PoolObservation &pool : input.pools) {
        fleetSize += pool.baseSize;
        if (keepsOwnBuffer(pool, input))
            plan.resident.push_back({pool.name, shortfall(pool)});
        else
            lentAtPeak.push_back(shortfall(pool));
    }
    plan.forPeaks = sharedForPeaks(std::move(lentAtPeak), input.concurrentPeaks);
    plan.forFailures = sharedForFailures(input, fleetSize);
    plan.forWaves = sharedForWaves(input, fleetSize);
    plan.minStay = stay(input);
    return plan;
}

} // namespace chicorywick::fleet
