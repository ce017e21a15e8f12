#pragma once

#include <chicorywick/scheduler/crash_history.h>
#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/task_id.h>
#include <chicorywick/scheduler/task_list.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief Stored progress of an unfinished occurrence.
struct OccurrenceProgress
{
    std::int64_t number = 0;
    std::vector<IndexSet> doneTasks;                                  ///< by step
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
    std::vector<TaskList> steps;
    std::vector<int> doneCounts;

    bool isDone(const JobSpec &spec) const;
};

/// @brief Largest number of occurrences of a job that are open at once.
std::size_t maxOpenOccurrences(const JobSpec &spec);

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
    /// @brief The task, which then takes memory of its own; for reading, use the const overload.
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

    /// @brief Drops the payload of a job in a final state; no task of it starts again.
    void dropPayload() { spec_.payload = {}; }

    /// @brief Drops the steps and tasks of a job in a final state that no worker knows any more.
    void compact();

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
    void unblockReadySteps(Occurrence &occurrence) const;
    bool isStepReady(const Occurrence &occurrence, std::size_t step) const;
    bool isDue(std::int64_t number, Millis wall) const;
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
