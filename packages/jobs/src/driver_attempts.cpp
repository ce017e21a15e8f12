#include "driver_core.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// Consecutive workers without an answer after which a step polls no more, since each may cost a
// timeout; the next step goes on with the others.
constexpr std::size_t kMaxFailedPolls = 8;

// Usage above its reservation by less than this is within the lag and noise of the reports.
constexpr double kCpuTolerance = 1.25;
constexpr double kMemoryTolerance = 1.1;
constexpr base::Duration kSampleInterval = std::chrono::seconds(10);

// More quarantined workers than this share of a pool point to a common cause outside of them.
constexpr std::size_t kQuarantineDivisor = 5;

bool isOver(const platform::TaskStatus &status, const platform::Capacity &reserved)
{
    return status.cpuMillis > reserved.cpuMillis * kCpuTolerance
           || status.memoryMib > reserved.memoryMib * kMemoryTolerance;
}

} // namespace

AttemptNotes &JobDriver::Core::notesOf(const std::string &key, std::uint64_t attempt)
{
    AttemptNotes &notes = notes_[key];
    if (notes.attempt != attempt)
        notes = {.attempt = attempt};
    return notes;
}

bool JobDriver::Core::isUnsent(const StoredJob &stored, const std::string &key) const
{
    const auto found = unsent_.find(key);
    return found != unsent_.end() && stored.job.state() == JobState::Starting
           && stored.writer == found->second.writer;
}

std::vector<AttemptChange> JobDriver::Core::observeAttempts()
{
    std::vector<AttemptChange> changes;
    ActiveByWorker byWorker;
    for (const auto &[pool, jobs] : cache_.pools()) {
        for (const ActiveJob &entry : jobs) {
            if (!isActive(entry.second.job.state()))
                continue;
            if (isUnsent(entry.second, entry.first))
                observeAttempt(entry.second, entry.first, {.neverStarted = true}, changes);
            else
                byWorker[entry.second.job.worker()].push_back(&entry);
        }
    }
    std::size_t failedPolls = 0;
    for (const std::string &worker : workersToPoll(byWorker)) {
        if (failedPolls >= kMaxFailedPolls)
            break;
        observeWorker(worker, byWorker.at(worker), changes, failedPolls);
    }
    std::erase_if(nextPoll_, [&](const auto &entry) { return !byWorker.contains(entry.first); });
    return changes;
}

std::vector<std::string> JobDriver::Core::workersToPoll(const ActiveByWorker &byWorker) const
{
    std::vector<std::pair<base::TimePoint, std::string>> due;
    const base::TimePoint time = now();
    for (const auto &[worker, active] : byWorker) {
        const auto found = nextPoll_.find(worker);
        const base::TimePoint at = found == nextPoll_.end() ? base::TimePoint{} : found->second;
        if (at <= time)
            due.emplace_back(at, worker);
    }
    std::sort(due.begin(), due.end());
    if (due.size() > options_.maxPollsPerStep)
        due.resize(options_.maxPollsPerStep);
    std::vector<std::string> workers;
    workers.reserve(due.size());
    for (auto &[at, worker] : due)
        workers.push_back(std::move(worker));
    return workers;
}

void JobDriver::Core::observeWorker(const std::string &worker,
                                    const std::vector<const ActiveJob *> &active,
                                    std::vector<AttemptChange> &changes, std::size_t &failedPolls)
{
    nextPoll_[worker] = now() + options_.pollInterval;
    ++report_.polledWorkers;
    announce("Workers.tasks");
    const auto tasks = platform_.workers.tasks(worker);
    failedPolls = tasks ? 0 : failedPolls + 1;
    std::unordered_map<std::string, const platform::TaskStatus *> byTask;
    if (tasks) {
        for (const platform::TaskStatus &status : tasks.value())
            byTask.emplace(status.task, &status);
    }
    for (const ActiveJob *entry : active) {
        const auto &[key, stored] = *entry;
        AttemptObservation observation;
        observation.sighting = tasks ? Sighting::NotListed : Sighting::Unreachable;
        const auto found = byTask.find(key);
        if (found != byTask.end() && found->second->fence == stored.job.attempt()) {
            observation.status = *found->second;
            observation.sighting = platform::isEnded(observation.status.state) ? Sighting::Ended
                                                                               : Sighting::Running;
        }
        observeAttempt(stored, key, std::move(observation), changes);
    }
}

