#include "evidence/measure/fleet_demand.h"

#include <algorithm>
#include <cmath>

namespace chicorywick::measure {

namespace {

constexpr double kPeakOverMean = 5;
constexpr double kOffPeakOverMean = 0.05;
// Peak demand over the capacity of the pool; each pool draws its own ratio.
constexpr double kMinPeakRatio = 1.1;
constexpr double kMaxPeakRatio = 1.3;
constexpr double kNoise = 0.04;
// Peak durations are log-uniform, from some seconds to minutes.
constexpr double kShortestPeakSeconds = 10;
constexpr double kLongestPeakSeconds = 180;
constexpr double kMeanGapSeconds = 3;

base::Duration seconds(double value)
{
    return base::Duration(static_cast<std::int64_t>(value * 1e6));
}

} // namespace

FleetDemand::FleetDemand(const FleetDeployment &deployment, std::uint64_t seed)
    : rng_(seed)
    , groups_(deployment.peakGroups)
    , offered_(deployment.poolSizes.size(), 0)
{
    for (std::size_t pool = 0; pool < deployment.poolSizes.size(); ++pool) {
        const double ratio = kMinPeakRatio + (kMaxPeakRatio - kMinPeakRatio) * rng_.uniform();
        peaks_.push_back(ratio * deployment.poolSizes[pool] * kSlotsPerInstance);
        groups_[pool % groups_.size()].pools.push_back(pool);
    }
}

void FleetDemand::advance(Group &group, base::Duration timeStep)
{
    group.remaining -= timeStep;
    if (group.remaining > base::Duration::zero())
        return;
    group.isPeak = !group.isPeak;
    if (group.isPeak) {
        group.peakIndex = (group.peakIndex + 1) % group.pools.size();
        const double logRange = std::log(kLongestPeakSeconds / kShortestPeakSeconds);
        group.remaining = seconds(kShortestPeakSeconds * std::exp(logRange * rng_.uniform()));
    } else {
        group.remaining = seconds(1 + rng_.exponential(kMeanGapSeconds));
    }
}

const std::vector<double> &FleetDemand::next(base::Duration timeStep)
{
    for (Group &group : groups_) {
        advance(group, timeStep);
        for (std::size_t i = 0; i < group.pools.size(); ++i) {
            const std::size_t pool = group.pools[i];
            const double mean = peaks_[pool] / kPeakOverMean;
            const bool isPeak = group.isPeak && group.peakIndex == i;
            const double noise = 1 + kNoise * (rng_.uniform() + rng_.uniform() - 1);
            offered_[pool] = (isPeak ? peaks_[pool] : mean * kOffPeakOverMean) * noise;
        }
    }
    return offered_;
}

} // namespace chicorywick::measure
