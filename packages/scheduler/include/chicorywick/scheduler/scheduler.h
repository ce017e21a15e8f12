#pragma once

#include <chicorywick/scheduler/job.h>
#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/worker_orders.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorywick::scheduler {

/// @brief Times of the scheduler; milliseconds.
struct SchedulerSettings
{
    std::int64_t fence = 0;   ///< token of this term of driving
    Millis maxLeaseMs = 6000; ///< longest lease that a worker grants
    /// Requested at each renewal: outlasts a change of drivers, which takes about three seconds,
    /// and is what tasks of a silent worker wait before they start elsewhere.
    Millis leaseMs = 4000;
    Millis renewWaitMs = 700; ///< how long a busy worker may hold a renewal open
    Millis idleRenewWaitMs = 1200;
    Millis retryMs = 250; ///< pause after an order without a response
    Millis unresponsiveAfterMs =
            1700;                  ///< without a response for so long, a worker gets no new tasks
    Millis previousLeaseMs = 6000; ///< longest lease that an earlier driver may have given
    Millis retentionMs = 130'000;  ///< how long ended jobs are remembered

    bool operator==(const SchedulerSettings &) const = default;
};

/// @brief What the scheduler asks of its owner.
struct SchedulerHooks
{
    std::function<Now()> clock;
    std::function<bool()> mayOrder;   ///< false while the right to drive is in doubt
    std::function<void()> onFenced;   ///< a worker has seen a newer driver
    std::function<void()> onProgress; ///< dirtyJobs() has become non-empty
};

/// @brief Why a worker gets no new tasks.
enum class CordonReason { Maintenance, Move };

/// @brief A worker's load, for the planners of maintenance and lending.
struct WorkerView
{
    WorkerEntry entry;
    int tasks = 0;
    int perpetualTasks = 0;
    bool isUsable = false;
    bool isCordoned = false;
    Millis idleSince = 0;

    bool operator==(const WorkerView &) const = default;
};

/// @brief Demand and supply of one service, for the planner of lending.
struct ServiceLoad
{
    std::int64_t waitingCpuMillis = 0;
    std::int64_t runningCpuMillis = 0;
    std::int64_t capacityCpuMillis = 0;
    double arrivingCpuMillis = 0; ///< processor time submitted per time, a moving average
    int spreadWorkers = 0;        ///< workers that the widest spread-out perpetual step needs

    bool operator==(const ServiceLoad &) const = default;
};

/// @brief Drives the tasks of accepted jobs on workers: starts them, keeps their leases, takes note
/// of their ends. Reacts to events; makes no calls but through WorkerOrders. Not thread-safe.
class Scheduler
{
public:
    Scheduler(WorkerOrders &orders, SchedulerHooks hooks, SchedulerSettings settings);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void setQueues(const std::vector<QueuePolicy> &queues);

    /// @brief Adds a job; with stored progress, its tasks may already be running somewhere.
    void addJob(const JobSpec &spec, const std::optional<JobProgress> &progress);
    void cancelJob(const std::string &id);

    /// @brief Adds another driver's stored facts about a job.
    void mergeStoredProgress(const std::string &id, const JobProgress &progress);

    /// @brief Workers that an earlier driver may have given tasks to.
    void addInheritedWorkers(const std::vector<WorkerEntry> &workers);
    void upsertWorker(const WorkerEntry &entry);
    void removeWorker(const std::string &id);

    /// @brief The worker's life has ended by an order to its machine.
    void endWorker(const std::string &id);

    /// @brief Workers that may be given tasks only after the list of them was stored.
    std::vector<WorkerEntry> roster() const;

    /// @brief Grows whenever roster() changes.
    std::uint64_t rosterRevision() const { return rosterRevision_; }
    void rosterStored(const std::vector<WorkerEntry> &workers);

    /// @brief Forgets ended jobs, begins due occurrences, retries, places what waits.
    void tick();

