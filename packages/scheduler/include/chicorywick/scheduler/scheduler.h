#pragma once

#include <chicorywick/scheduler/account_rate.h>
#include <chicorywick/scheduler/backlog_plan.h>
#include <chicorywick/scheduler/job.h>
#include <chicorywick/scheduler/job_memory.h>
#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/ready_queue.h>
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

/// @brief Fencing token and time limits of the scheduler.
struct SchedulerSettings
{
    std::int64_t fence = 0;   ///< fencing token of this leader term
    Millis maxLeaseMs = 6000; ///< longest lease that a worker grants
    /// Lease length requested at each renewal. Longer than a leader change, which takes about three
    /// seconds. Tasks of an unresponsive worker start elsewhere only after this time.
    Millis leaseMs = 4000;
    Millis renewWaitMs = 700; ///< long-poll time of a renewal to a worker with tasks
    Millis idleRenewWaitMs = 1200;
    Millis retryMs = 250;              ///< delay after a renewal that failed
    Millis unresponsiveAfterMs = 1700; ///< a worker without a reply for this long gets no new tasks
    Millis previousLeaseMs = 6000;     ///< longest lease that an earlier leader may have granted
    Millis retentionMs = 130'000;      ///< time for which ended jobs are kept
    /// No task starts while the stored jobs and cancellations are known only up to a time that is
    /// longer ago. Cancellations must take effect within three seconds, and an order that was
    /// written in time takes up to half a second more.
    Millis maxJobsAgeMs = 2'000;
    /// Part of all jobs that this cell gets; the weights of accounts are for the whole fleet.
    double shareOfJobs = 1.0;
    /// Jobs that cost callers least wait when a service cannot end all of them in time.
    bool controlsOverload = false;

    bool operator==(const SchedulerSettings &) const = default;
};

/// @brief Callbacks to the owner of the scheduler.
struct SchedulerHooks
{
    std::function<Now()> clock;
    std::function<bool()> maySendOrders; ///< false while leadership is uncertain
    std::function<void()> onFenced;      ///< a worker has seen a newer leader's fencing token
    std::function<void()> onProgress;    ///< a job was marked dirty
    std::function<OrderValidity()> orderValidity = {}; ///< empty: orders have no limit
    /// Local time up to which all stored jobs and cancellations are known; empty: up to now.
    std::function<Millis()> jobsKnownUntil = {};
    /// Runs an action after the events that have already arrived; empty: immediately.
    std::function<void(std::function<void()>)> defer = {};
    /// Fencing token of orders to the worker on a machine; empty: that of the settings.
    std::function<std::int64_t(const std::string &machine)> fenceFor = {};
};

/// @brief Why a worker gets no new tasks.
enum class CordonReason { Maintenance, Move };

/// @brief Worker state for the maintenance and pool planners.
struct WorkerView
{
    WorkerEntry entry;
    int tasks = 0; ///< including runs that are being stopped and not assigned
    int perpetualTasks = 0;
    bool isUsable = false;
    bool isCordoned = false;
    bool mayRunUnknownTasks = false; ///< it has not replied, and a lease that it got may be valid
    /// It runs nothing, all its ends are stored, and no order to it has failed lately.
    bool isTransferable = false;
    Millis idleSince = 0;
    Millis joinedAt = 0; ///< when the scheduler learned of this incarnation

    bool operator==(const WorkerView &) const = default;
};

/// @brief Demand and capacity of a service, for the pool planner.
struct ServiceLoad
{
    std::int64_t waitingCpuMillis = 0;
    std::int64_t runningCpuMillis = 0;
    std::int64_t capacityCpuMillis = 0;
    std::int64_t machineCpuMillis = 0; ///< of the largest worker, with its full capacity
    double arrivingCpuMillis = 0;      ///< moving average of submitted CPU time per unit of time
    int spreadWorkers = 0; ///< workers needed by the largest perpetual step with maxPerWorker
    int extraWorkers = 0;  ///< empty workers needed by waiting tasks that fit on no worker now
    int extraWorkersForPerpetual = 0; ///< those of them that perpetual tasks need
    /// Those that perpetual tasks need beyond the workers that can take one of them once the finite
    /// tasks there have ended.
    int blockedPerpetual = 0;

    bool operator==(const ServiceLoad &) const = default;
};

