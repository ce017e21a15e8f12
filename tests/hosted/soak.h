#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorywick::hosted {

/// @brief Result of a soak run.
struct SoakReport
{
    int accepted = 0;
    int faults = 0;
    std::vector<std::string> violations;

    bool operator==(const SoakReport &) const = default;
};

/// @brief Submits jobs to daemon processes while these are killed, stopped, paused and restarted,
/// the store fails and runners do not respond; then waits until all accepted jobs have completed.
SoakReport runSoak(std::uint64_t seed, std::chrono::seconds duration);

} // namespace chicorywick::hosted
