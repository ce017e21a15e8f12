#include "scheduler_worker.h"

#include <chicorywick/scheduler/placement.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// A job that completes within three times its objective still has a reduced value; the factor is
// specified in the user documentation.
constexpr int kLateFactor = 3;
// Priority bands of the ready queue; lower bands are placed first.
constexpr int kPerpetualBand = 0;
constexpr int kOnTimeBand = 1;
constexpr int kOverShareBand = 2;
constexpr int kDeferredBand = 3;
constexpr int kLateBand = 4;
constexpr int kOverdueBand = 5;
constexpr int kBandsPerPriority = 6;
// Time constant of the moving average of submitted work; short enough to follow a sudden load.
constexpr double kArrivalWindowMs = 700;
// Ends free room every few milliseconds, so only tasks that wait longer count as lacking room.
constexpr Millis kWaitForRoomMs = 400;
// Bounds the work per planning pass when a queue is long.
constexpr int kMaxExaminedForRoom = 60;
// Bands change as slack decreases. Two updates per second keep the queue order nearly current.
constexpr Millis kBandRefreshMs = 500;

// The empty workers that a number of tasks fill.
class ExtraWorkerCount
{
public:
    void add(const TaskId &id, const StepSpec &step, const Resources &workerSize)
    {
        const Resources demand = reservedFor(step);
        const double part = std::max({shareOf(demand.cpuMillis, workerSize.cpuMillis),
                                      shareOf(demand.memoryMib, workerSize.memoryMib),
                                      shareOf(demand.accelerators, workerSize.accelerators)});
        parts_ += part > kMaxSharedPart ? 1 : part;
        if (step.maxPerWorker == 0)
            return;
        const int tasks = ++tasksOfStep_[{id.job, id.occurrence, id.step}];
        widestStep_ = std::max(widestStep_, (tasks + step.maxPerWorker - 1) / step.maxPerWorker);
    }

    int workers() const { return std::max(static_cast<int>(std::ceil(parts_)), widestStep_); }

private:
    // Two tasks of more than half a worker each do not share one.
    static constexpr double kMaxSharedPart = 0.5;

    static double shareOf(std::int64_t demand, std::int64_t capacity)
    {
        return capacity > 0 ? static_cast<double>(demand) / static_cast<double>(capacity) : 0;
    }

    double parts_ = 0;
    std::map<std::tuple<std::string, std::int64_t, int>, int> tasksOfStep_; ///< with a limit
    int widestStep_ = 0; ///< workers for the tasks of one step with a limit
};

} // namespace

void Scheduler::recordArrival(const Job &job)
{
    const QueuePolicy *const policy = policyOf(job);
    if (policy == nullptr)
        return;
    double work = 0;
    for (const StepSpec &step : job.spec().steps)
        if (!step.isPerpetual)
            work += static_cast<double>(step.taskCount) * static_cast<double>(step.demand.cpuMillis)
                    * static_cast<double>(step.estimatedMs);
    ArrivalRate &rate = arrivals_[policy->service];
    const Millis now = hooks_.clock().steady;
    rate.cpuMillis =
            rate.cpuMillis * std::exp(-static_cast<double>(now - rate.at) / kArrivalWindowMs)
            + work / kArrivalWindowMs;
    rate.at = now;
}

ReadyKey Scheduler::keyOf(const JobEntry &entry, const TaskId &id) const
{
    const QueuePolicy *const policy = policyOf(entry.job);
    const Millis now = hooks_.clock().steady;
    const StepSpec &step = stepOf(entry.job, id);
    const Millis objective = objectiveOf(entry.job);
    Millis due = entry.job.acceptedSteady() + objective;
    const Millis path = entry.job.remainingCriticalPath(id.step);
    int band = kOnTimeBand;
    Millis order = 0;
    if (step.isPerpetual)
        band = kPerpetualBand;
    else if (due - path < now) {
        due += (kLateFactor - 1) * objective;
        band = due - path < now ? kOverdueBand : kLateBand;
    } else if (entry.isDeferred) {
        band = kDeferredBand;
    } else if (entry.shareTime > now) {
        band = kOverShareBand;
        order = entry.shareTime;
    }
    const int priority = policy != nullptr ? policy->priority : 0;
    return {.band = step.isPerpetual ? kPerpetualBand : priority * kBandsPerPriority + band,
            .order = order,
            .latestStart = due - path,
            .sequence = entry.sequence,
            .occurrence = id.occurrence,
            .step = id.step};
}

