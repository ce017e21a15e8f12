#pragma once

#include <chicorywick/serving/admission.h>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorywick::serving {

struct Waiter;
using WaiterPtr = std::shared_ptr<Waiter>;

/// @brief Queued requests of one class. Round-robin over callers, first in, first out per caller.
class RoundRobinQueue
{
public:
    using Accepts = std::function<bool(const Waiter &)>;

    void push(const WaiterPtr &waiter, bool atFront);
    /// @brief Removes the next request that `accepts` allows and moves its caller to the end of the
    /// rotation.
    WaiterPtr pop(const Accepts &accepts);
    bool remove(const WaiterPtr &waiter);
    /// @brief Removes the newest request of the caller with the most queued.
    WaiterPtr evictNewest();
    void collect(std::vector<WaiterPtr> &all) const;

    std::size_t size() const { return size_; }
    std::size_t queuedByCaller(const std::string &caller) const;
    std::size_t longestCallerQueue() const;

private:
    struct CallerQueue
    {
        std::string caller;
        std::list<WaiterPtr> waiters;
    };
    using CallerQueueIterator = std::list<CallerQueue>::iterator;

    void dropIfEmpty(CallerQueueIterator callerQueue);

    std::list<CallerQueue> callerQueues_;
    std::unordered_map<std::string, CallerQueueIterator> byCaller_;
    std::size_t size_ = 0;
};

/// @brief Order of the queued requests of a service. Not thread-safe; the owner limits its size.
class FairQueue
{
public:
    void push(const WaiterPtr &waiter);
    /// @brief Removes the next accepted request: quick before archive, but archive gets at least
    /// its share.
    WaiterPtr pop(unsigned archiveSharePercent, const RoundRobinQueue::Accepts &accepts);
    bool remove(const WaiterPtr &waiter);
    WaiterPtr evictNewest(RequestClass requestClass)
    {
        return mutableQueueOfClass(requestClass).evictNewest();
    }
    std::vector<WaiterPtr> all() const;

    std::size_t size() const { return quick_.size() + archive_.size(); }
    const RoundRobinQueue &queueOfClass(RequestClass requestClass) const;
    std::size_t queuedByCaller(const std::string &caller) const;

private:
    RoundRobinQueue &mutableQueueOfClass(RequestClass requestClass);

    RoundRobinQueue quick_;
    RoundRobinQueue archive_;
    /// Credit of the archive class while both classes wait, in percent of one start.
    unsigned archiveCredit_ = 0;
};

} // namespace chicorywick::serving
