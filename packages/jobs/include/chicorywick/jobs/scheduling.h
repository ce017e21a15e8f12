#pragma once

#include <chicorywick/jobs/job.h>

#include <map>
#include <span>

namespace chicorywick::jobs {

/// @brief The share and the limits of a team in a pool; a limit of 0 means none.
struct TeamQuota
{
    std::string team;
    std::uint64_t cpuMillis = 0;
    std::uint64_t accelerators = 0;
    double weight = 1;

    bool operator==(const TeamQuota &) const = default;
};

/// @brief What the attempts of a team have reserved.
struct TeamUse
{
    std::uint64_t cpuMillis = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const TeamUse &) const = default;
};

/// @brief A queued job as scheduling sees it.
struct QueueEntry
{
    std::size_t job = 0;
    std::string team;
    JobClass jobClass = JobClass::Normal;
    platform::Capacity wanted;
    base::TimePoint acceptedAt;
};

/// @brief The teams' use and limits at the moment of a decision.
struct TeamShares
{
    std::map<std::string, TeamUse> use;
    std::map<std::string, TeamQuota> quotas;

    bool allows(const std::string &team, const platform::Capacity &wanted) const;
    void add(const std::string &team, const platform::Capacity &wanted);
    /// @brief The team's reserved resources in relation to its weight.
    double share(const std::string &team) const;
};

/// @brief The jobs to place next, in order, at most limit.
///
/// Urgent jobs come first; within a class the team with the lowest share is next, then the oldest
/// job. Archive jobs get every tenth place, and after some time count as normal ones.
std::vector<QueueEntry> orderQueue(std::span<const QueueEntry> queue, TeamShares shares,
                                   base::TimePoint now, std::size_t limit);

/// @brief How long a job waits after an attempt that did not succeed, before the next one.
base::Duration retryDelay(const Job &job);

} // namespace chicorywick::jobs
