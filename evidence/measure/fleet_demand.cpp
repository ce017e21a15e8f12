#include "evidence/measure/fleet_demand.h"

#include <algorithm>
#include <cmath>

namespace chicorywick::measure {

namespace {

constexpr double kPeakOverMean = 5;
constexpr double kQuietOverMean = 0.05;
// A peak needs this much more than the pool holds; each pool has its own ratio.
constexpr double kLeastPeak = 1.1;
constexpr double kLargestPeak = 1.3;
constexpr double kNoise = 0.04;
// Durations are spread evenly over their logarithm: some seconds to minutes.
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
        const double ratio = kLeastPeak + (kLargestPeak - kLeastPeak) * rng_.uniform();
        peaks_.push_back(ratio * deployment.poolSizes[pool] * kSlotsPerInstance);
        groups_[pool % groups_.size()].pools.push_back(pool);
    }
}

void FleetDemand::advance(Group &group, base::Duration timeStep)
{
    group.left -= timeStep;
    if (group.left > base::Duration::zero())
        return;
    group.isPeak = !group.isPeak;
    if (group.isPeak) {
        group.turn = (group.turn + 1) % group.pools.size();
        const double spread = std::log(kLongestPeakSeconds / kShortestPeakSeconds);
        group.left = seconds(kShortestPeakSeconds * std::exp(spread * rng_.uniform()));
    } else {
        group.left = seconds(1 + rng_.exponential(kMeanGapSeconds));
    }
}

const std::vector<double> &FleetDemand::next(base::Duration timeStep)
{
    for (Group &group : groups_) {
        advance(group, timeStep);
        for (std::size_t i = 0; i < group.pools.size(); ++i) {
            const std::size_t pool = group.pools[i];
            const double mean = peaks_[pool] / kPeakOverMean;
            const bool isPeak = group.isPeak && group.turn == i;
            const double noise = 1 + kNoise * (rng_.uniform() + rng_.uniform() - 1);
            offered_[pool] = (isPeak ? peaks_[pool] : mean * kQuietOverMean) * noise;
        }
    }
    return offered_;
}

} // namespace chicorywick::measure
