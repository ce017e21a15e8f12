#pragma once

#include <chicorywick/jobs/job.h>

#include <map>
#include <span>

namespace chicorywick::jobs {

/// @brief Weight and limits of a team; a limit of 0 means none.
struct TeamQuota
{
    std::string team;
    std::uint64_t cpuMillis = 0;
    std::uint64_t accelerators = 0;
    double weight = 1;

    bool operator==(const TeamQuota &) const = default;
};

/// @brief Resources reserved by the attempts of a team.
struct TeamUsage
{
    std::uint64_t cpuMillis = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const TeamUsage &) const = default;
};

/// @brief A queued job as input of the queue order.
struct QueueEntry
{
    std::size_t job = 0;
    std::string team;
    JobClass jobClass = JobClass::Normal;
    platform::Capacity requested;
    base::TimePoint acceptedAt;
};

/// @brief Usage and limits of the teams at the time of a decision.
struct TeamShares
{
    std::map<std::string, TeamUsage> usage;
    std::map<std::string, TeamQuota> quotas;

    bool allows(const std::string &team, const platform::Capacity &requested) const;
    void add(const std::string &team, const platform::Capacity &requested);
    /// @brief The team's reserved resources divided by its weight.
    double share(const std::string &team) const;
};

/// @brief The jobs to place next, in order; at most limit entries.
///
/// Urgent jobs come first; within a class the team with the lowest share is next, then the oldest
/// job. Every tenth place that no urgent job takes goes to an archive job. Archive jobs count as
/// normal ones after 30 minutes.
std::vector<QueueEntry> orderQueue(std::span<const QueueEntry> queue, TeamShares shares,
                                   base::TimePoint now, std::size_t limit);

/// @brief The delay before the next attempt; grows with the failed and lost attempts.
base::Duration retryDelay(const Job &job);

} // namespace chicorywick::jobs
