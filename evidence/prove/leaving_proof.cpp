#include "evidence/prove/leaving_model.h"
#include "evidence/prove/proof.h"

#include <algorithm>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

/// Time within which an upstream that is leaving gets no more new work (docs/design.md, 1.1).
constexpr base::Duration kBound = 3s;

constexpr const char *kReasonNames[kLeavingReasons] = {"drained", "listed leaving", "dead"};

} // namespace

std::string LeavingModel::checkNewWork(std::size_t entry, const TrueUpstream &upstream) const
{
    const base::TimePoint windowStart = time_.now() - kBound;
    for (std::size_t i = 0; i < kLeavingReasons; ++i) {
        const auto &since = upstream.since[i];
        if (!since)
            continue;
        const bool learned = entries_[entry].knowsSince[i].contains(upstream.id);
        const bool overdue =
                *since <= windowStart
                && couldLearn(entry, upstream, static_cast<LeavingReason>(i), windowStart);
        if (!learned && !overdue)
            continue;
        std::string text = timeText() + ": e" + std::to_string(entry) + " starts new work at "
                           + upstream.id + ", which is " + kReasonNames[i] + " for "
                           + std::to_string((time_.now() - *since).count() / 1000) + " ms"
                           + (learned ? " and known to be" : "");
        for (const std::string &line : upstream.trace)
            text += "\n  " + line;
        return text;
    }
    return {};
}

bool LeavingModel::couldLearn(std::size_t entry, const TrueUpstream &upstream, LeavingReason reason,
                              base::TimePoint windowStart) const
{
    if (entries_[entry].frozenUntil > windowStart)
        return false;
    const bool listWasUp = listDownUntil_ <= windowStart;
    switch (reason) {
    case LeavingReason::Drained:
        return listWasUp || couldHearOfDrain(entry, upstream.id, windowStart);
    case LeavingReason::Listed:
        return listWasUp;
    case LeavingReason::Dead:
        return true;
    }
    return false;
}

// Some entry instance knew at the start of the window, and both ends could talk ever since.
bool LeavingModel::couldHearOfDrain(std::size_t entry, const std::string &upstream,
                                    base::TimePoint windowStart) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const FakeEntry &other) {
        const auto heard = other.heardSince.find(upstream);
        if (heard == other.heardSince.end() || heard->second > windowStart)
            return false;
        return other.frozenUntil <= windowStart && other.cutUntil <= windowStart
               && entries_[entry].cutUntil <= windowStart;
    });
}

std::string LeavingModel::checkDrainedOut()
{
    if (started_ != finished_) {
        return std::to_string(started_) + " requests started and " + std::to_string(finished_)
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
        {"leaving", "an upstream that is leaving gets no new work after 3 s; its work finishes",
         300, [](std::uint64_t seed) { return LeavingModel(seed).run(); }}};

} // namespace

} // namespace chicorywick::prove