/// @brief Demand of a client account's tasks in the cell.
struct AccountLoad
{
    Resources running; ///< of all runs that may be on a worker, also those of earlier leaders
    Resources waiting;
    Resources smallestWaiting; ///< of a task; zero if none waits

    bool operator==(const AccountLoad &) const = default;
};

/// @brief Runs the tasks of accepted jobs on workers: places and starts them, renews worker leases
/// and processes task ends. Event-driven; calls workers only through WorkerOrders. Not thread-safe.
class Scheduler
{
public:
    Scheduler(WorkerOrders &orders, SchedulerHooks hooks, SchedulerSettings settings);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void setQueues(const std::vector<QueuePolicy> &queues);

    /// @brief Replaces the client accounts; jobs of accounts that are not named have no limit.
    void setAccounts(const std::vector<AccountPolicy> &accounts);

    /// @brief Sets what the tasks of each account may use in this cell. Running tasks stay.
    /// Accounts that are not named have no limit.
    void setAccountLimits(const std::map<std::string, Resources> &limits);
    std::map<std::string, AccountLoad> accountLoads() const;

    /// @brief Services of all queues, and of removed queues with unfinished jobs.
    std::set<std::string> usedServices() const;

    /// @brief Adds a job. If it has stored progress, its tasks may already be running on a worker.
    void addJob(const JobSpec &spec, const std::optional<JobProgress> &progress);
    void cancelJob(const std::string &id);

    /// @brief Adds a job that was cancelled before; tasks that an earlier leader started are
    /// stopped.
    void addCancelledJob(const JobSpec &spec);

    /// @brief Applies progress of a job that another leader has stored.
    void mergeStoredProgress(const std::string &id, const JobProgress &progress);

    /// @brief Adds workers that may run tasks of an earlier leader.
    void addInheritedWorkers(const std::vector<WorkerEntry> &workers);
    void upsertWorker(const WorkerEntry &entry);
    void removeWorker(const std::string &id);

    /// @brief Reports that an order to the machine has ended the worker's incarnation.
    void endWorker(const std::string &id);

    /// @brief All workers that are not replaced. A worker gets tasks only once a roster with it is
    /// stored, so that the next leader can find them.
    std::vector<WorkerEntry> roster() const;

    /// @brief Increases with each change of roster().
    std::uint64_t rosterRevision() const { return rosterRevision_; }
    void rosterStored(const std::vector<WorkerEntry> &workers);

    /// @brief Removes expired jobs, begins due occurrences, retries orders and places ready tasks.
    void tick();

    /// @brief Returns and clears the jobs whose stored progress is out of date.
    std::vector<std::string> takeDirtyJobs();

    /// @brief Number of the latest batch of dirty jobs, open or taken; for progressStored().
    std::uint64_t batch() const { return batch_; }

    /// @brief Reports that all progress up to a batch is stored; its ends can be acknowledged.
    void progressStored(std::uint64_t batch);

    bool hasDirtyJobs() const { return !dirty_.empty(); }
    bool isDirty(const std::string &id) const { return dirty_.contains(id); }
    std::optional<JobProgress> progressOf(const std::string &id) const;
    std::optional<JobState> stateOf(const std::string &id) const;

    /// @brief Number of jobs that have not started, by queue; queues without any are left out.
    std::map<std::string, int> waitingJobs() const;
    std::vector<std::string> takeExpiredJobs();

    /// @brief Memory of the jobs, as it was a fraction of a second ago.
    const JobMemory &jobMemory() const;

    /// @brief Sets or clears a cordon reason; a worker with any reason gets no new tasks. For
    /// maintenance, perpetual tasks also move elsewhere as their disruption budgets allow.
    void setCordoned(const std::string &workerId, CordonReason reason, bool isCordoned);
    std::vector<WorkerView> workers() const;
    std::map<std::string, ServiceLoad> loads() const;

    /// @brief Sets the CPU of machines that are about to join each service.
    void setJoiningCpu(std::map<std::string, std::int64_t> cpuMillis);

    /// @brief Time until a job submitted now starts if all jobs that can end in time go first, by
    /// queue; known if overload is controlled.
    std::map<std::string, Millis> backlogs() const;

    /// @brief Number of workers examined for placement so far, a measure of scheduling cost.
    std::uint64_t examinedWorkers() const { return examinedWorkers_; }

