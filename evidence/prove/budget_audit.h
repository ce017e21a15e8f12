#pragma once

#include "evidence/prove/simulated_fleet.h"

namespace chicorywick::prove {

/// @brief Checks the fleet's rows against the actual states of the platform's instances.
class BudgetAudit
{
public:
    /// @brief Records the current state of all instances. Call it after every change.
    void observe(SimulatedFleet &simulatedFleet);

    /// @brief Returns the violation caused by the change of the rows, or an empty string. An
    /// observation may be stale only if drivers freeze or commits are delayed.
    std::string check(const FleetRows &before, const FleetRows &after, bool mayBeStale) const;

    const std::map<std::string, platform::ActualInstanceState> &actualInstances() const
    {
        return actualInstances_;
    }

private:
    std::string checkPool(const std::string &name, const FleetRows &oldRows, const FleetRows &rows,
                          bool mayBeStale) const;
    std::string checkLimits(const v1::PoolRow &pool, const FleetRows &rows) const;
    std::string checkHealthObservation(const v1::PoolRow &pool, const FleetRows &rows,
                                       bool mayBeStale) const;
    std::string checkReleasedGrants(const std::string &name, const FleetRows &oldRows,
                                    const FleetRows &rows) const;
    std::string checkStoppedInstances(const FleetRows &rows) const;

    std::int64_t nowMs_ = 0;
    std::map<std::string, platform::ActualInstanceState> actualInstances_;
    /// Sets of unavailable instances by the time of their observation, in milliseconds.
    std::map<std::int64_t, std::vector<std::set<std::string>>> unavailableAt_;
    std::map<std::string, std::int64_t> lastAvailableMs_;
};

} // namespace chicorywick::prove
