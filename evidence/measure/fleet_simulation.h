#pragma once

#include "evidence/measure/fleet_demand.h"

#include <chicorywick/fleet/demand_window.h>
#include <chicorywick/fleet/lending.h>
#include <chicorywick/fleet/wave_pace.h>

#include <optional>

namespace chicorywick::measure {

enum class WavePolicy { OneAtATime, UpToBudget, Paced };

/// @brief A policy under measurement.
struct FleetPolicy
{
    std::string name;
    /// Buffer instances by pool.
    std::vector<std::uint32_t> buffer;
    bool lends = false;
    WavePolicy waves = WavePolicy::OneAtATime;
    base::Duration minStay{};
    base::Duration hold{};
    base::Duration queueTolerance{};
    std::uint32_t concurrentPeaks = 1;
    std::uint32_t reserve = 0;
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

/// @brief The observation phase that comes before all policies.
struct FleetHistory
{
    FleetDemand demand;
    std::vector<fleet::DemandWindow> windows;
    std::uint32_t concurrentPeaks = 0;
};

/// @brief Observes the demand for six hours.
FleetHistory observeDemand(const FleetDeployment &deployment, std::uint64_t seed);

/// @brief Runs a policy over small fakes in virtual time. Demand, failures and the duration of each
/// maintenance depend on the seed only, not on the policy.
class FleetSimulation
{
public:
    FleetSimulation(const FleetDeployment &deployment, FleetPolicy policy,
                    const FleetHistory &history, std::uint64_t seed);

    FleetFigures run();

private:
    enum class State { Serving, InFlight, Maintenance, Failed };

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
        // Counts that follow the members.
        std::uint32_t serving = 0;
        std::uint32_t members = 0;
        std::uint32_t down = 0;
        std::uint32_t arriving = 0;
        std::uint32_t waiting = 0;
        // Serving members and those on their way, without borrowed ones and with lent ones.
        std::uint32_t own = 0;
    };

    void addMembers(const FleetDeployment &deployment);
    /// @brief Adds a member to the counts of its pool, or removes it with -1.
    void count(const Member &member, std::int64_t sign);
    void enter(std::size_t member, State state, base::TimePoint until);
    void fail();
    void failMember(std::size_t member, base::Duration repair);
    void endStates();
    void serve(std::size_t pool, double offered);
    void account();
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
    double bound() const;
    base::Duration maintenanceTime(std::size_t member) const;

    FleetDeployment deployment_;
    FleetPolicy policy_;
    FleetDemand demand_;
    std::uint64_t seed_;
    base::Rng failures_;
    std::vector<PoolState> pools_;
    std::vector<Member> members_;
    // Members that are not serving, and those that began in the spare pool.
    std::vector<std::size_t> busy_;
    std::vector<std::size_t> spareBorn_;
    std::uint32_t unmaintained_ = 0;
    std::uint32_t failed_ = 0;
    base::TimePoint now_{std::chrono::hours(24)};
    base::TimePoint start_ = now_;
    base::TimePoint pacedAt_{};
    std::optional<base::TimePoint> waveSince_;
    base::TimePoint nextWave_;
    double boundSum_ = 0;
    double rolloutSum_ = 0;
    // Extra instances that each step would take from a buffer, for the lower bound.
    double extraSum_ = 0;
    double largestExtra_ = 0;
    FleetFigures figures_;
};

} // namespace chicorywick::measure
