#pragma once

#include <chicorywick/base/rng.h>
#include <chicorywick/scheduler/worker_orders.h>

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief Event loop in virtual time. Events at the same time run in the order they were added.
class VirtualLoop
{
public:
    Millis now() const { return now_; }
    void after(Millis delay, std::function<void()> action);
    void runUntil(Millis time);

private:
    struct Event
    {
        Millis time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    Millis now_ = 1'000;
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

/// @brief Faults injected into calls to fake workers.
struct CallFaults
{
    double lostReply = 0;   ///< fraction of orders executed without a reply
    double lateOrder = 0;   ///< fraction of orders executed seconds later, without a reply
    double lateRenewal = 0; ///< the same for renewals

    bool operator==(const CallFaults &) const = default;
};

enum class OrderKind { Start, Stop };

/// @brief Simulates workers in virtual time as specified by the platform documentation on running
/// tasks, and records violations of the scheduler's guarantees.
class FakeWorkers : public WorkerOrders
{
public:
    explicit FakeWorkers(VirtualLoop &loop, std::uint64_t seed = 1)
        : loop_(loop)
        , rng_(seed)
    {}

    /// @brief Adds an empty worker, or replaces the one with this id, and returns its discovery
    /// entry.
    WorkerEntry add(const std::string &id, const std::string &service, Resources capacity,
                    std::vector<std::string> labels = {});
    void crash(const std::string &id);

    /// @brief Crashes a worker; after a delay it runs again under its id and address, with a new
    /// incarnation, clock and end numbers, and the callback gets its discovery entry. Callers learn
    /// of the crash by a reset of their connections or, if it is silent, by their time-outs.
    void restart(const std::string &id, Millis delay, bool isSilent,
                 const std::function<void(const WorkerEntry &)> &onBack);
    void setReachable(const std::string &id, bool isReachable);
    void setFaults(CallFaults faults) { faults_ = faults; }

    /// @brief A worker that does not guard its capacity accepts every start; one that exceeds its
    /// capacity is recorded as a violation.
    void setGuardsCapacity(const std::string &id, bool isGuarded);

    /// @brief Changes the capacity of a running worker and returns its new discovery entry.
    WorkerEntry setCapacity(const std::string &id, Resources capacity);

    /// @brief Returns how a run ends after workMs; by default it succeeds.
    std::function<EndKind(const TaskId &, std::int64_t run)> outcome;
    /// @brief True for a task that crashes each worker soon after its start; by default none does.
    std::function<bool(const TaskId &)> crashesWorker;
    Millis crashDelayMs = 10;
    Millis downMs = 3'200; ///< time after a crash until the worker is back as a new incarnation
    std::function<void(const WorkerEntry &)> onRestart;
    /// Jobs whose tasks run on unless `outcome` ends them, and must start again however they end.
    std::set<std::string> perpetualJobs;
    /// Called for each run that starts; it is late if its order was executed seconds after sending.
    std::function<void(const std::string &worker, const TaskId &task, bool isLate)> onStarted;
    /// Called for each run that ends; it is late if a stop that was executed seconds after sending
    /// ended it.
    std::function<void(const std::string &worker, const EndedTask &end, Millis startedAt,
                       bool isLate)>
            onEnded;
    /// Returns after which time an order is executed, without a reply; empty: the faults decide.
    std::function<std::optional<Millis>(OrderKind kind, const TaskId &task, std::int64_t run)>
            lateness;
    Millis workMs = 500;
    Millis maxLeaseMs = 60'000; ///< longer leases are shortened to this
    Millis replyDelayMs = 0;    ///< replies to renewals wait unread for this time
    /// Renewals sent while a worker is down arrive when it is back, unless they were given up
    /// before.
    bool holdsRenewalsWhileDown = false;
    std::int64_t load = 0; ///< reported for every running task
    int pacesSent = 0;

