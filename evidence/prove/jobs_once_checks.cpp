#include "evidence/prove/jobs_once_world.h"

#include <algorithm>
#include <sstream>

namespace chicorywick::prove {

// The invariants, checked against what the workers themselves saw.

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

std::map<std::string, jobs::Job> JobsOnceWorld::readJobs()
{
    // The check reads beside the faults, as an omniscient observer.
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

std::string JobsOnceWorld::checkRows()
{
    const auto jobs = readJobs();
    if (jobs.empty())
        return {};
    for (const auto &[key, job] : jobs) {
        auto &events = events_[key];
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
            return key + ": a terminal row changed or vanished\n" + traceOf(key);
    }
    return {};
}

bool JobsOnceWorld::isAllFinished()
{
    if (submitted_ < order_.size())
        return false;
    const auto jobs = readJobs();
    return std::all_of(jobs.begin(), jobs.end(),
                       [](const auto &entry) { return jobs::isTerminal(entry.second.state()); });
}

std::string JobsOnceWorld::checkEnd()
{
    const auto jobs = readJobs();
    // Looking at a worker makes it record which of its tasks have ended, and when.
    for (const auto &run : platform_->taskRuns())
        static_cast<void>(platform_->listTasks("z1", run.worker));
    for (const auto &[key, answers] : answers_) {
        const bool isStored = jobs.contains(key);
        if (answers.wasAccepted && !isStored)
            return key + ": accepted and lost\n" + traceOf(key);
        if (isStored && !answers.wasAccepted && !answers.mayBeAccepted)
            return key + ": recorded although every answer said that it was not\n" + traceOf(key);
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

std::string JobsOnceWorld::checkRuns(const std::string &key, const jobs::Job &job) const
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
        return "succeeded without a run that did";
    const bool saysNot =
            job.state() == jobs::JobState::Failed || job.state() == jobs::JobState::Cancelled;
    if (saysNot && hasSucceeded && job.lostAttempts() == 0)
        return "a run succeeded, and the job says that none did";
    const auto found = starts_.find(key);
    if (!job.spec().idempotent && found != starts_.end()) {
        const auto fresh = std::count_if(found->second.begin(), found->second.end(),
                                         [](const SeenStart &start) { return start.isFresh; });
        const bool isOnce = job.spec().checkpointable ? fresh <= 1 : found->second.size() <= 1;
        if (!isOnce)
            return "a non-idempotent job was started more than once";
    }
    const auto answers = answers_.find(key);
    if (job.state() == jobs::JobState::FateUnknown && job.spec().idempotent
        && !answers->second.cancelAsked)
        return "an idempotent job was given up";
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = 0; j < runs.size(); ++j) {
            if (runs[i].fence >= runs[j].fence)
                continue;
            const bool hasEnded = runs[i].state != platform::TaskState::Running;
            if (!hasEnded || runs[i].endedAt > runs[j].startedAt)
                return "two runs overlap";
            const bool isDisplaced =
                    runs[i].worker == runs[j].worker && runs[i].endedAt == runs[j].startedAt;
            if (isDisplaced)
                return "a new attempt started before the old one had ended";
        }
    }
    return {};
}

std::string JobsOnceWorld::traceOf(const std::string &key) const
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
    const auto events = events_.find(key);
    if (events != events_.end()) {
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
