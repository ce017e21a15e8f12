#include <chicorywick/serving/fair_queue.h>
#include <chicorywick/serving/waiter.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

constexpr unsigned kPercent = 100;

} // namespace

void CallerRing::push(const WaiterPtr &waiter, bool atFront)
{
    const std::string &caller = waiter->request.caller;
    auto known = byCaller_.find(caller);
    if (known == byCaller_.end()) {
        lanes_.push_back({caller, {}});
        known = byCaller_.emplace(caller, std::prev(lanes_.end())).first;
    }
    Lane &lane = *known->second;
    lane.waiters.insert(atFront ? lane.waiters.begin() : lane.waiters.end(), waiter);
    if (atFront)
        lanes_.splice(lanes_.begin(), lanes_, known->second);
    ++size_;
}

WaiterPtr CallerRing::pop(const Accepts &accepts)
{
    for (auto lane = lanes_.begin(); lane != lanes_.end(); ++lane) {
        auto &waiters = lane->waiters;
        const auto found = std::find_if(waiters.begin(), waiters.end(),
                                        [&](const WaiterPtr &waiter) { return accepts(*waiter); });
        if (found == waiters.end())
            continue;
        WaiterPtr next = *found;
        waiters.erase(found);
        --size_;
        lanes_.splice(lanes_.end(), lanes_, lane);
        dropIfEmpty(lane);
        return next;
    }
    return nullptr;
}

bool CallerRing::remove(const WaiterPtr &waiter)
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

WaiterPtr CallerRing::pushOut()
{
    const auto longest =
            std::max_element(lanes_.begin(), lanes_.end(), [](const Lane &left, const Lane &right) {
                return left.waiters.size() < right.waiters.size();
            });
    if (longest == lanes_.end())
        return nullptr;
    WaiterPtr newest = longest->waiters.back();
    longest->waiters.pop_back();
    --size_;
    dropIfEmpty(longest);
    return newest;
}

void CallerRing::collect(std::vector<WaiterPtr> &all) const
{
    for (const Lane &lane : lanes_)
        all.insert(all.end(), lane.waiters.begin(), lane.waiters.end());
}

std::size_t CallerRing::ofCaller(const std::string &caller) const
{
    const auto known = byCaller_.find(caller);
    return known == byCaller_.end() ? 0 : known->second->waiters.size();
}

std::size_t CallerRing::ofLongestCaller() const
{
    std::size_t longest = 0;
    for (const Lane &lane : lanes_)
        longest = std::max(longest, lane.waiters.size());
    return longest;
}

void CallerRing::dropIfEmpty(LaneIterator lane)
{
    if (!lane->waiters.empty())
        return;
    byCaller_.erase(lane->caller);
    lanes_.erase(lane);
}

void FairQueue::push(const WaiterPtr &waiter)
{
    ring(waiter->request.requestClass).push(waiter, waiter->request.isRetry);
}

WaiterPtr FairQueue::pop(unsigned archiveSharePercent, const CallerRing::Accepts &accepts)
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
    return ring(waiter->request.requestClass).remove(waiter);
}

std::vector<WaiterPtr> FairQueue::all() const
{
    std::vector<WaiterPtr> waiters;
    waiters.reserve(size());
    quick_.collect(waiters);
    archive_.collect(waiters);
    return waiters;
}

const CallerRing &FairQueue::ofClass(RequestClass requestClass) const
{
    return requestClass == RequestClass::Quick ? quick_ : archive_;
}

CallerRing &FairQueue::ring(RequestClass requestClass)
{
    return requestClass == RequestClass::Quick ? quick_ : archive_;
}

std::size_t FairQueue::ofCaller(const std::string &caller) const
{
    return quick_.ofCaller(caller) + archive_.ofCaller(caller);
}

} // namespace chicorywick::serving