    void start(const WorkerAddress &worker, const StartOrder &order,
               std::function<void(const OrderReply &)> done) override;
    void stop(const WorkerAddress &worker, const StopOrder &order,
              std::function<void(const OrderReply &)> done) override;
    void pace(const WorkerAddress &worker, const PaceOrder &order,
              std::function<void(const OrderReply &)> done) override;
    void renew(const WorkerAddress &worker, const RenewOrder &order,
               std::function<void(const RenewReply &)> done) override;
    void closeConnections(const WorkerAddress & /*worker*/) override {}

    /// @brief Descriptions of violated guarantees.
    const std::vector<std::string> &violations() const { return violations_; }
    int startsOf(const TaskId &task) const;
    int crashesUnder(const TaskId &task) const;
    /// @brief The most workers that ended while they ran one task of the job.
    int workersLostUnder(const std::string &job) const;
    std::vector<std::string> workersRunning(const TaskId &task) const;
    int runningCount() const;

    /// @brief Tasks that run on a worker now; none if it has crashed.
    std::vector<TaskId> tasksOn(const std::string &worker);
    int ordersSent() const { return ordersSent_; }
    int acknowledgedEnds() const { return acknowledged_; }
    void setDemand(const std::string &job, Resources demand) { demands_[job] = demand; }

private:
    struct Run
    {
        std::int64_t run = 0;
        std::string checkpoint;
        Millis startedAt = 0;
    };
    struct Worker
    {
        WorkerEntry entry;
        bool isReachable = true;
        bool isCapacityGuarded = true;
        std::vector<std::pair<Millis, Resources>> formerCapacities; ///< time of change, capacity
        std::uint64_t generation = 0;
        std::int64_t fence = 0;
        Millis leaseUntil = 0;
        std::int64_t nextEnd = 1;
        std::int64_t lastEndAtLapse = 0; ///< number of the last end when the lease lapsed
        std::map<TaskId, Run> running;
        std::map<TaskId, std::int64_t> tombstones;
        std::vector<EndedTask> ended;
        std::vector<std::function<void()>> waiting;
        std::vector<std::function<void()>> resets; ///< run when the connections are reset
        Millis clockOrigin = 0;                    ///< virtual time at which its clock showed 0
    };

    Worker *findReachable(const WorkerAddress &address);
    Millis clockOf(const Worker &worker) const { return loop_.now() - worker.clockOrigin; }
    bool hasRoom(const Worker &worker, const Resources &used) const;
    void executeRenewal(const WorkerAddress &address, const RenewOrder &order,
                        const std::function<void(const RenewReply &)> &done);
    void deliverHeld(const WorkerAddress &address, const RenewOrder &order, Millis giveUpAt,
                     const std::function<void(const RenewReply &)> &done);
    Millis randomDelay();
    void extendLease(Worker &worker, Millis leaseUntil);
    OrderReply executeStart(Worker &worker, const StartOrder &order);
    OrderReply executeStop(Worker &worker, const StopOrder &order);
    void crashSoon(const std::string &id, const TaskId &cause);
    void end(Worker &worker, const TaskId &task, EndKind kind, bool isLate = false);
    void expire(Worker &worker);
    template <typename Order>
    void deliver(const WorkerAddress &address, OrderKind kind, const Order &order,
                 OrderReply (FakeWorkers::*execute)(Worker &, const Order &),
                 const std::function<void(const OrderReply &)> &done);

    VirtualLoop &loop_;
    base::Rng rng_;
    CallFaults faults_;
    std::map<std::string, Worker> workers_;
    std::set<std::string> formerIds_; ///< ids of all workers that have been added
    std::map<std::string, Resources> demands_;
    std::map<TaskId, int> starts_;
    std::map<TaskId, int> losses_;             ///< workers that ended while they ran the task
    std::map<TaskId, int> crashes_;            ///< by the task that is the cause
    std::map<TaskId, int> startsAfterCrashes_; ///< after the third crash
    std::set<TaskId> doneAndAcknowledged_;
    std::vector<std::string> violations_;
    int acknowledged_ = 0;
    int ordersSent_ = 0;
    Millis orderSentAt_ = 0; ///< of the order that is being executed
    std::uint64_t lastGeneration_ = 0;
    bool isExecutingLate_ = false;
};

} // namespace chicorywick::scheduler
