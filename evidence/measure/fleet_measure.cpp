#include "evidence/measure/fleet_simulation.h"
#include "evidence/measure/measurement.h"

#include <algorithm>
#include <cstdio>

namespace chicorywick::measure {

namespace {

constexpr double kHoursPerDay = 24;
// An eighth of the deadline leaves time for an instance to move and for a failure.
constexpr base::Duration kQueueTolerance = kRequestDeadline / 8;
// The lean baseline tries buffers of each pool's shortfall plus these offsets per ten members.
constexpr int kMinOffset = -4;
constexpr int kMaxOffset = 4;

struct Row
{
    std::string deployment;
    std::string policy;
    FleetFigures figures;
    std::uint32_t buffer = 0;
};

std::uint32_t sum(const std::vector<std::uint32_t> &values)
{
    std::uint32_t result = 0;
    for (const std::uint32_t value : values)
        result += value;
    return result;
}

fleet::BufferPlanInput planInput(const FleetDeployment &deployment, const FleetHistory &history)
{
    fleet::BufferPlanInput input;
    input.concurrentPeaks = history.concurrentPeaks;
    input.moveTime = kMoveTime;
    input.moveCost = kMoveCost;
    input.weights = deployment.weights;
    const double baseSize = sum(deployment.poolSizes);
    const double racks = baseSize / kInstancesPerRack;
    for (std::size_t i = 0; i < deployment.poolSizes.size(); ++i) {
        const std::uint32_t size = deployment.poolSizes[i];
        const fleet::DemandWindow &window = history.windows[i];
        fleet::PoolObservation pool;
        pool.name = std::to_string(i);
        pool.isSpare = i == 0;
        pool.baseSize = size;
        pool.peakDemand = window.highest();
        pool.offPeakDemand = window.offPeakDemand();
        pool.peakShare = window.peakShare(deployment.meanMaintenanceTime);
        pool.peaksPerHour = window.peaksPerHour();
        pool.budget = budgetOf(deployment, i);
        pool.largestZone = (size + deployment.zones - 1) / deployment.zones;
        pool.largestRack = std::min(pool.largestZone, kInstancesPerRack);
        input.pools.push_back(std::move(pool));
    }
    // Upper bound on the racks that hold members of one pool.
    const double racksOfPool = std::min(racks, baseSize / static_cast<double>(input.pools.size()));
    input.failures.instancesPerHour = deployment.instanceFailuresPerDay / kHoursPerDay;
    input.failures.racksPerHour =
            deployment.rackFailuresPerDay / kHoursPerDay * racksOfPool / racks;
    input.failures.repairTime = kInstanceRepair;
    return input;
}

FleetPolicy chosenPolicy(const FleetDeployment &deployment, const FleetHistory &history)
{
    const fleet::BufferPlan plan = planBuffer(planInput(deployment, history));
    FleetPolicy policy;
    policy.name = "chosen";
    policy.buffer.assign(deployment.poolSizes.size(), 0);
    policy.buffer[0] = plan.shared();
    for (const fleet::DedicatedBuffer &dedicatedBuffer : plan.dedicated)
        policy.buffer[std::stoul(dedicatedBuffer.pool)] += dedicatedBuffer.instances;
    policy.lends = true;
    policy.wavePolicy = WavePolicy::Paced;
    policy.minMoveInterval = plan.minMoveInterval;
    policy.holdTime = plan.holdTime;
    policy.queueTolerance = kQueueTolerance;
    policy.concurrentPeaks = history.concurrentPeaks;
    policy.failureReserve = plan.forFailures;
    return policy;
}

FleetPolicy greedyPolicy(const FleetPolicy &chosen)
{
    FleetPolicy policy = chosen;
    policy.name = "greedy";
    policy.wavePolicy = WavePolicy::UpToBudget;
    policy.minMoveInterval = base::Duration::zero();
    policy.holdTime = base::Duration::zero();
    policy.queueTolerance = base::Duration::zero();
    return policy;
}

/// @brief A fixed buffer per pool: its shortfall at its peak plus one instance for its wave.
FleetPolicy fixedPolicy(const FleetDeployment &deployment, const FleetHistory &history,
                        const std::string &name, int offsetPerTen = 0)
{
    FleetPolicy policy;
    policy.name = name;
    for (std::size_t i = 0; i < deployment.poolSizes.size(); ++i) {
        const int size = static_cast<int>(deployment.poolSizes[i]);
        const int shortfall = static_cast<int>(history.windows[i].highest()) - size;
        const int offset = offsetPerTen * std::max(1, size / 10);
        policy.buffer.push_back(static_cast<std::uint32_t>(std::max(0, shortfall + 1 + offset)));
    }
    return policy;
}

Row runPolicy(const FleetDeployment &deployment, const FleetHistory &history,
              const FleetPolicy &policy, std::uint64_t seed)
{
    return {deployment.name, policy.name, FleetSimulation(deployment, policy, history, seed).run(),
            sum(policy.buffer)};
}

/// @brief The smallest fixed buffer with no more late requests than the chosen policy.
Row smallestFixedBuffer(const FleetDeployment &deployment, const FleetHistory &history,
                        double lateRequests, std::uint64_t seed)
{
    Row row;
    for (int offset = kMinOffset; offset <= kMaxOffset; ++offset) {
        row = runPolicy(deployment, history,
                        fixedPolicy(deployment, history, "fixed-share-lean", offset), seed);
        if (row.figures.lateRequests <= lateRequests)
            break;
    }
    return row;
}

nlohmann::json toJson(const Row &row)
{
    return {{"deployment", row.deployment},
            {"policy", row.policy},
            {"buffer_instances", row.buffer},
            {"buffer_cost", row.figures.bufferCost},
            {"rollout_seconds", row.figures.rolloutSeconds},
            {"moves", row.figures.moves},
            {"budget_violations", row.figures.budgetViolations},
            {"late_requests", row.figures.lateRequests},
            {"rollout_lower_bound", row.figures.rolloutLowerBound},
            {"buffer_lower_bound", row.figures.bufferLowerBound},
            {"waves_started", row.figures.wavesStarted},
            {"waves_finished", row.figures.wavesFinished}};
}

void print(const Row &row)
{
    const FleetFigures &figures = row.figures;
    std::printf("%-12s %-17s %6u %11.1f %9.1f %9.0f %8.0f %7llu %6llu %10.0f %3u/%u\n",
                row.deployment.c_str(), row.policy.c_str(), row.buffer, figures.bufferCost,
                figures.bufferLowerBound, figures.rolloutSeconds, figures.rolloutLowerBound,
                static_cast<unsigned long long>(figures.moves),
                static_cast<unsigned long long>(figures.budgetViolations), figures.lateRequests,
                figures.wavesFinished, figures.wavesStarted);
    std::fflush(stdout);
}

std::vector<Row> measureDeployment(const FleetDeployment &deployment, std::uint64_t seed)
{
    const FleetHistory history = observeDemand(deployment, seed);
    const FleetPolicy chosen = chosenPolicy(deployment, history);
    std::vector<Row> rows{runPolicy(deployment, history, chosen, seed)};
    rows.push_back(
            runPolicy(deployment, history, fixedPolicy(deployment, history, "fixed-share"), seed));
    rows.push_back(smallestFixedBuffer(deployment, history, rows[0].figures.lateRequests, seed));
    rows.push_back(runPolicy(deployment, history, greedyPolicy(chosen), seed));
    return rows;
}

/// @brief Runs the chosen policy with different roll-out time weights, for the trade-off chart.
nlohmann::json measureTradeoff(const FleetDeployment &deployment, std::uint64_t seed)
{
    nlohmann::json points = nlohmann::json::array();
    const FleetHistory history = observeDemand(deployment, seed);
    for (const double weight : {0.0, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0}) {
        FleetDeployment weighted = deployment;
        weighted.weights = {1, weight, 1};
        const Row row = runPolicy(weighted, history, chosenPolicy(weighted, history), seed);
        points.push_back({{"deployment", deployment.name},
                          {"rollout_time_weight", weight},
                          {"buffer_cost", row.figures.bufferCost},
                          {"rollout_seconds", row.figures.rolloutSeconds},
                          {"late_requests", row.figures.lateRequests}});
    }
    return points;
}

nlohmann::json measureFleet(std::uint64_t seed)
{
    std::printf("%-12s %-17s %6s %11s %9s %9s %8s %7s %6s %10s %s\n", "deployment", "policy",
                "buffer", "buffer_cost", "bound", "rollout_s", "bound_s", "moves", "broken", "late",
                "waves");
    nlohmann::json rows = nlohmann::json::array();
    for (const FleetDeployment &deployment :
         {hanbitDeployment(), associationDeployment(), targetDeployment()}) {
        for (const Row &row : measureDeployment(deployment, seed)) {
            print(row);
            rows.push_back(toJson(row));
        }
    }
    return {{"seed", seed},
            {"rows", rows},
            {"tradeoff", measureTradeoff(associationDeployment(), seed)}};
}

// Runs both small deployments; tools/chart-fleet draws the printed table.
nlohmann::json measureTradeoffs(std::uint64_t seed)
{
    nlohmann::json points = nlohmann::json::array();
    for (const FleetDeployment &deployment : {hanbitDeployment(), associationDeployment()}) {
        for (const auto &point : measureTradeoff(deployment, seed))
            points.push_back(point);
    }
    for (const auto &point : points)
        std::printf("%s %g %.1f %.0f %.0f\n", point["deployment"].get<std::string>().c_str(),
                    point["rollout_time_weight"].get<double>(), point["buffer_cost"].get<double>(),
                    point["rollout_seconds"].get<double>(), point["late_requests"].get<double>());
    return {{"seed", seed}, {"tradeoff", points}};
}

const Registration kTradeoff({"fleet-tradeoff",
                              "buffer cost against roll-out time over the weight of roll-out time",
                              measureTradeoffs});

const Registration kRegistration({"fleet",
                                  "buffer cost, roll-out time and moves of buffer planning",
                                  measureFleet});

} // namespace

} // namespace chicorywick::measure
