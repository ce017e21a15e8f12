#pragma once

#include "evidence/prove/fleet_world.h"

namespace chicorywick::prove {

/// @brief Checks the rows of the fleet against what the platform's instances really did.
class BudgetAudit
{
public:
    /// @brief Records the state of all instances now; call it after every change.
    void observe(FleetWorld &world);

    /// @brief The violation by the change of the rows, or nothing. An observation may be old only
    /// if drivers freeze or commits arrive late.
    std::string check(const FleetRows &before, const FleetRows &after, bool mayBeLate) const;

    const std::map<std::string, platform::ActualInstanceState> &truth() const { return truth_; }

private:
    std::string checkPool(const std::string &name, const FleetRows &oldRows, const FleetRows &rows,
                          bool mayBeLate) const;
    std::string checkLimits(const v1::PoolRow &pool, const FleetRows &rows) const;
    std::string checkObservation(const v1::PoolRow &pool, const FleetRows &rows,
                                 bool mayBeLate) const;
    std::string checkReturns(const std::string &name, const FleetRows &oldRows,
                             const FleetRows &rows) const;
    std::string checkMachines(const FleetRows &rows) const;

    std::int64_t nowMs_ = 0;
    std::map<std::string, platform::ActualInstanceState> truth_;
    /// Sets of unavailable instances, by the time at which they were so.
    std::map<std::int64_t, std::vector<std::set<std::string>>> unavailableAt_;
    std::map<std::string, std::int64_t> lastAvailableMs_;
};

} // namespace chicorywick::prove
