#include "evidence/measure/fleet_deployment.h"

#include <algorithm>

namespace chicorywick::measure {

FleetDeployment hanbitDeployment()
{
    FleetDeployment deployment;
    deployment.name = "hanbit";
    deployment.poolSizes = {12, 8, 10, 12, 10};
    deployment.spareName = "counter";
    deployment.weights = {4, 1, 1};
    return deployment;
}

FleetDeployment associationDeployment()
{
    FleetDeployment deployment = hanbitDeployment();
    deployment.name = "association";
    deployment.spareName = "member-office";
    deployment.weights = {1, 4, 1};
    return deployment;
}

FleetDeployment targetDeployment()
{
    constexpr std::uint32_t kPools = 28;
    constexpr std::uint32_t kWorkers = 7'400;
    FleetDeployment deployment;
    deployment.name = "target";
    deployment.poolSizes.assign(kPools, kWorkers / kPools);
    deployment.poolSizes[0] += kWorkers % kPools;
    deployment.spareName = "spare";
    deployment.zones = 15;
    deployment.budgetPercent = 5;
    deployment.peakGroups = 5;
    deployment.timeStep = std::chrono::seconds(5);
    deployment.horizon = std::chrono::hours(24 * 7);
    deployment.waveInterval = deployment.horizon;
    deployment.paceInterval = std::chrono::seconds(15);
    deployment.meanMaintenanceTime = std::chrono::minutes(10);
    deployment.instanceFailuresPerDay = 97;
    deployment.rackFailuresPerDay = 1.0 / 7;
    return deployment;
}

fleet::AvailabilityBudget budgetOf(const FleetDeployment &deployment, std::size_t pool)
{
    constexpr std::uint32_t kAllPercent = 100;
    const std::uint32_t share = deployment.poolSizes[pool] * deployment.budgetPercent / kAllPercent;
    v1::Budget budget;
    if (pool == 0)
        budget.set_max_unavailable_percent(deployment.budgetPercent);
    else
        budget.set_max_unavailable(std::max(1U, share));
    return fleet::AvailabilityBudget::fromProto(budget).value();
}

} // namespace chicorywick::measure
