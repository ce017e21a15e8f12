#pragma once

#include "evidence/measure/fleet_deployment.h"

#include <chicorywick/base/rng.h>

namespace chicorywick::measure {

/// @brief Demand of all pools in slots: within each group, one pool after the other peaks at five
/// times its mean, which is more than it holds; the others are at a twentieth of it.
class FleetDemand
{
public:
    FleetDemand(const FleetDeployment &deployment, std::uint64_t seed);

    /// @brief Advances by a time step; the value is the offered slots by pool.
    const std::vector<double> &next(base::Duration timeStep);

private:
    struct Group
    {
        std::vector<std::size_t> pools;
        std::size_t turn = 0;
        bool isPeak = false;
        base::Duration left{};
    };

    void advance(Group &group, base::Duration timeStep);

    base::Rng rng_;
    std::vector<double> peaks_;
    std::vector<Group> groups_;
    std::vector<double> offered_;
};

} // namespace chicorywick::measure
