#include "evidence/prove/leaving_model.h"
#include "evidence/prove/proof.h"

#include <algorithm>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

/// Time after which a leaving upstream must receive no new work (docs/design.md, 1.1).
constexpr base::Duration kNewWorkBound = 3s;

constexpr const char *kReasonNames[kLeavingReasons] = {"drained", "listed leaving", "dead"};

} // namespace

// Guards against new work on an upstream whose drain, list state or failed health checks the entry
// instance has received, or had the time to receive. Late or lost notices and stale listings cause
// it.
std::string LeavingModel::checkNewWork(std::size_t entry, const SimulatedUpstream &upstream) const
{
    const base::TimePoint windowStart = time_.now() - kNewWorkBound;
    for (std::size_t i = 0; i < kLeavingReasons; ++i) {
        const auto &since = upstream.since[i];
        if (!since)
            continue;
        const bool hasReceived = entries_[entry].receivedAt[i].contains(upstream.id);
        const bool isOverdue =
                *since <= windowStart
                && couldReceiveReason(entry, upstream, static_cast<LeavingReason>(i), windowStart);
        if (!hasReceived && !isOverdue)
            continue;
        std::string text = timeText() + ": e" + std::to_string(entry) + " starts new work on "
                           + upstream.id + ", which has been " + kReasonNames[i] + " for "
                           + std::to_string((time_.now() - *since).count() / 1000) + " ms"
                           + (hasReceived ? ", as this entry instance has received" : "");
        for (const std::string &line : upstream.trace)
            text += "\n  " + line;
        return text;
    }
    return {};
}

bool LeavingModel::couldReceiveReason(std::size_t entry, const SimulatedUpstream &upstream,
                                      LeavingReason reason, base::TimePoint windowStart) const
{
    if (entries_[entry].frozenUntil > windowStart)
        return false;
    const bool listWasUp = listDownUntil_ <= windowStart;
    switch (reason) {
    case LeavingReason::Drained:
        return listWasUp || couldReceiveDrain(entry, upstream.id, windowStart);
    case LeavingReason::Listed:
        return listWasUp;
    case LeavingReason::Dead:
        return true;
    }
    return false;
}

// Returns whether another entry instance had received the drain at the start of the window and
// could send to this one since then.
bool LeavingModel::couldReceiveDrain(std::size_t entry, const std::string &upstream,
                                     base::TimePoint windowStart) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const SimulatedEntry &other) {
        const auto drainReceived = other.drainReceivedAt.find(upstream);
        if (drainReceived == other.drainReceivedAt.end() || drainReceived->second > windowStart)
            return false;
        return other.frozenUntil <= windowStart && other.partitionedUntil <= windowStart
               && entries_[entry].partitionedUntil <= windowStart;
    });
}

std::string LeavingModel::checkAllWorkFinished()
{
    if (started_ != finished_) {
        return std::to_string(started_) + " requests started, but " + std::to_string(finished_)
               + " finished";
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const serving::Dispatcher &dispatcher = *entries_[i].dispatcher;
        if (dispatcher.inFlight() != 0 || dispatcher.queued() != 0) {
            return "e" + std::to_string(i) + " still counts "
                   + std::to_string(dispatcher.inFlight()) + " in flight and "
                   + std::to_string(dispatcher.queued()) + " queued";
        }
    }
    return {};
}

namespace {

const Registration kRegistration{
        {"leaving",
         "a leaving upstream receives no new work after 3 s, and work in flight finishes", 300,
         [](std::uint64_t seed) { return LeavingModel(seed).run(); }}};

} // namespace

} // namespace chicorywick::prove
