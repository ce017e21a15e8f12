#pragma once

#include <cstdint>
#include <set>

namespace chicorywick::scheduler {

/// @brief What else ran on a worker when it crashed under a task.
struct CrashEvidence
{
    bool isStarting = false;     ///< no report had shown the run at work for a while
    bool isOnlyStarting = false; ///< no run of another job was starting there
    bool isOnlyRecent = false;   ///< no run of another job had started there in the last seconds
    bool isOnlyUnproven = false; ///< every run of another job there had lasted long

    bool operator==(const CrashEvidence &) const = default;
};

/// @brief The runs of a task under which a worker crashed, stored with the progress of its job.
struct CrashHistory
{
    std::set<std::int64_t> runs;
    std::set<std::int64_t> startingRuns; ///< subset: the worker crashed while the run was starting

    bool operator==(const CrashHistory &) const = default;

    void record(std::int64_t run, bool isStarting);
    void merge(const CrashHistory &other);

    bool empty() const { return runs.empty(); }

    /// @brief The next run starts on a worker where no run of another job is starting.
    bool needsTrial() const;

    /// @brief The next run gets a worker where every run of another job has lasted long.
    bool needsOwnWorker() const;

    bool isSuspected() const { return needsTrial() || needsOwnWorker(); }

    /// @brief The next run waits until it is known whether workers that fell silent have crashed.
    bool needsEvidence(int silentRuns) const;

    /// @brief True if the task has to be given up after a crash that is already recorded.
    bool isCause(const CrashEvidence &latest) const;
};

} // namespace chicorywick::scheduler
