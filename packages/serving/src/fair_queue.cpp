#include <chicorywick/serving/fair_queue.h>
#include <chicorywick/serving/waiter.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

constexpr unsigned kPercent = 100;

} // namespace

void RoundRobinQueue::push(const WaiterPtr &waiter, bool atFront)
{
    const std::string &caller = waiter->request.caller;
    auto known = byCaller_.find(caller);
    if (known == byCaller_.end()) {
        callerQueues_.push_back({caller, {}});
        known = byCaller_.emplace(caller, std::prev(callerQueues_.end())).first;
    }
    CallerQueue &callerQueue = *known->second;
    callerQueue.waiters.insert(atFront ? callerQueue.waiters.begin() : callerQueue.waiters.end(),
                               waiter);
    if (atFront)
        callerQueues_.splice(callerQueues_.begin(), callerQueues_, known->second);
    ++size_;
}

WaiterPtr RoundRobinQueue::pop(const Accepts &accepts)
{
    for (auto callerQueue = callerQueues_.begin(); callerQueue != callerQueues_.end();
         ++callerQueue) {
        auto &waiters = callerQueue->waiters;
        const auto found = std::find_if(waiters.begin(), waiters.end(),
                                        [&](const WaiterPtr &waiter) { return accepts(*waiter); });
        if (found == waiters.end())
            continue;
        WaiterPtr next = *found;
        waiters.erase(found);
        --size_;
        callerQueues_.splice(callerQueues_.end(), callerQueues_, callerQueue);
        dropIfEmpty(callerQueue);
        return next;
    }
    return nullptr;
}

bool RoundRobinQueue::remove(const WaiterPtr &waiter)
{
    const auto known = byCaller_.find(waiter->request.caller);
    if (known == byCaller_.end())
        return false;
    auto &waiters = known->second->waiters;
    const auto found = std::find(waiters.begin(), waiters.end(), waiter);
    if (found == waiters.end())
        return false;
    waiters.erase(found);
    --size_;
    dropIfEmpty(known->second);
    return true;
}

WaiterPtr RoundRobinQueue::evictNewest()
{
    const auto longest = std::max_element(callerQueues_.begin(), callerQueues_.end(),
                                          [](const CallerQueue &left, const CallerQueue &right) {
                                              return left.waiters.size() < right.waiters.size();
                                          });
    if (longest == callerQueues_.end())
        return nullptr;
    WaiterPtr newest = longest->waiters.back();
    longest->waiters.pop_back();
    --size_;
    dropIfEmpty(longest);
    return newest;
}

void RoundRobinQueue::collect(std::vector<WaiterPtr> &all) const
{
    for (const CallerQueue &callerQueue : callerQueues_)
        all.insert(all.end(), callerQueue.waiters.begin(), callerQueue.waiters.end());
}

std::size_t RoundRobinQueue::queuedByCaller(const std::string &caller) const
{
    const auto known = byCaller_.find(caller);
    return known == byCaller_.end() ? 0 : known->second->waiters.size();
}

std::size_t RoundRobinQueue::longestCallerQueue() const
{
    std::size_t longest = 0;
    for (const CallerQueue &callerQueue : callerQueues_)
        longest = std::max(longest, callerQueue.waiters.size());
    return longest;
}

void RoundRobinQueue::dropIfEmpty(CallerQueueIterator callerQueue)
{
    if (!callerQueue->waiters.empty())
        return;
    byCaller_.erase(callerQueue->caller);
    callerQueues_.erase(callerQueue);
}

void FairQueue::push(const WaiterPtr &waiter)
{
    mutableQueueOfClass(waiter->request.requestClass).push(waiter, waiter->request.isRetry);
}

WaiterPtr FairQueue::pop(unsigned archiveSharePercent, const RoundRobinQueue::Accepts &accepts)
{
    const bool bothWait = quick_.size() > 0 && archive_.size() > 0;
    const unsigned credit = archiveCredit_ + std::min(archiveSharePercent, kPercent);
    const bool archiveFirst = bothWait && credit >= kPercent;
    WaiterPtr next = (archiveFirst ? archive_ : quick_).pop(accepts);
    if (!next)
        return (archiveFirst ? quick_ : archive_).pop(accepts);
    if (bothWait)
        archiveCredit_ = archiveFirst ? credit - kPercent : credit;
    return next;
}

bool FairQueue::remove(const WaiterPtr &waiter)
{
    return mutableQueueOfClass(waiter->request.requestClass).remove(waiter);
}

std::vector<WaiterPtr> FairQueue::all() const
{
    std::vector<WaiterPtr> waiters;
    waiters.reserve(size());
    quick_.collect(waiters);
    archive_.collect(waiters);
    return waiters;
}

const RoundRobinQueue &FairQueue::queueOfClass(RequestClass requestClass) const
{
    return requestClass == RequestClass::Quick ? quick_ : archive_;
}

RoundRobinQueue &FairQueue::mutableQueueOfClass(RequestClass requestClass)
{
    return requestClass == RequestClass::Quick ? quick_ : archive_;
}

std::size_t FairQueue::queuedByCaller(const std::string &caller) const
{
    return quick_.queuedByCaller(caller) + archive_.queuedByCaller(caller);
}

} // namespace chicorywick::serving
