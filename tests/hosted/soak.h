#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorywick::hosted {

/// @brief What a soak found.
struct SoakReport
{
    int accepted = 0;
    int faults = 0;
    std::vector<std::string> violations;

    bool operator==(const SoakReport &) const = default;
};

/// @brief Submits jobs to real daemons while they are killed, stopped, paused and restarted, the
/// store fails and runners fall silent; then waits until every accepted job has completed.
SoakReport runSoak(std::uint64_t seed, std::chrono::seconds duration);

} // namespace chicorywick::hosted
