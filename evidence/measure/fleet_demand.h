#pragma once

#include "evidence/measure/fleet_deployment.h"

#include <chicorywick/base/rng.h>

namespace chicorywick::measure {

/// @brief Demand of all pools in slots. Within each group, the pools peak in turn at five times
/// their mean, which exceeds their capacity; off peak, demand is a twentieth of the mean.
class FleetDemand
{
public:
    FleetDemand(const FleetDeployment &deployment, std::uint64_t seed);

    /// @brief Advances by a time step and returns the offered slots by pool.
    const std::vector<double> &next(base::Duration timeStep);

private:
    struct Group
    {
        std::vector<std::size_t> pools;
        std::size_t peakIndex = 0;
        bool isPeak = false;
        base::Duration remaining{};
    };

    void advance(Group &group, base::Duration timeStep);

    base::Rng rng_;
    std::vector<double> peaks_;
    std::vector<Group> groups_;
    std::vector<double> offered_;
};

} // namespace chicorywick::measure
