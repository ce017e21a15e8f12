#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <vector>

namespace chicorywick::scheduler {

namespace {

constexpr double kMillisPerCore = 1'000;
// Part of the processors that tasks of different sizes fill.
constexpr double kPackingShare = 0.85;
// A moved machine joins after 1.5 s; those on their way have waited for half of it on average.
constexpr Millis kJoinMs = 750;
constexpr std::size_t kMaxPlannedJobs = 400;
constexpr Millis kReportPeriodMs = 1'000;

double workOf(const StepSpec &step, Millis durationMs)
{
    return static_cast<double>(reservedFor(step).cpuMillis) / kMillisPerCore
           * static_cast<double>(durationMs);
}

// What is left of a job, in milliseconds of a core.
struct RemainingWork
{
    Millis path = 0;
    double waiting = 0;
    double running = 0;
};

RemainingWork remainingWorkOf(const Job &job, Millis now)
{
    RemainingWork remaining;
    for (const auto &[number, occurrence] : job.occurrences())
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const StepSpec &step = job.spec().steps[index];
            const TaskList &tasks = occurrence.steps[index];
            remaining.waiting += tasks.waitingCount() * workOf(step, step.estimatedMs);
            for (const auto &[taskIndex, task] : tasks.edited())
                if (task.phase != TaskPhase::Done && !task.worker.empty())
                    remaining.running += workOf(
                            step, std::clamp<Millis>(step.estimatedMs - (now - task.startedAt), 0,
                                                     step.estimatedMs));
            if (occurrence.doneCounts[index] < step.taskCount)
                remaining.path = std::max(remaining.path,
                                          job.remainingCriticalPath(static_cast<int>(index)));
        }
    return remaining;
}

} // namespace

// Perpetual jobs do not come at a rate.
void Scheduler::recordShare(JobEntry &entry)
{
    const auto account = accounts_.find(entry.job.spec().account);
    if (account != accounts_.end() && !entry.job.isPerpetual())
        entry.shareTime = accountRates_[account->first].record(
                account->second.weight * settings_.shareOfJobs, entry.job.acceptedSteady());
}

Millis Scheduler::objectiveOf(const Job &job) const
{
    const QueuePolicy *const policy = policyOf(job);
    if (policy == nullptr)
        return job.criticalPath();
    return static_cast<Millis>(policy->stretch * static_cast<double>(job.criticalPath()))
           + policy->targetCompletionMs;
}

void Scheduler::setJoiningCpu(std::map<std::string, std::int64_t> cpuMillis)
{
    joiningCpuMillis_ = std::move(cpuMillis);
}

BacklogCapacity Scheduler::capacityOf(const std::string &service) const
{
    const Millis now = hooks_.clock().steady;
    std::int64_t cpuMillis = 0;
    for (const Worker *const worker : workersFor(service))
        if (isUsable(*worker, now))
            cpuMillis += std::max<std::int64_t>(
                    worker->entry.capacity.cpuMillis - worker->usedByPerpetual.cpuMillis, 0);
    const auto joining = joiningCpuMillis_.find(service);
    const std::int64_t joiningCpuMillis = joining != joiningCpuMillis_.end() ? joining->second : 0;
    return {.cores = kPackingShare * static_cast<double>(cpuMillis) / kMillisPerCore,
            .joiningCores = kPackingShare * static_cast<double>(joiningCpuMillis) / kMillisPerCore,
            .joinMs = kJoinMs};
}

// Chooses again at each refresh which jobs wait for others: capacity and backlog change within a
// second at the start and the end of a peak.
void Scheduler::planBacklogs()
{
    if (!settings_.controlsOverload)
        return;
    struct Backlog
    {
        std::vector<JobEntry *> entries;
        std::vector<BacklogJob> jobs;
        double runningMillis = 0;
    };
    const Millis now = hooks_.clock().steady;
    std::map<std::string, Backlog> backlogs;
    for (const auto &[id, entry] : openJobs_) {
        const QueuePolicy *const policy = policyOf(entry->job);
        if (policy == nullptr || entry->job.isPerpetual())
            continue;
        Backlog &backlog = backlogs[policy->service];
        const RemainingWork remaining = remainingWorkOf(entry->job, now);
        backlog.runningMillis += remaining.running;
        const Millis due = entry->job.acceptedSteady() + objectiveOf(entry->job);
        const bool isPlanned = entry->job.spec().repeatCount == 0 && due - remaining.path >= now;
        if (!isPlanned)
            continue;
        backlog.entries.push_back(entry);
        backlog.jobs.push_back({.due = due,
                                .workMillis = remaining.waiting,
                                .priority = policy->priority,
                                .isOverShare = entry->shareTime > now});
    }
    backlogMs_.clear();
    for (auto &[service, backlog] : backlogs) {
        BacklogCapacity capacity = capacityOf(service);
        capacity.busyMillis = backlog.runningMillis;
        const std::size_t planned = std::min(backlog.jobs.size(), kMaxPlannedJobs);
        const std::set<std::size_t> deferred =
                planBacklog(std::span(backlog.jobs).first(planned), capacity, now);
        double work = 0;
        std::size_t overShare = 0;
        for (std::size_t i = 0; i < backlog.jobs.size(); ++i) {
            setDeferred(*backlog.entries[i], deferred.contains(i));
            work += deferred.contains(i) ? 0 : backlog.jobs[i].workMillis;
            overShare += backlog.jobs[i].isOverShare ? 1 : 0;
        }
        if (work > 0 && capacity.cores > 0)
            backlogMs_[service] = static_cast<Millis>(timeFor(work, capacity));
        reportBacklog(service, backlog.jobs.size(), overShare, deferred.size());
    }
}

void Scheduler::setDeferred(JobEntry &entry, bool isDeferred)
{
    if (entry.isDeferred == isDeferred)
        return;
    entry.isDeferred = isDeferred;
    const QueuePolicy *const policy = policyOf(entry.job);
    for (const auto &[place, key] : std::map(entry.ready))
        moveStep(ready_[policy->service], key);
    servicesToPlace_.insert(policy->service);
}

void Scheduler::reportBacklog(const std::string &service, std::size_t jobs, std::size_t overShare,
                              std::size_t deferred)
{
    const Millis now = hooks_.clock().steady;
    const auto [report, isNew] = backlogReports_.try_emplace(service);
    const bool isOrdinary = deferred == 0 && overShare == 0;
    // The end of a backlog is reported once, so that the metrics fall to zero.
    if ((isOrdinary && report->second.isOrdinary) || now - report->second.at < kReportPeriodMs)
        return;
    report->second = {.at = now, .isOrdinary = isOrdinary};
    const auto backlog = backlogMs_.find(service);
    base::logEvent(
            base::Event::JobsDeferred,
            {{"service", service},
             {"jobs", std::to_string(jobs)},
             {"over_share", std::to_string(overShare)},
             {"deferred", std::to_string(deferred)},
             {"backlog_ms", std::to_string(backlog != backlogMs_.end() ? backlog->second : 0)}});
}

std::map<std::string, Millis> Scheduler::backlogs() const
{
    std::map<std::string, Millis> byQueue;
    for (const auto &[queue, policy] : queues_)
        if (const auto backlog = backlogMs_.find(policy.service); backlog != backlogMs_.end())
            byQueue.emplace(queue, backlog->second);
    return byQueue;
}

} // namespace chicorywick::scheduler
