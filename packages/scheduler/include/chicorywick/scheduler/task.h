#pragma once

#include <chicorywick/scheduler/crash_history.h>
#include <chicorywick/scheduler/model.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace chicorywick::scheduler {

enum class TaskPhase {
    Blocked, ///< a step it depends on is not done
    Ready,
    Starting, ///< the start order is sent and not confirmed
    Running,
    Stopping,
    Done,
};

/// @brief Why a run is stopped.
enum class StopReason {
    JobEnded,
    NotStarted, ///< the worker's list lacks the run, and its start order may still arrive
    Unassigned, ///< the run is not assigned to the worker that lists it
    Superseded, ///< another run of the task is done or stays
    Draining,   ///< the worker is shutting down
    Maintenance,
};

/// @brief A task and its current run.
struct Task
{
    TaskPhase phase = TaskPhase::Blocked;
    std::int64_t run = 0;        ///< number of the current run
    std::int64_t highestRun = 0; ///< highest run number seen; the next run gets a higher one
    std::int64_t endedRun = 0;   ///< highest run whose end was seen
    std::set<std::int64_t> failedRuns;
    CrashHistory crashes;
    std::string worker;        ///< worker id; empty unless Starting, Running or Stopping
    std::string avoidedWorker; ///< worker on which the last run failed
    std::string checkpoint;
    std::shared_ptr<const void> accountUse; ///< counts the run towards its account while it exists
    Millis phaseSince = 0;
    Millis heldUntil = 0; ///< no start before, unless the worker of a lost run returns
    int silentRuns = 0; ///< runs that were lost when a lease expired, and may have crashed a worker
    Millis startedAt = 0;              ///< when the current run was assigned or adopted
    Millis readySince = 0;             ///< time from which the current run could start
    std::uint64_t lastReplyNumber = 0; ///< of the latest reply to a start or stop order
    int unansweredStarts = 0;          ///< start orders without a reply yet
    bool isStopConfirmed = false;
    bool isStopPending = false;
    StopReason stopReason = StopReason::JobEnded; ///< of the current run, while it is Stopping
    Millis stopExpectedUntil = 0; ///< an unanswered stop of the current run may still be executed
    bool hasBegun = false;        ///< the worker has accepted or listed the current run
    bool isListed = false;        ///< the worker has listed the current run
    bool isAdopted = false;       ///< a worker listed the current run before it was assigned here
    bool isSettled = false;       ///< a task list has shown the current run at work for a while
    bool wasMissing = false; ///< start order without a reply, and the worker did not list the task
    int percent = 0;
    int pacePercent = 100;
    std::int64_t load = 0;
};

} // namespace chicorywick::scheduler
