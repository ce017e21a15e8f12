#pragma once

#include <chicorywick/base/clock.h>

#include <set>
#include <string>

namespace chicorywick::platform {

/// @brief Faults of one service of the in-memory platform. Probabilities are per call.
struct ServiceFaults
{
    bool down = false;
    /// The call is not executed and its caller receives no response.
    double loseRequest = 0;
    /// The call is executed and its caller receives no response.
    double loseAnswer = 0;
    /// The call is executed during a later call and its caller receives no response; applies to
    /// table commits only.
    double lateCommit = 0;
    /// Wall-clock delay of every call; must be zero under virtual time.
    base::Duration delay{};

    bool operator==(const ServiceFaults &) const = default;
};

/// @brief Faults of all services of the in-memory platform.
struct FaultPlan
{
    ServiceFaults table;
    ServiceFaults objects;
    ServiceFaults list;
    ServiceFaults workers;
    ServiceFaults control;
    /// Availability zones that cannot reach the platform.
    std::set<std::string> partitionedZones;
    /// Maximum age of the served instance list; an older one is observed again.
    base::Duration listLag = std::chrono::seconds(2);

    bool operator==(const FaultPlan &) const = default;
};

} // namespace chicorywick::platform