    /// @brief Number of waiting steps examined for placement so far.
    std::uint64_t examinedSteps() const { return examinedSteps_; }

    /// @brief True if stopping any one task of the worker now stays within its disruption budget.
    bool mayDisrupt(const std::string &workerId) const;

private:
    struct Worker;
    struct UnassignedRun;
    using WorkerList = std::vector<Worker *>;
    /// Occurrence and step.
    using StepPlace = std::pair<std::int64_t, int>;
    struct JobEntry
    {
        Job job;
        JobFootprint footprint;
        std::uint64_t sequence = 0;
        bool mayHaveRuns = false;            ///< an earlier leader may have started its tasks
        std::uint64_t serviceBatch = 0;      ///< its present service is stored once this batch is
        std::map<StepPlace, ReadyKey> ready; ///< its waiting steps
        Millis shareTime = 0;    ///< from then on, the job is within the share of its account
        bool isDeferred = false; ///< others go first, so that they end in time
        std::deque<std::uint64_t> unstoredOccurrences; ///< batches of the ends of occurrences
    };
    enum class LossReason { Replaced, LeaseExpired };
    /// A run that its worker has lost.
    struct LostRun
    {
        TaskId task;
        std::int64_t run = 0;
        bool hasBegun = false;
        bool isSettled = false; ///< a report had shown it at work for a while
        bool isRecent = false;  ///< it had started in the last seconds

        bool operator==(const LostRun &) const = default;
    };

    /// Empty workers that waiting tasks of a service need.
    struct ExtraWorkers
    {
        int all = 0;
        int forPerpetual = 0;
        int blockedPerpetual = 0;

        bool operator==(const ExtraWorkers &) const = default;
    };

    /// The worker incarnation that a start order was meant for.
    struct StartDestination
    {
        std::string workerId;
        std::uint64_t generation = 0;
        Millis clockAtSend = 0; ///< newest clock reading of the worker before the order was sent

        bool operator==(const StartDestination &) const = default;
    };

    // Jobs (scheduler_jobs.cpp) and the ready queue (scheduler_queue.cpp)
    JobEntry *entryOf(const std::string &id);
    const JobEntry *entryOf(const std::string &id) const;
    Task *taskOf(const TaskId &id);
    const Task *taskOf(const TaskId &id) const;
    const QueuePolicy *policyOf(const Job &job) const;
    void markDirty(const std::string &id);
    void recordArrival(const Job &job);
    void recordService(JobEntry &entry);
    std::vector<std::int64_t> beginDueOccurrences(JobEntry &entry);
    void enqueueReady(JobEntry &entry);
    void enqueueReady(JobEntry &entry, const Occurrence &occurrence);
    void enqueue(JobEntry &entry, const TaskId &id);
    void enqueue(JobEntry &entry, const TaskId &id, const IndexSet &tasks);
    void dequeue(JobEntry &entry, const TaskId &id);
    void dequeueAll(JobEntry &entry);
    bool isQueued(const JobEntry &entry, const TaskId &id) const;
    ReadyKey keyOf(const JobEntry &entry, const TaskId &id) const;
    void stopAllTasks(JobEntry &entry);
    void finishJob(JobEntry &entry);
    void refreshBands();
    void moveStep(ReadyQueue &queue, const ReadyKey &from);
    ExtraWorkers extraWorkersFor(const std::string &service) const;
    int reservableWorkers(const std::string &service, const StepSpec &step, const TaskId &id) const;
    const Worker *workerThatLacksRoom(const std::string &service, const StepSpec &step,
                                      const TaskId &id) const;

    // Log of perpetual tasks that wait (scheduler_waiting.cpp)
    void reportWaiting();
    void reportWaiting(const std::string &service, const TaskId &id, Millis waitedMs,
                       int waitingTasks) const;

    void recordEndedJob(JobEntry &entry);
    void expireEndedJobs();
    void compactEndedJobs();

    // Limits of client accounts (scheduler_accounts.cpp)
    struct AccountUse
    {
        Resources running;
        Resources waiting;
        std::map<std::string, std::int64_t> waitingCpuMillis; ///< by service
    };
    AccountUse &useOf(const std::string &account);
    std::shared_ptr<const void> countRun(const JobEntry &entry, const StepSpec &step);
    void countWaiting(const JobEntry &entry, const StepSpec &step, const std::string &service,
                      int tasks);
    bool isWithinLimit(const JobEntry &entry, const Resources &demand) const;
    bool isGangWithinLimit(const JobEntry &entry, const TaskId &id) const;
    void updateHiddenUse();
    std::map<std::string, std::int64_t> withheldCpuMillis() const;
    std::map<std::string, std::int64_t> uncertainCpuMillis() const;