void JobDriver::Core::observeAttempt(const StoredJob &stored, const std::string &key,
                                     AttemptObservation observation,
                                     std::vector<AttemptChange> &changes)
{
    const Job &job = stored.job;
    AttemptNotes &notes = notesOf(key, job.attempt());
    observation.workerInterrupted = fleet_.wasInterrupted(job.worker(), now());
    observation.renewedAt = std::max(notes.renewedAt, observation.status.startedAt);
    observation.preempt = notes.isPreempted;
    observation.tableDown = tableDown_;
    if (observation.sighting == Sighting::Running)
        noteUsage(job, notes, observation);
    if (observation.sighting == Sighting::Ended)
        judgeOutcome(job, key, notes, observation);
    const AttemptStep step = decideAttempt(job, observation, options_.lease, now());
    if (step.command != TaskCommand::None)
        sendCommand(job, key, step.command, notes);
    if (step.end || step.confirmRunning || step.extendTo)
        changes.push_back({key, job.attempt(), step.end, step.confirmRunning, step.extendTo});
}

void JobDriver::Core::noteUsage(const Job &job, AttemptNotes &notes,
                                AttemptObservation &observation)
{
    const platform::TaskStatus &status = observation.status;
    if (status.memoryMib == 0)
        return;
    if (!isOver(status, job.reserved()))
        notes.overSince = {};
    else if (notes.overSince == base::TimePoint{})
        notes.overSince = now();
    if (notes.overSince != base::TimePoint{})
        observation.overuse = now() - notes.overSince + base::Duration(1);
    // The processor use of a throttled task says nothing about its need.
    if (notes.isThrottled || now() - notes.sampledAt < kSampleInterval)
        return;
    notes.sampledAt = now();
    usage_.recordUsage(job.spec().kind, {status.cpuMillis, status.memoryMib});
}

// Evidence counts once for each attempt, also if its completion has to be written again.
void JobDriver::Core::judgeOutcome(const Job &job, const std::string &key, AttemptNotes &notes,
                                   AttemptObservation &observation)
{
    const platform::TaskStatus &status = observation.status;
    const bool isFailure =
            status.state == platform::TaskState::Failed && !observation.workerInterrupted;
    if (!notes.isJudged && isFailure)
        health_.recordFailure(job.worker(), job.spec().kind, key, now());
    if (!notes.isJudged && status.state == platform::TaskState::Succeeded) {
        health_.recordSuccess(job.worker(), job.spec().kind, now());
        usage_.recordRunTime(job.spec().kind, status.endedAt - status.startedAt);
        if (!notes.isThrottled && status.memoryMib > 0)
            usage_.recordUsage(job.spec().kind, {status.cpuMillis, status.memoryMib});
    }
    notes.isJudged = true;
    if (isFailure)
        observation.cannotRun = health_.cannotRun(job.failedWorkers(), job.worker(), now());
}

void JobDriver::Core::sendCommand(const Job &job, const std::string &key, TaskCommand command,
                                  AttemptNotes &notes)
{
    const platform::TaskRef ref{job.worker(), key, job.attempt()};
    const base::TimePoint sentAt = now();
    switch (command) {
    case TaskCommand::Renew:
        announce("Workers.renew");
        if (platform_.workers.renew(ref, options_.lease.workerLease))
            notes.renewedAt = sentAt;
        return;
    case TaskCommand::Throttle:
        if (notes.isThrottled)
            return;
        announce("Workers.throttle");
        notes.isThrottled = platform_.workers.throttle(ref, job.reserved().cpuMillis).has_value();
        base::logEvent(base::Event::JobThrottled, {{"job", key}, {"worker", job.worker()}});
        return;
    case TaskCommand::Checkpoint:
        announce("Workers.checkpoint");
        static_cast<void>(platform_.workers.checkpoint(ref));
        break;
    case TaskCommand::Stop:
        announce("Workers.stop");
        static_cast<void>(platform_.workers.stop(ref));
        break;
    case TaskCommand::None:
        return;
    }
    // The attempt is about to end; its room is wanted soon.
    nextPoll_[job.worker()] = {};
}

void JobDriver::Core::quarantineSuspects()
{
    if (!options_.quarantineWorkers || !isTableUsable())
        return;
    for (const std::string &worker : health_.suspects()) {
        const std::string pool = fleet_.poolOf(worker);
        const std::size_t most =
                std::max<std::size_t>(1, fleet_.poolSize(pool) / kQuarantineDivisor);
        if (fleet_.isQuarantined(worker) || fleet_.quarantinedIn(pool) >= most)
            continue;
        if (!options_.writeBudget->tryTake(now()))
            return;
        const WorkerRecord record{.id = worker,
                                  .quarantined = true,
                                  .reason = "distinct jobs fail here that run elsewhere",
                                  .since = now(),
                                  .failedJobs = health_.failedJobs(worker)};
        const auto written = repository_.writeWorker(record, fleet_.recordVersion(worker));
        if (!written)
            continue;
        fleet_.setQuarantined(worker, written.value());
        ++report_.quarantined;
        base::logEvent(base::Event::WorkerQuarantined, {{"worker", worker}});
    }
}

} // namespace chicorywick::jobs