void Scheduler::enqueue(JobEntry &entry, const TaskId &id)
{
    enqueue(entry, id, {id.index});
}

// All waiting tasks of a step have one place in the queue.
void Scheduler::enqueue(JobEntry &entry, const TaskId &id, const IndexSet &tasks)
{
    const QueuePolicy *const policy = policyOf(entry.job);
    if (policy == nullptr || isTerminal(entry.job.state()) || tasks.empty())
        return;
    auto place = entry.ready.find({id.occurrence, id.step});
    if (place == entry.ready.end())
        place = entry.ready.emplace(StepPlace(id.occurrence, id.step), keyOf(entry, id)).first;
    ReadyQueue &queue = ready_[policy->service];
    const auto waitingTasks = [&queue, &key = place->second] {
        const auto step = queue.steps().find(key);
        return step != queue.steps().end() ? static_cast<int>(step->second.tasks.size()) : 0;
    };
    const int before = waitingTasks();
    queue.insert(place->second, entry.job, id, tasks);
    countWaiting(entry, stepOf(entry.job, id), policy->service, waitingTasks() - before);
    servicesToPlace_.insert(policy->service);
}

void Scheduler::dequeue(JobEntry &entry, const TaskId &id)
{
    const auto place = entry.ready.find({id.occurrence, id.step});
    const QueuePolicy *const policy = policyOf(entry.job);
    if (place == entry.ready.end() || policy == nullptr)
        return;
    ReadyQueue &queue = ready_[policy->service];
    if (!queue.erase(place->second, id))
        return;
    countWaiting(entry, stepOf(entry.job, id), policy->service, -1);
    if (!queue.steps().contains(place->second))
        entry.ready.erase(place);
}

void Scheduler::dequeueAll(JobEntry &entry)
{
    const QueuePolicy *const policy = policyOf(entry.job);
    const auto places = std::exchange(entry.ready, {});
    if (policy == nullptr)
        return;
    for (const auto &[place, key] : places) {
        const StepSpec &step = entry.job.spec().steps[static_cast<std::size_t>(place.second)];
        countWaiting(entry, step, policy->service, -ready_[policy->service].eraseStep(key));
    }
}

bool Scheduler::isQueued(const JobEntry &entry, const TaskId &id) const
{
    const auto place = entry.ready.find({id.occurrence, id.step});
    const QueuePolicy *const policy = policyOf(entry.job);
    if (place == entry.ready.end() || policy == nullptr)
        return false;
    const auto &steps = ready_.at(policy->service).steps();
    const auto step = steps.find(place->second);
    return step != steps.end() && step->second.tasks.contains(id.index);
}

void Scheduler::enqueueReady(JobEntry &entry)
{
    for (const auto &[number, occurrence] : entry.job.occurrences())
        enqueueReady(entry, occurrence);
}

void Scheduler::enqueueReady(JobEntry &entry, const Occurrence &occurrence)
{
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        enqueue(entry,
                {.job = entry.job.spec().id,
                 .occurrence = occurrence.number,
                 .step = static_cast<int>(step)},
                occurrence.steps[step].ready());
}

void Scheduler::refreshBands()
{
    const Millis now = hooks_.clock().steady;
    if (now - bandsRefreshedAt_ < kBandRefreshMs)
        return;
    bandsRefreshedAt_ = now;
    planBacklogs();
    for (auto &[service, queue] : ready_) {
        std::vector<ReadyKey> passed;
        for (const auto &[key, ready] : queue.steps()) {
            const bool isLast =
                    key.band == kPerpetualBand || key.band % kBandsPerPriority == kOverdueBand;
            const bool isWithinShare =
                    key.band % kBandsPerPriority == kOverShareBand && key.order <= now;
            if (isWithinShare || (!isLast && key.latestStart < now))
                passed.push_back(key);
        }
        for (const ReadyKey &key : passed)
            moveStep(queue, key);
    }
}