    // Order under load (scheduler_backlog.cpp)
    void recordShare(JobEntry &entry);
    Millis objectiveOf(const Job &job) const;
    void planBacklogs();
    BacklogCapacity capacityOf(const std::string &service) const;
    void setDeferred(JobEntry &entry, bool isDeferred);
    void reportBacklog(const std::string &service, std::size_t jobs, std::size_t overShare,
                       std::size_t deferred);

    // Task ends (scheduler_ends.cpp)
    void handleEnd(Worker &worker, const EndedTask &end);
    void logEndedEarly(const JobEntry &entry, const Worker &worker, const EndedTask &end) const;
    void handleDone(JobEntry &entry, const EndedTask &end, const std::string &workerId);
    void restartPerpetual(JobEntry &entry, const Worker &worker, const EndedTask &end);
    void releaseDone(const TaskId &id, Task &task, const EndedTask &end,
                     const std::string &workerId);
    void finishPartlyDoneGangs(JobEntry &entry);
    void handleFailure(JobEntry &entry, Worker &worker, const EndedTask &end);
    void failIfExhausted(JobEntry &entry, const TaskId &id);
    void requeue(JobEntry &entry, const TaskId &id, Task &task);
    void release(const TaskId &id, Task &task);
    void recordTaskResult(Worker &worker, bool isGood, const std::string &job);

    // Workers (scheduler_workers.cpp) and lease renewals (scheduler_renewals.cpp)
    OrderValidity validity() const;
    std::int64_t fenceFor(const Worker &worker) const;
    Millis jobsAge() const;
    bool mayStartTasks() const;
    OrderValidity startValidity() const;
    Worker *workerOf(const std::string &id);
    const Worker *workerOf(const std::string &id) const;
    Worker &addWorker(const WorkerEntry &entry);
    void reindex(Worker &worker, const WorkerEntry &entry);
    void dropWorker(const std::string &id);
    const std::vector<Worker *> &workersFor(const std::string &service) const;
    const std::vector<Worker *> &workersFor(const Job &job) const;
    void renew(Worker &worker);
    void probe(Worker &worker);
    RenewOrder renewalFor(const Worker &worker) const;
    void acceptRenewal(Worker &worker, std::uint64_t repliesBeforeSend, const RenewReply &reply);
    void applyRenewal(Worker &worker, std::uint64_t repliesBeforeSend, const RenewReply &reply);
    void handleRenewal(const std::string &id, std::uint64_t generation,
                       std::uint64_t repliesBeforeSend, Millis leaseUntil, const RenewReply &reply);
    void reconcileRunning(Worker &worker, const RunningTask &running);
    bool isWithdrawnStart(const JobEntry &entry, const TaskId &id, const Task &task) const;
    bool shouldReturnTo(const Worker &worker, const RunningTask &running) const;
    void adopt(Worker &worker, const RunningTask &running);
    void reconcileAbsent(Worker &worker, std::uint64_t repliesBeforeSend, const RenewReply &reply);

    // Runs that are not assigned to their worker (scheduler_unassigned.cpp)
    void stopUnassigned(Worker &worker, const RunningTask &running);
    bool hasKeptRuns(const Worker &worker) const;
    void detachRun(const TaskId &id, Task &task, StopReason reason);
    void stopAndRelease(const TaskId &id, Task &task, StopReason reason);
    void handleUnassignedStop(const std::string &workerId, const TaskId &id, std::int64_t run,
                              const OrderReply &reply);
    void reconcileUnassigned(Worker &worker, std::uint64_t repliesBeforeSend,
                             const RenewReply &reply);
    void retryUnassignedStops(Worker &worker);
    bool mayStopUnassigned(const Worker &worker, const TaskId &id, const UnassignedRun &run) const;

