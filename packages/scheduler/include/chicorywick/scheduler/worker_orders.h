#pragma once

#include <chicorywick/scheduler/model.h>
#include <chicorywick/scheduler/task_id.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::scheduler {

/// @brief Outcome of an order.
enum class OrderStatus {
    Accepted,
    Fenced,       ///< the worker has seen a newer fencing token
    StaleRun,     ///< the run number is not above that of a run that ended there
    ExpiredLease, ///< the lease had expired when the order arrived
    NoCapacity,
    NoTicket,
    Unhealthy,        ///< rejected by an unhealthy worker, not executed
    WrongIncarnation, ///< another incarnation uses the address
    Invalid,
    NotSent,
    Unknown, ///< no response: the order may have been executed, or may still be
};

/// @brief Destination of an order.
struct WorkerAddress
{
    std::string id;
    std::string address;

    bool operator==(const WorkerAddress &) const = default;
};

/// @brief Until when an order may be sent. After the leader has checked its lease, an order can
/// wait for a connection, the process can be paused, or the leader can hand over.
struct OrderValidity
{
    Millis until = 0;                           ///< local steady time; 0: no limit
    std::shared_ptr<const bool> isRevoked = {}; ///< set to true when the leader hands over

    bool operator==(const OrderValidity &) const = default;
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
    OrderValidity validity;

    bool operator==(const StartOrder &) const = default;
};

struct StopOrder
{
    TaskId task;
    std::int64_t run = 0;
    std::int64_t fence = 0;
    OrderValidity validity;

    bool operator==(const StopOrder &) const = default;
};

struct PaceOrder
{
    TaskId task;
    std::int64_t run = 0;
    int percent = 100;
    std::int64_t fence = 0;
    OrderValidity validity;

    bool operator==(const PaceOrder &) const = default;
};

/// @brief Renews the worker's lease and requests its running and ended tasks.
struct RenewOrder
{
    Millis leaseUntil = 0; ///< on the worker's clock; 0: queries without renewing
    std::int64_t lastAckedEnd = 0;
    Millis waitMs = 0;
    std::int64_t fence = 0;
    OrderValidity validity;

    bool operator==(const RenewOrder &) const = default;
};

struct OrderReply
{
    OrderStatus status = OrderStatus::Unknown;
    Millis workerClock = 0; ///< 0: not reported

    bool operator==(const OrderReply &) const = default;
};

struct RunningTask
{
    TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load = 0; ///< tail latency in ms for a serving task, CPU use for others

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

/// @brief A worker lists at most this many ends in a reply.
inline constexpr std::size_t kMaxEndsPerReply = 500;

struct RenewReply
{
    OrderStatus status = OrderStatus::Unknown;
    Millis workerClock = 0;
    Millis incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;

    /// @brief True if the worker may have more ends than it has listed.
    bool mayOmitEnds() const { return ended.size() >= kMaxEndsPerReply; }

    bool operator==(const RenewReply &) const = default;
};

/// @brief Sends orders to workers. Callbacks run asynchronously on the scheduler's thread.
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

    /// @brief Drops the connections to the worker.
    virtual void closeConnections(const WorkerAddress &worker) = 0;
};

} // namespace chicorywick::scheduler
