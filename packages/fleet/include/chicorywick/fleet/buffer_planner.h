#pragma once

#include "chicorywick/v1/config.pb.h"

#include <chicorywick/base/clock.h>
#include <chicorywick/fleet/availability_budget.h>

namespace chicorywick::fleet {

/// @brief Relative weights of an idle buffer instance, a longer roll-out and a move.
struct PlannerWeights
{
    double bufferCost = 1;
    double rolloutTime = 1;
    double moves = 1;

    bool operator==(const PlannerWeights &) const = default;
};

/// @brief Reads the configured weights. If none is set, all weights are equal.
PlannerWeights plannerWeights(const v1::PlannerConfig &config);

/// @brief Observed demand and size of a pool.
struct PoolObservation
{
    std::string name;
    bool isSpare = false;
    /// Number of members without any buffer.
    std::uint32_t baseSize = 0;
    /// Instances needed at the highest observed peak.
    std::uint32_t peakDemand = 0;
    /// Highest number of instances needed outside peaks. The spare pool can lend its other members.
    std::uint32_t offPeakDemand = 0;
    /// Fraction of the time in which maintenance of an instance could overlap a peak.
    double peakShare = 1;
    double peaksPerHour = 0;
    AvailabilityBudget budget;
    /// Highest number of members in one rack and in one zone.
    std::uint32_t largestRack = 0;
    std::uint32_t largestZone = 0;

    bool operator==(const PoolObservation &) const = default;
};

/// @brief Observed failures of the whole fleet.
struct FailureObservation
{
    double instancesPerHour = 0;
    /// Failures of any rack or any zone that contains members of a given pool.
    double racksPerHour = 0;
    double zonesPerHour = 0;
    base::Duration repairTime{};

    bool operator==(const FailureObservation &) const = default;
};

struct BufferPlanInput
{
    std::vector<PoolObservation> pools;
    FailureObservation failures;
    /// Highest number of pools observed above their base size at the same time.
    std::uint32_t concurrentPeaks = 1;
    /// Time during which a moving instance counts for neither pool.
    base::Duration moveTime{};
    /// Cost of one move, as instance time lost to a pool.
    base::Duration moveCost{};
    /// Fraction of the time in which failures may exhaust the buffer.
    double maxShortage = 0.001;
    PlannerWeights weights;

    bool operator==(const BufferPlanInput &) const = default;
};

/// @brief Buffer instances that stay in a pool and are not lent.
struct DedicatedBuffer
{
    std::string pool;
    std::uint32_t instances = 0;

    bool operator==(const DedicatedBuffer &) const = default;
};

struct BufferPlan
{
    std::vector<DedicatedBuffer> dedicated;
    /// Parts of the shared buffer in the spare pool. Each part adds to the previous one.
    std::uint32_t forPeaks = 0;
    std::uint32_t forFailures = 0;
    std::uint32_t forWaves = 0;
    /// Minimum time between two moves of an instance.
    base::Duration minMoveInterval{};
    /// Time for which a pool keeps an instance that it does not need, unless another pool has a
    /// shortage.
    base::Duration holdTime{};

    std::uint32_t shared() const { return forPeaks + forFailures + forWaves; }
    std::uint32_t total() const;

    bool operator==(const BufferPlan &) const = default;
};

/// @brief Returns the buffer with the lowest weighted cost that covers the observed peaks and
/// failures.
BufferPlan planBuffer(const BufferPlanInput &input);

/// @brief Probability that a Poisson variable with this mean exceeds a count.
double poissonTail(double mean, std::int64_t count);

} // namespace chicorywick::fleet
