#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicorywick::hosted {

/// @brief Load on daemon processes over platform stand-ins.
struct LoadPlan
{
    int daemons = 3;
    int runners = 60;
    int rate = 100; ///< jobs per second, with five tasks each
    int seconds = 10;
    /// Longest wait for the end of the accepted jobs; with cancellations, always that long.
    std::chrono::seconds drain{30};
    double share = 0;     ///< of a core, for each daemon; 0: no limit
    double cancelled = 0; ///< share of the accepted jobs
    std::chrono::milliseconds taskDuration{300};
    int payloadBytes = 0; ///< largest payload of a job
    std::uint64_t seed = 1;

    bool operator==(const LoadPlan &) const = default;
};

/// @brief Starts of tasks whose job's cancellation had been acknowledged.
struct CancelledStarts
{
    int count = 0;
    int late = 0; ///< more than kCancelBound after the acknowledgement
    std::chrono::milliseconds longest{0};

    bool operator==(const CancelledStarts &) const = default;
};

/// @brief A task may start this long after the acknowledged cancellation of its job (`cancel_ms`).
inline constexpr std::chrono::milliseconds kCancelBound{3'000};

struct LoadReport
{
    bool isReady = false;
    bool isDone = false; ///< all tasks of the accepted jobs; not known with cancellations
    int accepted = 0;
    int refused = 0;
    int unsent = 0;        ///< submissions for which no connection was free in time
    int cancellations = 0; ///< acknowledged
    int starts = 0;
    int tasksDone = 0;
    CancelledStarts cancelledStarts;
    std::chrono::milliseconds standInDelay{0}; ///< the longest
    std::vector<std::string> violations;
    nlohmann::json measured; ///< for the reader
};

LoadReport runLoad(const LoadPlan &plan);

} // namespace chicorywick::hosted