    void recordClock(Worker &worker, Millis workerClock);
    Millis leaseUntil(const Worker &worker) const;
    bool isLeaseExpired(const Worker &worker) const;
    bool isUsable(const Worker &worker, Millis now) const;
    void handleLostTasks(Worker &worker, LossReason reason);
    void loseTask(const TaskId &id, const std::string &workerId, const char *reason);
    static void logJoined(const WorkerEntry &entry);
    void logLostWorker(const Worker &worker, const char *reason) const;
    void retryWorkers();
    void retryStops(Worker &worker);
    void pruneWorkers();
    void drainPerpetual(Worker &worker);
    void pace(Worker &worker);

    // Incarnations of a worker (scheduler_incarnations.cpp)
    void replaceWorker(Worker &worker);
    void replaceFormerIncarnations(const WorkerEntry &entry);
    void beginIncarnation(Worker &worker, const WorkerEntry &entry);
    void decideInheritedTasks(Worker &worker, std::uint64_t repliesBeforeSend,
                              const RenewReply &reply);
    void suspectRestart(Worker &worker);
    void recordFormerLease(Worker &worker) const;
    void recordFormerCall(Worker &worker, OrderStatus status) const;

    // Tasks that crash their workers (scheduler_crashes.cpp)
    bool isProven(const Worker &worker, const Task &task) const;
    std::vector<LostRun> unprovenRuns(const Worker &worker) const;
    void recordCrash(const std::vector<LostRun> &runs);
    void recordCrash(const std::vector<LostRun> &runs, const std::set<TaskId> &lost);
    void requeueReady(JobEntry &entry, const TaskId &id);
    void recordSilence(const Worker &worker, const std::vector<LostRun> &runs);
    std::vector<LostRun> endSilence(const std::string &machine);
    void recordReturn(const Worker &worker);
    void recordIncarnation(const WorkerEntry &entry);
    void expireSilences();
    void giveUp(JobEntry &entry);
    void beginRun(Worker &worker, const TaskId &id, Task &task);
    void updateTrial(Worker &worker, const TaskId &id, Task &task);
    void endTrial(Worker &worker, const TaskId &id);
    void checkTrials(Worker &worker);
    bool mayStartBeside(const Worker &worker, const TaskId &id, const Task &task) const;
    void placeTrials(const std::string &service, const WorkerList &open);
    static bool isOnTrial(const std::vector<Worker *> &workers, const std::string &job);
    void reserveForTrial(const JobEntry &entry, const TaskId &id);

    // Placement (scheduler_placing.cpp)
    void requestPlacement();
    /// How far a pass looks for steps that fit when many before them do not.
    enum class PlacementDepth { Head, Further };
    void place(PlacementDepth depth = PlacementDepth::Head);
    /// How the placement of a step's tasks has ended.
    enum class StepOutcome { Placed, Unplaceable, LabelUnmet, OverLimit };
    void placeService(const std::string &service, PlacementDepth depth);
    std::optional<ReadyKey> scanQueue(const ReadyQueue &queue, const std::optional<ReadyKey> &from,
                                      std::size_t maxUnplaceable, WorkerList &open);
    StepOutcome placeStep(const ReadyQueue &queue, const ReadyKey &key, bool isKnownUnplaceable,
                          WorkerList &open);
    WorkerList openWorkers(const std::string &service, const Resources &demand);
    void closeFullWorkers(WorkerList &open, const Resources &demand) const;
    void markAllServicesForPlacement();
    Millis silentUntil(const std::string &service) const;
    bool hasSilentInheritedWorker(const std::string &service);
    bool isStartUncertain(const JobEntry &entry);
    bool mustWait(const JobEntry &entry);
    bool tryPlace(JobEntry &entry, const TaskId &id, const WorkerList &workers);
    bool isLabelUnmet(const StepSpec &step, const std::string &service) const;
    bool isAllowedOn(const Worker &worker, const StepSpec &step, const TaskId &id) const;
    bool canTakeLater(const Worker &worker, const StepSpec &step, const TaskId &id) const;
    bool reserve(const JobEntry &entry, const TaskId &id);
    static int tasksThatFit(const Worker &worker, const StepSpec &step);
    bool tryPlaceGang(JobEntry &entry, const TaskId &id, const WorkerList &workers);
    Worker *chooseWorker(JobEntry &entry, const TaskId &id, const WorkerList &workers,
                         const std::map<std::string, int> &plannedMembers);

