#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorywick::hosted {

/// @brief Parameters of a soak run.
struct SoakPlan
{
    std::uint64_t seed = 1;
    std::chrono::seconds duration{20}; ///< of the faults
    int crashingJobs = 0;              ///< jobs that crash each runner that starts them
    /// Tasks of a client account that may run at once, in a fleet of several cells; 0: no account.
    int accountLimit = 0;
    /// Large configurations are stored all the time, and links to the store are cut and narrowed.
    bool changesConfigurations = false;

    bool operator==(const SoakPlan &) const = default;
};

/// @brief Result of a soak run.
struct SoakReport
{
    int accepted = 0;
    int acceptedLimited = 0;  ///< of the account with a limit; not in accepted
    int acceptedCrashing = 0; ///< accepted jobs that crash their runners; not in accepted
    int crashes = 0;          ///< of runners
    int faults = 0;
    int configurations = 0; ///< stored during the faults
    std::vector<std::string> violations;

    bool operator==(const SoakReport &) const = default;
};

/// @brief Submits jobs to daemon processes while these are killed, stopped, paused and restarted,
/// the store fails and runners do not respond; then waits until all accepted jobs have completed
/// and those that crash their runners have failed.
SoakReport runSoak(const SoakPlan &plan);

} // namespace chicorywick::hosted
