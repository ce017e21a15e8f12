#pragma once

#include "chicorywick/v1/config.pb.h"

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/availability_budget.h>

namespace chicorywick::fleet {

/// @brief What an idle buffer instance, a longer roll-out and a move weigh against each other.
struct PlannerWeights
{
    double bufferCost = 1;
    double rolloutTime = 1;
    double moves = 1;

    bool operator==(const PlannerWeights &) const = default;
};

/// @brief The configured weights; a configuration with no weight at all means equal weights.
PlannerWeights plannerWeights(const v1::PlannerConfig &config);

/// @brief What has been observed of a pool's demand and size.
struct PoolObservation
{
    std::string name;
    bool isSpare = false;
    /// Members without any buffer.
    std::uint32_t baseSize = 0;
    /// Instances needed at the highest observed peak.
    std::uint32_t peakNeed = 0;
    /// Instances needed at most outside peaks. What the spare pool does not need it can lend.
    std::uint32_t quietNeed = 0;
    /// Share of the time in which an instance taken out for maintenance could meet a peak.
    double peakShare = 1;
    double peaksPerHour = 0;
    AvailabilityBudget budget;
    /// Most members in one rack and in one zone.
    std::uint32_t largestRack = 0;
    std::uint32_t largestZone = 0;

    bool operator==(const PoolObservation &) const = default;
};

/// @brief Observed failures of the whole fleet.
struct FailureObservation
{
    double instancesPerHour = 0;
    /// Failures of any rack or any zone that holds members of a given pool.
    double racksPerHour = 0;
    double zonesPerHour = 0;
    base::Duration repair{};

    bool operator==(const FailureObservation &) const = default;
};

struct BufferPlanInput
{
    std::vector<PoolObservation> pools;
    FailureObservation failures;
    /// Most pools that were seen above their base size at once.
    std::uint32_t concurrentPeaks = 1;
    /// Time for which an instance that moves counts for neither pool.
    base::Duration moveTime{};
    /// Time for which instances are lost to a pool that one move costs.
    base::Duration moveCost{};
    /// Share of the time for which failures may use up the buffer.
    double maxShortage = 0.001;
    PlannerWeights weights;

    bool operator==(const BufferPlanInput &) const = default;
};

/// @brief Spare instances that stay in a pool and are not lent.
struct ResidentBuffer
{
    std::string pool;
    std::uint32_t instances = 0;

    bool operator==(const ResidentBuffer &) const = default;
};

struct BufferPlan
{
    std::vector<ResidentBuffer> resident;
    /// Parts of the buffer that the spare pool holds for all pools, each beyond the one before.
    std::uint32_t forPeaks = 0;
    std::uint32_t forFailures = 0;
    std::uint32_t forWaves = 0;
    /// Least time between two moves of an instance.
    base::Duration minStay{};
    /// Time for which a pool keeps an instance that it does not need, unless another pool lacks
    /// one.
    base::Duration hold{};

    std::uint32_t shared() const { return forPeaks + forFailures + forWaves; }
    std::uint32_t total() const;

    bool operator==(const BufferPlan &) const = default;
};

/// @brief The buffer with the least weighted cost that covers the observed peaks and failures.
BufferPlan planBuffer(const BufferPlanInput &input);

/// @brief Probability that a Poisson variable with this mean exceeds a count.
double poissonTail(double mean, std::int64_t count);

} // namespace chicorywick::fleet