    // Start and stop orders (scheduler_starts.cpp)
    void assign(JobEntry &entry, const TaskId &id, Worker &worker);
    void sendStart(JobEntry &entry, const TaskId &id, Worker &worker);
    void handleStart(const TaskId &id, std::int64_t run, const StartDestination &destination,
                     const OrderReply &reply);
    void recordAcceptedStart(Worker &worker, const TaskId &id, const StartDestination &destination,
                             const OrderReply &reply);
    void stop(const TaskId &id, Task &task, StopReason reason);
    void sendStop(const TaskId &id, std::int64_t run, const std::string &workerId,
                  StopReason reason);
    bool maySendStop(const Worker &worker, const TaskId &id, const Task &task) const;
    void withdrawStart(const Worker &worker, const TaskId &id, Task &task);
    void logStop(const TaskId &id, std::int64_t run, const std::string &workerId,
                 StopReason reason) const;

    // Disruption budgets (scheduler_disruption.cpp)
    bool showsTasksAtWork(const Worker &worker) const;
    bool isAtWork(const TaskId &id) const;
    bool isUnderBudget(const TaskId &id) const;
    bool hasFreshList(const Worker &worker) const;
    int availableOthers(const JobEntry &entry, const TaskId &id) const;
    int unavailableOthers(const JobEntry &entry, const TaskId &id) const;
    bool mayEvict(const JobEntry &entry, const TaskId &id) const;

    WorkerOrders &orders_;
    SchedulerHooks hooks_;
    SchedulerSettings settings_;
    Millis createdAt_; ///< earlier leaders sent their last orders before this time
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::map<std::string, QueuePolicy> queues_;
    std::map<std::string, AccountPolicy> accounts_;
    std::map<std::string, Resources> accountLimits_;
    std::map<std::string, std::shared_ptr<AccountUse>> accountUse_;
    /// Demand of runs that an earlier leader may have started on workers that are silent.
    std::map<std::string, Resources> hiddenUse_;
    std::map<std::string, AccountRate> accountRates_;
    std::map<std::string, std::int64_t> joiningCpuMillis_; ///< by service
    std::map<std::string, Millis> backlogMs_;              ///< by service
    struct BacklogReport
    {
        Millis at = 0;
        bool isOrdinary = true; ///< no job was deferred or over its account's share
    };
    std::map<std::string, BacklogReport> backlogReports_; ///< by service
    std::unordered_map<std::string, std::unique_ptr<JobEntry>> jobs_;
    std::unordered_map<std::string, JobEntry *> openJobs_; ///< jobs that are not in a final state
    std::set<std::string> recurringJobs_;
    std::set<std::string> perpetualJobs_;
    std::deque<std::pair<Millis, std::string>> endedJobs_; ///< end time and id, ordered by end time
    std::set<std::string> uncompactedJobs_;                ///< ended, with their steps and tasks
    Millis compactedAt_ = 0;
    mutable JobMemory jobMemory_;
    mutable Millis jobMemoryAt_ = 0;
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    /// Runs of a worker whose lease has expired, until the machine's next sign of life.
    struct Silence
    {
        Millis incarnation = 0;
        Millis since = 0;
        std::vector<LostRun> runs;
    };
    std::map<std::string, Silence> silences_; ///< by machine
    std::map<std::string, std::vector<Worker *>> workersByService_;
    std::unordered_map<std::string, std::vector<Worker *>> workersByMachine_;
    std::map<std::string, ReadyQueue> ready_;     ///< by service
    std::set<std::string> servicesToPlace_;       ///< queue or free capacity has changed
    std::map<std::string, ReadyKey> scanCursors_; ///< where the latest further scan ended
    std::uint64_t rosterRevision_ = 1;
    std::uint64_t examinedWorkers_ = 0;
    std::uint64_t examinedSteps_ = 0;
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
    std::uint64_t replyCount_ = 0; ///< start and stop replies; a task list sent earlier is outdated
    Millis bandsRefreshedAt_ = 0;
    Millis waitingReportedAt_ = 0;
    std::set<std::string> reserved_; ///< ids of workers kept free during one placement pass
    /// Whether a service has silent inherited workers, as asked during one placement pass.
    std::map<std::string, bool> hasSilentWorker_;
    bool isPlacing_ = false;
    bool isPlacementRequested_ = false;
};

} // namespace chicorywick::scheduler
