#include "driver_core.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::jobs {

namespace {

// Consecutive failed polls after which a step stops polling, because each may cost a timeout. The
// next step continues with the other workers.
constexpr std::size_t kMaxFailedPolls = 8;

// Usage up to this multiple of the reservation is within the lag and noise of the reports.
constexpr double kCpuTolerance = 1.25;
constexpr double kMemoryTolerance = 1.1;
constexpr base::Duration kSampleInterval = std::chrono::seconds(10);

// At most a fifth of a pool's workers, but at least one, may be quarantined. More faulty workers
// point to a common cause outside of them.
constexpr std::size_t kQuarantineDivisor = 5;

bool exceedsReservation(const platform::TaskStatus &status, const platform::Capacity &reserved)
{
    return status.cpuMillis > reserved.cpuMillis * kCpuTolerance
           || status.memoryMib > reserved.memoryMib * kMemoryTolerance;
}

} // namespace

AttemptLocalState &JobDriver::Core::localStateOf(const std::string &key, std::uint64_t attempt)
{
    AttemptLocalState &localState = localStates_[key];
    if (localState.attempt != attempt)
        localState = {.attempt = attempt};
    return localState;
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
    notifyBeforeCall("Workers.tasks");
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
        observation.pollResult = tasks ? PollResult::NotListed : PollResult::Unreachable;
        const auto found = byTask.find(key);
        if (found != byTask.end() && found->second->fence == stored.job.attempt()) {
            observation.status = *found->second;
            observation.pollResult = platform::isEnded(observation.status.state)
                                             ? PollResult::Ended
                                             : PollResult::Running;
        }
        observeAttempt(stored, key, std::move(observation), changes);
    }
}

void JobDriver::Core::observeAttempt(const StoredJob &stored, const std::string &key,
                                     AttemptObservation observation,
                                     std::vector<AttemptChange> &changes)
{
    const Job &job = stored.job;
    AttemptLocalState &localState = localStateOf(key, job.attempt());
    observation.workerInterrupted = fleet_.wasInterrupted(job.worker(), now());
    observation.renewedAt = std::max(localState.renewedAt, observation.status.startedAt);
    observation.preempt = localState.isPreempted;
    observation.tableDown = tableDown_;
    if (observation.pollResult == PollResult::Running)
        trackUsage(job, localState, observation);
    if (observation.pollResult == PollResult::Ended)
        recordOutcome(job, key, localState, observation);
    const AttemptDecision attemptDecision = decideAttempt(job, observation, options_.lease, now());
    if (attemptDecision.command != TaskCommand::None)
        sendCommand(job, key, attemptDecision.command, localState);
    if (attemptDecision.end || attemptDecision.confirmRunning || attemptDecision.extendTo)
        changes.push_back({key, job.attempt(), attemptDecision.end, attemptDecision.confirmRunning,
                           attemptDecision.extendTo});
}

void JobDriver::Core::trackUsage(const Job &job, AttemptLocalState &localState,
                                 AttemptObservation &observation)
{
    const platform::TaskStatus &status = observation.status;
    if (status.memoryMib == 0)
        return;
    if (!exceedsReservation(status, job.reserved()))
        localState.overuseSince = {};
    else if (localState.overuseSince == base::TimePoint{})
        localState.overuseSince = now();
    if (localState.overuseSince != base::TimePoint{})
        observation.overuse = now() - localState.overuseSince + base::Duration(1);
    // The CPU usage of a throttled task does not show its need.
    if (localState.isThrottled || now() - localState.sampledAt < kSampleInterval)
        return;
    localState.sampledAt = now();
    usage_.recordUsage(job.spec().kind, {status.cpuMillis, status.memoryMib});
}

// An outcome is recorded once for each attempt, even if its completion has to be written again.
void JobDriver::Core::recordOutcome(const Job &job, const std::string &key,
                                    AttemptLocalState &localState, AttemptObservation &observation)
{
    const platform::TaskStatus &status = observation.status;
    const bool isFailure =
            status.state == platform::TaskState::Failed && !observation.workerInterrupted;
    if (!localState.isOutcomeRecorded && isFailure)
        health_.recordFailure(job.worker(), job.spec().kind, key, now());
    if (!localState.isOutcomeRecorded && status.state == platform::TaskState::Succeeded) {
        health_.recordSuccess(job.worker(), job.spec().kind, now());
        usage_.recordRunTime(job.spec().kind, status.endedAt - status.startedAt);
        if (!localState.isThrottled && status.memoryMib > 0)
            usage_.recordUsage(job.spec().kind, {status.cpuMillis, status.memoryMib});
    }
    localState.isOutcomeRecorded = true;
    if (isFailure)
        observation.cannotRun = health_.cannotRun(job.failedWorkers(), job.worker(), now());
}

void JobDriver::Core::sendCommand(const Job &job, const std::string &key, TaskCommand command,
                                  AttemptLocalState &localState)
{
    const platform::TaskRef ref{job.worker(), key, job.attempt()};
    const base::TimePoint sentAt = now();
    switch (command) {
    case TaskCommand::Renew:
        notifyBeforeCall("Workers.renew");
        if (platform_.workers.renew(ref, options_.lease.workerLease))
            localState.renewedAt = sentAt;
        return;
    case TaskCommand::Throttle:
        if (localState.isThrottled)
            return;
        notifyBeforeCall("Workers.throttle");
        localState.isThrottled =
                platform_.workers.throttle(ref, job.reserved().cpuMillis).has_value();
        base::logEvent(base::Event::JobThrottled, {{"job", key}, {"worker", job.worker()}});
        return;
    case TaskCommand::Checkpoint:
        notifyBeforeCall("Workers.checkpoint");
        static_cast<void>(platform_.workers.checkpoint(ref));
        break;
    case TaskCommand::Stop:
        notifyBeforeCall("Workers.stop");
        static_cast<void>(platform_.workers.stop(ref));
        break;
    case TaskCommand::None:
        return;
    }
    // The attempt is about to end. Polling at once frees its reservation early.
    nextPoll_[job.worker()] = {};
}

void JobDriver::Core::quarantineSuspects()
{
    if (!options_.quarantineWorkers || !isTableUsable())
        return;
    for (const std::string &worker : health_.suspects()) {
        const std::string pool = fleet_.poolOf(worker);
        const std::size_t maxQuarantined =
                std::max<std::size_t>(1, fleet_.poolSize(pool) / kQuarantineDivisor);
        if (fleet_.isQuarantined(worker) || fleet_.quarantinedCount(pool) >= maxQuarantined)
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
