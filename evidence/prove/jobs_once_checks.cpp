#include "evidence/prove/jobs_once_simulation.h"

#include <algorithm>
#include <sstream>

namespace chicorywick::prove {

// Checks the invariants against the task runs recorded by the workers. Guards against jobs that are
// lost, run twice or get the wrong outcome after crashes, expired leases and lost replies.

namespace {

const char *nameOf(jobs::JobState state)
{
    constexpr const char *kNames[] = {"queued", "starting",  "running",     "succeeded",
                                      "failed", "cancelled", "fate-unknown"};
    return kNames[static_cast<int>(state)];
}

const char *nameOf(platform::TaskState state)
{
    constexpr const char *kNames[] = {"running", "succeeded",     "failed",
                                      "stopped", "lease-expired", "checkpointed"};
    return kNames[static_cast<int>(state)];
}

} // namespace

std::map<std::string, jobs::Job> JobsOnceSimulation::readJobs()
{
    // Turns the faults off for the read, so that the check always sees the actual rows.
    const platform::FaultPlan faults = platform_->faults();
    platform_->setFaults({});
    std::map<std::string, jobs::Job> jobs;
    const auto page = platform_->scanRows("z1", "job/", "", platform::kMaxScanRows);
    platform_->setFaults(faults);
    if (!page)
        return jobs;
    for (const platform::Row &row : page.value().rows) {
        v1::JobRow message;
        message.ParseFromString(row.value);
        jobs.emplace(row.key, jobs::Job::fromRow(message).value());
    }
    return jobs;
}

std::string JobsOnceSimulation::checkRows()
{
    const auto jobs = readJobs();
    if (jobs.empty())
        return {};
    for (const auto &[key, job] : jobs) {
        auto &events = rowHistory_[key];
        std::ostringstream line;
        line << nameOf(job.state()) << " attempt " << job.attempt() << " on " << job.worker();
        if (events.empty() || events.back() != line.str())
            events.push_back(line.str());
        if (jobs::isTerminal(job.state()))
            terminal_.emplace(key, job);
    }
    for (const auto &[key, before] : terminal_) {
        const auto found = jobs.find(key);
        if (found == jobs.end() || found->second != before)
            return key + ": a terminal row changed or was removed\n" + traceOf(key);
    }
    return {};
}

bool JobsOnceSimulation::isAllFinished()
{
    if (submitted_ < order_.size())
        return false;
    const auto jobs = readJobs();
    return std::all_of(jobs.begin(), jobs.end(),
                       [](const auto &entry) { return jobs::isTerminal(entry.second.state()); });
}

std::string JobsOnceSimulation::checkEnd()
{
    const auto jobs = readJobs();
    // Listing the tasks of a worker makes it record which of them have ended, and when.
    for (const auto &run : platform_->taskRuns())
        static_cast<void>(platform_->listTasks("z1", run.worker));
    for (const auto &[key, submission] : submissions_) {
        const bool isStored = jobs.contains(key);
        if (submission.wasAccepted && !isStored)
            return key + ": accepted, but not stored\n" + traceOf(key);
        if (isStored && !submission.wasAccepted && !submission.mayBeAccepted)
            return key + ": stored although every reply was a rejection\n" + traceOf(key);
    }
    for (const auto &[key, job] : jobs) {
        if (!jobs::isTerminal(job.state()))
            return key + ": never finished\n" + traceOf(key);
        if (std::string violation = checkRuns(key, job); !violation.empty())
            return std::string(key).append(": ").append(violation).append("\n").append(
                    traceOf(key));
    }
    return {};
}

std::string JobsOnceSimulation::checkRuns(const std::string &key, const jobs::Job &job) const
{
    std::vector<platform::TaskRun> runs;
    for (const platform::TaskRun &run : platform_->taskRuns()) {
        if (run.task == key)
            runs.push_back(run);
    }
    const bool hasSucceeded = std::any_of(runs.begin(), runs.end(), [](const auto &run) {
        return run.state == platform::TaskState::Succeeded;
    });
    if (job.state() == jobs::JobState::Succeeded && !hasSucceeded)
        return "the job succeeded without a successful run";
    const bool isReportedUnsuccessful =
            job.state() == jobs::JobState::Failed || job.state() == jobs::JobState::Cancelled;
    if (isReportedUnsuccessful && hasSucceeded && job.lostAttempts() == 0)
        return "a run succeeded, but the job is reported as failed or cancelled";
    const auto found = starts_.find(key);
    if (!job.spec().idempotent && found != starts_.end()) {
        const auto fresh = std::count_if(found->second.begin(), found->second.end(),
                                         [](const ObservedStart &start) { return start.isFresh; });
        const bool isStartedOnce =
                job.spec().checkpointable ? fresh <= 1 : found->second.size() <= 1;
        if (!isStartedOnce)
            return "a non-idempotent job was started more than once";
    }
    const auto submission = submissions_.find(key);
    if (job.state() == jobs::JobState::FateUnknown && job.spec().idempotent
        && !submission->second.cancelRequested)
        return "an idempotent job ended with an unknown fate";
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = 0; j < runs.size(); ++j) {
            if (runs[i].fence >= runs[j].fence)
                continue;
            const bool hasEnded = runs[i].state != platform::TaskState::Running;
            if (!hasEnded || runs[i].endedAt > runs[j].startedAt)
                return "two runs overlap";
            const bool hasDisplaced =
                    runs[i].worker == runs[j].worker && runs[i].endedAt == runs[j].startedAt;
            if (hasDisplaced)
                return "a new attempt displaced the old one on the same worker";
        }
    }
    return {};
}

std::string JobsOnceSimulation::traceOf(const std::string &key) const
{
    std::ostringstream trace;
    const auto seconds = [](base::TimePoint time) {
        return static_cast<double>(time.time_since_epoch().count()
                                   - base::ManualTime().now().time_since_epoch().count())
               / 1e6;
    };
    const auto &spec = plans_.at(key).spec;
    trace << "  idempotent " << spec.idempotent() << ", checkpointable " << spec.checkpointable()
          << '\n';
    const auto events = rowHistory_.find(key);
    if (events != rowHistory_.end()) {
        for (const std::string &event : events->second)
            trace << "  row " << event << '\n';
    }
    for (const platform::TaskRun &run : platform_->taskRuns()) {
        if (run.task == key)
            trace << "  run " << run.fence << " on " << run.worker << ' ' << nameOf(run.state)
                  << " from " << seconds(run.startedAt) << " s to " << seconds(run.endedAt)
                  << " s\n";
    }
    trace << "  now " << seconds(time_->now()) << " s";
    return trace.str();
}

} // namespace chicorywick::prove