    /// @brief Jobs whose stored progress is out of date; cleared by the call.
    std::vector<std::string> takeDirtyJobs();

    /// @brief The number of the batch that takeDirtyJobs() closed, for progressStored().
    std::uint64_t batch() const { return batch_; }

    /// @brief All progress up to a batch is stored: ends may be acknowledged.
    void progressStored(std::uint64_t batch);

    bool hasDirtyJobs() const { return !dirty_.empty(); }
    bool isDirty(const std::string &id) const { return dirty_.contains(id); }
    std::optional<JobProgress> progressOf(const std::string &id) const;
    std::optional<JobState> stateOf(const std::string &id) const;
    int waitingJobs(const std::string &queue) const;
    std::vector<std::string> takeExpiredJobs();

    /// @brief No new tasks for the worker while any reason holds. For maintenance, perpetual tasks
    /// move away as their budgets permit.
    void setCordoned(const std::string &workerId, CordonReason reason, bool isCordoned);
    std::vector<WorkerView> workers() const;
    std::map<std::string, ServiceLoad> loads() const;

    /// @brief Workers looked at for placing so far, the measure of this scheduler's work.
    std::uint64_t examinedWorkers() const { return examinedWorkers_; }

    /// @brief True if a task that ends now would exceed no disruption budget on the worker.
    bool mayDisrupt(const std::string &workerId) const;

private:
    struct Worker;
    struct ReadyKey
    {
        int band = 0;
        Millis latestStart = 0;
        std::uint64_t sequence = 0;
        TaskId id;

        auto operator<=>(const ReadyKey &) const = default;
    };
    struct JobEntry
    {
        Job job;
        std::uint64_t sequence = 0;
        Millis uncertainUntil = 0; ///< tasks without a known worker may run elsewhere until then
        std::map<TaskId, ReadyKey> ready;
    };

    // Jobs (scheduler_jobs.cpp) and the queue of their ready tasks (scheduler_queue.cpp)
    JobEntry *entryOf(const std::string &id);
    const JobEntry *entryOf(const std::string &id) const;
    Task *taskOf(const TaskId &id);
    const QueuePolicy *policyOf(const Job &job) const;
    void markDirty(const std::string &id);
    void recordArrival(const Job &job);
    void enqueueReady(JobEntry &entry);
    void enqueue(JobEntry &entry, const TaskId &id);
    void dequeue(JobEntry &entry, const TaskId &id);
    ReadyKey keyOf(const JobEntry &entry, const TaskId &id) const;
    void stopAllTasks(JobEntry &entry);
    void finishJob(JobEntry &entry);
    void refreshBands();
    void recordEndedJob(const JobEntry &entry);
    void expireEndedJobs();

    // Ends (scheduler_ends.cpp)
    void handleEnd(Worker &worker, const EndedTask &end);
    void handleDone(JobEntry &entry, const EndedTask &end);
    void handleFailure(JobEntry &entry, Worker &worker, const EndedTask &end);
    void requeue(JobEntry &entry, const TaskId &id, Task &task);
    void release(const TaskId &id, Task &task);
    void recordTaskResult(Worker &worker, bool isGood, const std::string &job);

