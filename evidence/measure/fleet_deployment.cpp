#include "evidence/measure/fleet_deployment.h"

#include <algorithm>

namespace chicorywick::measure {

FleetDeployment hanbit()
{
    FleetDeployment deployment;
    deployment.name = "hanbit";
    deployment.poolSizes = {12, 8, 10, 12, 10};
    deployment.spareName = "counter";
    deployment.weights = {4, 1, 1};
    return deployment;
}

FleetDeployment association()
{
    FleetDeployment deployment = hanbit();
    deployment.name = "association";
    deployment.spareName = "member-office";
    deployment.weights = {1, 4, 1};
    return deployment;
}

FleetDeployment targetSize()
{
    constexpr std::uint32_t kPools = 28;
    constexpr std::uint32_t kWorkers = 7'400;
    FleetDeployment deployment;
    deployment.name = "target";
    deployment.poolSizes.assign(kPools, kWorkers / kPools);
    deployment.poolSizes[0] += kWorkers % kPools;
    deployment.spareName = "spare";
    deployment.zones = 15;
    deployment.budgetDivisor = 20;
    deployment.peakGroups = 5;
    deployment.timeStep = std::chrono::seconds(5);
    deployment.horizon = std::chrono::hours(24 * 14);
    deployment.waveInterval = deployment.horizon;
    deployment.paceInterval = std::chrono::seconds(15);
    deployment.maintenance = std::chrono::minutes(10);
    deployment.instanceFailuresPerDay = 97;
    deployment.rackFailuresPerDay = 1.0 / 7;
    return deployment;
}

fleet::AvailabilityBudget budgetOf(const FleetDeployment &deployment, std::uint32_t poolSize)
{
    v1::Budget budget;
    budget.set_max_unavailable(std::max(1U, poolSize / deployment.budgetDivisor));
    return fleet::AvailabilityBudget::fromProto(budget).value();
}

} // namespace chicorywick::measure