void Scheduler::moveStep(ReadyQueue &queue, const ReadyKey &from)
{
    const ReadyStep &ready = queue.steps().at(from);
    JobEntry &entry = *entryOf(ready.job->spec().id);
    const ReadyKey to = keyOf(entry, ready.id(from, 0));
    const StepPlace place(from.occurrence, from.step);
    queue.move(from, to);
    entry.ready[place] = to;
}

std::map<std::string, int> Scheduler::waitingJobs() const
{
    std::map<std::string, int> waiting;
    for (const auto &[id, entry] : openJobs_)
        if (entry->job.state() == JobState::Pending)
            ++waiting[entry->job.spec().queue];
    return waiting;
}

// Returns a worker that would be large enough for tasks of the step; none if there is no such
// worker, or a usable one has room now.
const Scheduler::Worker *Scheduler::workerThatLacksRoom(const std::string &service,
                                                        const StepSpec &step,
                                                        const TaskId &id) const
{
    const auto &workers = workersFor(service);
    const Resources demand = reservedFor(step);
    const Millis now = hooks_.clock().steady;
    const bool fitsSomewhere =
            std::any_of(workers.begin(), workers.end(), [&](const Worker *worker) {
                return worker->free().covers(demand) && isUsable(*worker, now)
                       && isAllowedOn(*worker, step, id);
            });
    if (fitsSomewhere)
        return nullptr;
    // A worker that has shrunk still shows the size of the machines that can join.
    const auto large = std::find_if(workers.begin(), workers.end(), [&](const Worker *worker) {
        return worker->fullCapacity.covers(demand) && hasRequiredLabel(step, worker->entry.labels);
    });
    return large != workers.end() ? *large : nullptr;
}

// Counts the workers that waiting tasks need because no usable worker can take one of them now. The
// service can have free CPU in total, for example when every worker runs a perpetual task and the
// waiting ones need almost a whole worker.
Scheduler::ExtraWorkers Scheduler::extraWorkersFor(const std::string &service) const
{
    const auto queue = ready_.find(service);
    const auto &workers = workersFor(service);
    if (queue == ready_.end() || workers.empty())
        return {};
    const Millis now = hooks_.clock().steady;
    ExtraWorkerCount all;
    ExtraWorkerCount perpetual;
    int examined = 0;
    int reservable = 0;
    const auto result = [&] {
        return ExtraWorkers{.all = all.workers(),
                            .forPerpetual = perpetual.workers(),
                            .blockedPerpetual = std::max(perpetual.workers() - reservable, 0)};
    };
    for (const auto &[key, ready] : queue->second.steps()) {
        const StepSpec &step = ready.spec(key);
        const Occurrence *const occurrence = ready.job->occurrence(key.occurrence);
        if (occurrence == nullptr || !isWithinLimit(*entryOf(ready.job->spec().id), step.demand))
            continue;
        const Worker *large = nullptr;
        std::optional<bool> lacksRoom; // the same for all tasks of a step
        for (auto next = ready.tasks.next(-1); next; next = ready.tasks.next(*next)) {
            if (++examined > kMaxExaminedForRoom)
                return result();
            const int index = *next;
            const Task &task = occurrence->steps[static_cast<std::size_t>(key.step)][index];
            if (now - std::max(task.phaseSince, ready.job->acceptedSteady()) < kWaitForRoomMs)
                continue;
            const TaskId id = ready.id(key, index);
            if (!lacksRoom) {
                large = workerThatLacksRoom(service, step, id);
                lacksRoom = large != nullptr;
                if (*lacksRoom && step.isPerpetual)
                    reservable = std::max(reservable, reservableWorkers(service, step, id));
            }
            if (!*lacksRoom)
                break;
            all.add(id, step, large->fullCapacity);
            if (step.isPerpetual)
                perpetual.add(id, step, large->fullCapacity);
        }
    }
    return result();
}

