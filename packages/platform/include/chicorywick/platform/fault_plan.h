#pragma once

#include <chicorywick/base/clock.h>

#include <set>
#include <string>

namespace chicorywick::platform {

/// @brief Faults of one service of the in-memory platform. Probabilities are per call.
struct ServiceFaults
{
    bool down = false;
    /// The call is not carried out and its caller gets no answer.
    double loseRequest = 0;
    /// The call is carried out and its caller gets no answer.
    double loseAnswer = 0;
    /// The call is carried out during a later call and its caller gets no answer (table commits
    /// only).
    double lateCommit = 0;
    /// Real time that every call takes; leave at zero under virtual time.
    base::Duration delay{};

    bool operator==(const ServiceFaults &) const = default;
};

/// @brief All faults that are in force.
struct FaultPlan
{
    ServiceFaults table;
    ServiceFaults objects;
    ServiceFaults list;
    ServiceFaults workers;
    ServiceFaults control;
    /// Availability zones that cannot reach the platform.
    std::set<std::string> cutZones;
    /// Age up to which the instance list is served without a new observation.
    base::Duration listLag = std::chrono::seconds(2);

    bool operator==(const FaultPlan &) const = default;
};

} // namespace chicorywick::platform
