#pragma once

#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/task_id.h>

#include <functional>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief What became of an order.
enum class OrderStatus {
    Accepted,
    Fenced,       ///< the worker has seen a newer driver
    StaleRun,     ///< the run number is not higher than one that ended there
    ExpiredLease, ///< the order's lease had expired when it arrived
    NoCapacity,
    NoTicket,
    Unhealthy,        ///< refused by an unhealthy worker, nothing was done
    WrongIncarnation, ///< another incarnation answers at the address
    Invalid,
    NotSent,
    Unknown, ///< no response: it may have been carried out, or may be later
};

/// @brief The worker that an order addresses.
struct WorkerAddress
{
    std::string id;
    std::string address;

    bool operator==(const WorkerAddress &) const = default;
};

struct StartOrder
{
    TaskId task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    Millis leaseUntil = 0; ///< on the worker's clock
    std::int64_t fence = 0;

    bool operator==(const StartOrder &) const = default;
};

struct StopOrder
{
    TaskId task;
    std::int64_t run = 0;
    std::int64_t fence = 0;

    bool operator==(const StopOrder &) const = default;
};

struct PaceOrder
{
    TaskId task;
    std::int64_t run = 0;
    int percent = 100;
    std::int64_t fence = 0;

    bool operator==(const PaceOrder &) const = default;
};

/// @brief Renews the worker's lease and asks what runs and what has ended there.
struct RenewOrder
{
    Millis leaseUntil = 0; ///< on the worker's clock; 0: only asks
    std::int64_t lastAckedEnd = 0;
    Millis waitMs = 0;
    std::int64_t fence = 0;

    bool operator==(const RenewOrder &) const = default;
};

struct OrderReply
{
    OrderStatus status = OrderStatus::Unknown;
    Millis workerClock = 0; ///< 0: not said

    bool operator==(const OrderReply &) const = default;
};

struct RunningTask
{
    TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load = 0; ///< tail latency in ms of a serving task, processor use of another

    bool operator==(const RunningTask &) const = default;
};

enum class EndKind { Done, Failed, Stopped, LeaseExpired, GangBroken, GangIncomplete };

struct EndedTask
{
    std::int64_t number = 0;
    TaskId task;
    std::int64_t run = 0;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;

    bool operator==(const EndedTask &) const = default;
};

struct RenewReply
{
    OrderStatus status = OrderStatus::Unknown;
    Millis workerClock = 0;
    Millis incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;

    bool operator==(const RenewReply &) const = default;
};

/// @brief Sends orders to workers; callbacks come later, from the scheduler's thread.
class WorkerOrders
{
public:
    virtual ~WorkerOrders() = default;

    virtual void start(const WorkerAddress &worker, const StartOrder &order,
                       std::function<void(const OrderReply &)> done) = 0;
    virtual void stop(const WorkerAddress &worker, const StopOrder &order,
                      std::function<void(const OrderReply &)> done) = 0;
    virtual void pace(const WorkerAddress &worker, const PaceOrder &order,
                      std::function<void(const OrderReply &)> done) = 0;
    virtual void renew(const WorkerAddress &worker, const RenewOrder &order,
                       std::function<void(const RenewReply &)> done) = 0;

    /// @brief The worker's connections are not needed any more.
    virtual void closeConnections(const WorkerAddress &worker) = 0;
};

} // namespace chicorywick::scheduler