int Scheduler::reservableWorkers(const std::string &service, const StepSpec &step,
                                 const TaskId &id) const
{
    const auto &workers = workersFor(service);
    const Millis now = hooks_.clock().steady;
    return static_cast<int>(
            std::count_if(workers.begin(), workers.end(), [&](const Worker *worker) {
                return isUsable(*worker, now) && canTakeLater(*worker, step, id);
            }));
}

// CPU of the waiting tasks that cannot start soon, as a silent worker may run them: machines that
// are kept for them stand idle. Those that can start once a machine has moved are not counted.
std::map<std::string, std::int64_t> Scheduler::uncertainCpuMillis() const
{
    constexpr Millis kMoveMs = 1'500;
    // Reachable workers reply to a new leader within this time.
    constexpr Millis kFirstReplyMs = 500;
    const Millis now = hooks_.clock().steady;
    if (now - createdAt_ < kFirstReplyMs)
        return {};
    const Millis movedAt = now + kMoveMs;
    std::map<std::string, Millis> silentUntilByService;
    for (const auto &[service, workers] : workersByService_)
        if (const Millis until = silentUntil(service); until > movedAt)
            silentUntilByService[service] = until;
    std::map<std::string, std::int64_t> uncertain;
    if (silentUntilByService.empty())
        return uncertain;
    for (const auto &[service, queue] : ready_)
        for (const auto &[key, step] : queue.steps()) {
            if (!entryOf(step.job->spec().id)->mayHaveRuns)
                continue;
            std::set<std::string> services = step.job->services();
            services.insert(service);
            const bool isUncertain =
                    std::any_of(services.begin(), services.end(), [&](const std::string &name) {
                        return silentUntilByService.contains(name);
                    });
            if (isUncertain)
                uncertain[service] +=
                        static_cast<std::int64_t>(step.tasks.size()) * step.demand.cpuMillis;
        }
    return uncertain;
}

std::map<std::string, ServiceLoad> Scheduler::loads() const
{
    std::map<std::string, ServiceLoad> loads;
    const Millis now = hooks_.clock().steady;
    for (const auto &[service, workers] : workersByService_) {
        ServiceLoad &load = loads[service];
        for (const Worker *const worker : workers) {
            if (isUsable(*worker, now))
                load.capacityCpuMillis += worker->entry.capacity.cpuMillis;
            load.runningCpuMillis += worker->used.cpuMillis;
            load.machineCpuMillis = std::max(load.machineCpuMillis, worker->fullCapacity.cpuMillis);
        }
    }
    std::map<std::string, std::int64_t> withheld = withheldCpuMillis();
    for (const auto &[service, cpuMillis] : uncertainCpuMillis())
        withheld[service] += cpuMillis;
    for (const auto &[service, queue] : ready_) {
        const auto found = withheld.find(service);
        loads[service].waitingCpuMillis = std::max<std::int64_t>(
                queue.waitingCpuMillis() - (found != withheld.end() ? found->second : 0), 0);
        const ExtraWorkers extra = extraWorkersFor(service);
        loads[service].extraWorkers = extra.all;
        loads[service].extraWorkersForPerpetual = extra.forPerpetual;
        loads[service].blockedPerpetual = extra.blockedPerpetual;
    }
    for (const auto &[service, rate] : arrivals_)
        loads[service].arrivingCpuMillis =
                rate.cpuMillis * std::exp(-static_cast<double>(now - rate.at) / kArrivalWindowMs);
    for (const std::string &id : perpetualJobs_) {
        const Job &job = entryOf(id)->job;
        const QueuePolicy *const policy = policyOf(job);
        if (policy == nullptr)
            continue;
        int &spread = loads[policy->service].spreadWorkers;
        for (const StepSpec &step : job.spec().steps)
            if (step.isPerpetual && step.maxPerWorker > 0)
                spread = std::max(spread,
                                  (step.taskCount + step.maxPerWorker - 1) / step.maxPerWorker);
    }
    return loads;
}

} // namespace chicorywick::scheduler