    // Workers (scheduler_workers.cpp) and their renewals (scheduler_renewals.cpp)
    Worker *workerOf(const std::string &id);
    const Worker *workerOf(const std::string &id) const;
    Worker &addWorker(const WorkerEntry &entry);
    void dropWorker(const std::string &id);
    const std::vector<Worker *> &workersFor(const std::string &service) const;
    void renew(Worker &worker);
    void probe(Worker &worker);
    RenewOrder renewalFor(const Worker &worker) const;
    void applyRenewal(Worker &worker, std::uint64_t repliesBeforeSend, const RenewReply &reply);
    void handleRenewal(const std::string &id, std::uint64_t generation,
                       std::uint64_t repliesBeforeSend, const RenewReply &reply);
    void reconcileRunning(Worker &worker, const RunningTask &running);
    void reconcileAbsent(Worker &worker, std::uint64_t repliesBeforeSend, const RenewReply &reply);
    void recordClock(Worker &worker, Millis workerClock);
    Millis leaseUntil(const Worker &worker) const;
    bool isLeaseExpired(const Worker &worker) const;
    bool isUsable(const Worker &worker, Millis now) const;
    void replaceWorker(Worker &worker);
    void replaceFormerIncarnations(const WorkerEntry &entry);
    void handleLostTasks(Worker &worker, const char *reason);
    void retryWorkers();
    void pruneWorkers();
    void drainPerpetual(Worker &worker);
    void pace(Worker &worker);

    // Placing (scheduler_placing.cpp)
    void place();
    void placeService(const std::string &service);
    void markAllServicesForPlacement();
    bool hasSilentInheritedWorker(const std::string &service) const;
    bool tryPlace(JobEntry &entry, const TaskId &id);
    void reserve(const JobEntry &entry, const TaskId &id);
    bool tryPlaceGang(JobEntry &entry, const TaskId &id);
    Worker *chooseWorker(JobEntry &entry, const TaskId &id,
                         const std::map<std::string, Resources> &planned);

    // Starts and stops (scheduler_starts.cpp)
    void assign(JobEntry &entry, const TaskId &id, Worker &worker);
    void sendStart(JobEntry &entry, const TaskId &id, Worker &worker);
    void handleStart(const TaskId &id, std::int64_t run, const std::string &workerId,
                     const OrderReply &reply);
    void stop(const TaskId &id, Task &task);
    void sendStop(const TaskId &id, std::int64_t run, const std::string &workerId);

    // Disruption budgets (scheduler_disruption.cpp)
    int availableOthers(const JobEntry &entry, const TaskId &id) const;
    bool mayEvict(const JobEntry &entry, const TaskId &id) const;

    WorkerOrders &orders_;
    SchedulerHooks hooks_;
    SchedulerSettings settings_;
    Millis createdAt_; ///< earlier drivers gave their last orders before
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::map<std::string, QueuePolicy> queues_;
    std::unordered_map<std::string, std::unique_ptr<JobEntry>> jobs_;
    std::unordered_map<std::string, JobEntry *> openJobs_; ///< not in a final state
    std::set<std::string> recurringJobs_;
    std::set<std::string> perpetualJobs_;
    std::deque<std::pair<Millis, std::string>> endedJobs_; ///< in order of their ends
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::map<std::string, std::vector<Worker *>> workersByService_;
    std::unordered_map<std::string, std::vector<Worker *>> workersByMachine_;
    struct ReadyQueue
    {
        std::set<ReadyKey> keys;
        std::int64_t waitingCpuMillis = 0;
    };
    std::map<std::string, ReadyQueue> ready_; ///< by service
    std::set<std::string>
            servicesToPlace_; ///< services whose queue or room has changed since a pass
    std::uint64_t rosterRevision_ = 1;
    std::uint64_t examinedWorkers_ = 0;
    struct ArrivalRate
    {
        double cpuMillis = 0;
        Millis at = 0;
    };
    std::map<std::string, ArrivalRate> arrivals_; ///< by service
    std::set<std::string> dirty_;
    std::vector<std::string> expiredJobs_;
    std::uint64_t batch_ = 0;
    std::uint64_t storedBatch_ = 0;
    std::uint64_t nextSequence_ = 0;
    std::uint64_t nextGeneration_ = 0;
    std::uint64_t replyCount_ = 0; ///< answers to orders so far; dates lists against orders
    Millis bandsRefreshedAt_ = 0;
    std::set<std::string> reserved_; ///< workers kept free during one placing pass
    bool isPlacing_ = false;
};

} // namespace chicorywick::scheduler
