#pragma once

#include <chicorywick/scheduler/crash_history.h>
#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/task_id.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

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

/// @brief Stored progress of an unfinished occurrence.
struct OccurrenceProgress
{
    std::int64_t number = 0;
    std::vector<std::set<int>> doneTasks;                             ///< by step
    std::map<std::pair<int, int>, std::set<std::int64_t>> failedRuns; ///< by step and index
    std::map<std::pair<int, int>, CrashHistory> crashes;              ///< by step and index

    bool operator==(const OccurrenceProgress &) const = default;
};

/// @brief Stored progress of a job. A new leader reads all other state from the workers.
struct JobProgress
{
    JobState state = JobState::Pending;
    std::int64_t begunOccurrences = 0;
    std::vector<OccurrenceProgress> open;
    /// Services that the queue has used besides that of the accepted policy.
    std::set<std::string> services = {};

    bool operator==(const JobProgress &) const = default;
};

/// @brief One execution of all steps of a job; a recurring job has several.
struct Occurrence
{
    std::int64_t number = 0;
    std::vector<std::vector<Task>> steps;
    std::vector<int> doneCounts;

    bool isDone(const JobSpec &spec) const;
};

/// @brief An accepted job with the state of its tasks.
class Job
{
public:
    Job(JobSpec spec, Millis acceptedSteady);

    const JobSpec &spec() const { return spec_; }
    JobState state() const;
    bool isCancelled() const { return isCancelled_; }
    Millis acceptedSteady() const { return acceptedSteady_; }
    Millis endedSteady() const { return endedSteady_; }

    /// @brief Restores stored progress. The end time of an ended job is set to now.
    void restore(const JobProgress &progress, Millis steady);
    JobProgress progress() const;

    /// @brief Tasks of open occurrences that are done according to the stored progress.
    std::vector<TaskId> tasksDoneIn(const JobProgress &progress) const;

    /// @brief Adds the failed and crashed runs of stored progress; returns the tasks that gained
    /// any.
    std::vector<TaskId> mergeLostRuns(const JobProgress &progress);

    /// @brief Begins due occurrences in order, as far as the limit of open occurrences allows;
    /// returns their numbers. Occurrences whose end is not stored yet count as open.
    std::vector<std::int64_t> beginDueOccurrences(Millis wall, std::size_t unstoredEnds);

    Occurrence *occurrence(std::int64_t number);
    const Occurrence *occurrence(std::int64_t number) const;
    Task *task(const TaskId &id);
    const Task *task(const TaskId &id) const;
    std::map<std::int64_t, Occurrence> &occurrences() { return occurrences_; }
    const std::map<std::int64_t, Occurrence> &occurrences() const { return occurrences_; }

    /// @brief Marks a task done; returns the steps that this makes ready.
    std::vector<int> finishTask(const TaskId &id, Millis steady);

    /// @brief Records a service that the queue uses; false if it is known. Only for jobs that have
    /// an accepted policy.
    bool addService(const std::string &service);

    /// @brief Services on which tasks may have been started.
    std::set<std::string> services() const;

    void markStarted() { hasStarted_ = true; }
    void cancel(Millis steady);
    void fail(Millis steady);

    /// @brief Estimated duration of the longest dependency path from a step to the end.
    Millis remainingCriticalPath(int step) const
    {
        return remainingCriticalPaths_[static_cast<std::size_t>(step)];
    }
    Millis criticalPath() const { return criticalPath_; }
    bool isPerpetual() const;

private:
    bool isStepReady(const Occurrence &occurrence, std::size_t step) const;
    bool isDue(std::int64_t number, Millis wall) const;
    std::size_t maxOpenOccurrences() const;
    Occurrence &beginOccurrence(std::int64_t number);
    std::int64_t occurrenceCount() const { return spec_.repeatCount > 0 ? spec_.repeatCount : 1; }

    JobSpec spec_;
    Millis acceptedSteady_;
    Millis endedSteady_ = 0;
    std::vector<Millis> remainingCriticalPaths_;
    Millis criticalPath_ = 0;
    std::map<std::int64_t, Occurrence> occurrences_; ///< begun and unfinished
    std::int64_t begunOccurrences_ = 0;
    std::set<std::string> laterServices_; ///< besides that of the accepted policy
    bool hasStarted_ = false;
    bool isCancelled_ = false;
    bool hasFailed_ = false;
    bool isCompleted_ = false;
};

} // namespace chicorywick::scheduler
