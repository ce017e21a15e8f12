#pragma once

#include "evidence/measure/fleet_demand.h"

#include <chicorywick/fleet/demand_window.h>
#include <chicorywick/fleet/lending.h>
#include <chicorywick/fleet/wave_pace.h>

#include <optional>

namespace chicorywick::measure {

enum class WavePolicy { OneAtATime, UpToBudget, Paced };

/// @brief A buffer, lending and wave policy to compare.
struct FleetPolicy
{
    std::string name;
    /// Buffer instances by pool.
    std::vector<std::uint32_t> buffer;
    bool lends = false;
    WavePolicy wavePolicy = WavePolicy::OneAtATime;
    base::Duration minMoveInterval{};
    base::Duration holdTime{};
    base::Duration queueTolerance{};
    std::uint32_t concurrentPeaks = 1;
    std::uint32_t failureReserve = 0;
};

struct FleetFigures
{
    double bufferCost = 0;
    double rolloutSeconds = 0;
    std::uint64_t moves = 0;
    std::uint64_t budgetViolations = 0;
    double lateRequests = 0;
    double rolloutLowerBound = 0;
    double bufferLowerBound = 0;
    std::uint32_t wavesFinished = 0;
    std::uint32_t wavesStarted = 0;
};

/// @brief Result of the observation phase, which all policies share.
struct FleetHistory
{
    FleetDemand demand;
    std::vector<fleet::DemandWindow> windows;
    std::uint32_t concurrentPeaks = 0;
};

/// @brief Observes the demand for six hours.
FleetHistory observeDemand(const FleetDeployment &deployment, std::uint64_t seed);

/// @brief Simulates a policy in virtual time. Demand, failures and the duration of each maintenance
/// depend only on the seed, not on the policy.
class FleetSimulation
{
public:
    FleetSimulation(const FleetDeployment &deployment, FleetPolicy policy,
                    const FleetHistory &history, std::uint64_t seed);

    FleetFigures run();

private:
    enum class State { Serving, Moving, Maintenance, Failed };

    struct Member
    {
        fleet::PlacedInstance place;
        std::size_t pool = 0;
        State state = State::Serving;
        base::TimePoint until{};
        base::TimePoint movedAt{};
        bool isLent = false;
        bool isMaintained = true;
    };

    struct PoolState
    {
        std::string name;
        std::uint32_t baseSize = 0;
        fleet::AvailabilityBudget budget;
        fleet::DemandWindow window;
        double backlog = 0;
        std::uint32_t needed = 0;
        // Counts maintained by count().
        std::uint32_t serving = 0;
        std::uint32_t members = 0;
        std::uint32_t down = 0;
        std::uint32_t arriving = 0;
        std::uint32_t awaitingMaintenance = 0;
        // Serving and moving members, including those lent out and excluding borrowed ones.
        std::uint32_t owned = 0;
    };

    void addMembers(const FleetDeployment &deployment);
    /// @brief Adds a member to the counts of its pool; a sign of -1 removes it.
    void count(const Member &member, std::int64_t sign);
    void enter(std::size_t member, State state, base::TimePoint until);
    void injectFailures();
    void failMember(std::size_t member, base::Duration repair);
    void endExpiredStates();
    void serve(std::size_t pool, double offered);
    void recordBufferCost();
    void startWave();
    void endWave();
    void pace();
    void lend();
    void apply(const fleet::InstanceMove &move);
    void disrupt(const fleet::PlanEntry &entry);
    void checkBudget(std::size_t pool);
    std::vector<fleet::PlacedInstance> unavailable(std::size_t pool) const;
    bool canStart(const PoolState &pool) const;
    std::vector<fleet::PacedPool> pacedPools() const;
    fleet::LendingPool lendingPool(std::size_t pool) const;
    double waveLowerBound() const;
    base::Duration maintenanceTime(std::size_t member) const;

    FleetDeployment deployment_;
    FleetPolicy policy_;
    FleetDemand demand_;
    std::uint64_t seed_;
    base::Rng failures_;
    std::vector<PoolState> pools_;
    std::vector<Member> members_;
    std::vector<std::size_t> notServing_;
    // Members that started in the spare pool.
    std::vector<std::size_t> initialSpares_;
    std::uint32_t unmaintained_ = 0;
    std::uint32_t failed_ = 0;
    base::TimePoint now_{std::chrono::hours(24)};
    base::TimePoint start_ = now_;
    base::TimePoint pacedAt_{};
    std::optional<base::TimePoint> waveStartedAt_;
    base::TimePoint nextWave_;
    double rolloutBoundSum_ = 0;
    double rolloutSum_ = 0;
    // Instances that each step needs from a buffer, for the lower bound.
    double extraSum_ = 0;
    double largestExtra_ = 0;
    FleetFigures figures_;
};

} // namespace chicorywick::measure
