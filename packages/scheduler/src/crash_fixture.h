#pragma once

#include "scheduler_fixture.h"

namespace chicorywick::scheduler {

/// @brief Workers that crash under each task whose job is named "bad...".
struct CrashFixture : SchedulerFixture
{
    explicit CrashFixture(std::uint64_t seed = 1)
        : SchedulerFixture(seed)
    {
        workers.crashesWorker = [](const TaskId &task) {
            return task.job.starts_with("bad") && task.index == 0;
        };
        workers.onRestart = [this](const WorkerEntry &entry) { scheduler->upsertWorker(entry); };
    }

    // Discovery and the jobs table are read again by the next leader; running tasks are adopted.
    void changeLeader(const std::vector<JobSpec> &jobs)
    {
        const auto roster = scheduler->roster();
        startTerm();
        scheduler->addInheritedWorkers(roster);
        for (const JobSpec &job : jobs) {
            const auto found = stored.find(job.id);
            scheduler->addJob(job, found != stored.end() ? found->second : JobProgress{});
        }
        for (const WorkerEntry &entry : roster)
            scheduler->upsertWorker(entry);
    }
};

} // namespace chicorywick::scheduler
