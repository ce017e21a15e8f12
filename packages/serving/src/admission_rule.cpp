#include <chicorywick/serving/admission_rule.h>

#include <algorithm>

namespace chicorywick::serving {

namespace {

// Lower bound of the wait limit. A shorter wait does not justify a rejection, however short the
// service's requests are.
constexpr base::Duration kShortestWaitLimit = std::chrono::milliseconds(5);
// Allowance for bursts, in mean hold times. Without it, a service with two upstreams rejects 2.8%
// of its requests at a load of 0.7 instead of 1.3%.
constexpr int kBurstHoldTimes = 4;
constexpr unsigned kPercent = 100;
constexpr unsigned kMaxArchiveShare = 90;

} // namespace

std::optional<base::Duration> expectedWait(std::size_t ahead, const ServiceRate &rate)
{
    if (rate.meanHoldTime <= base::Duration::zero())
        return std::nullopt;
    const auto turns = static_cast<std::int64_t>(ahead + 1);
    // Assume at least one slot. Treating the wait as unknown while no slot is in use would queue
    // requests without limit for an upstream that refuses all of them.
    return rate.meanHoldTime * turns
           / static_cast<std::int64_t>(std::max<std::size_t>(1, rate.slotsInUse));
}

std::size_t requestsAhead(RequestClass requestClass, const QueueLoad &load,
                          unsigned archiveSharePercent)
{
    const unsigned share = std::min(archiveSharePercent, kMaxArchiveShare);
    if (requestClass == RequestClass::Quick) {
        // Archive requests up to their share start between the quick ones.
        const std::size_t between = load.quick * share / (kPercent - share);
        return load.quick + std::min(load.archive, between);
    }
    // The smaller of all queued requests and the requests that start while the archive share serves
    // the queued archive requests.
    const std::size_t all = load.quick + load.archive;
    if (share == 0)
        return all;
    return std::min(all, load.archive * kPercent / share);
}

base::Duration quickWaitLimit(const ServiceRate &rate, base::Duration nonEmptyFor)
{
    const base::Duration burst = kBurstHoldTimes * rate.meanHoldTime;
    // A queue of one mean hold time keeps every slot busy; a longer one only adds latency. A queue
    // that was empty recently is treated as a burst and may grow longer.
    return std::max(nonEmptyFor < burst ? burst : rate.meanHoldTime, kShortestWaitLimit);
}

AdmissionVerdict decideAdmission(const ServicePolicy &policy, const AdmissionRequest &request,
                                 const QueueLoad &load, const ServiceRate &rate,
                                 base::TimePoint now)
{
    const std::size_t ahead =
            request.isRetry ? 0
                            : requestsAhead(request.requestClass, load, policy.archiveSharePercent);
    const auto wait = expectedWait(ahead, rate);
    if (request.deadline <= now || (wait && now + *wait > request.deadline))
        return AdmissionVerdict::DeadlineTooNear;
    if (load.queuedByCaller >= policy.queueLimitPerCaller)
        return AdmissionVerdict::CallerLimit;
    const bool tooLong = request.requestClass == RequestClass::Quick && !request.isRetry && wait
                         && *wait > quickWaitLimit(rate, load.nonEmptyFor);
    if (!tooLong && load.quick + load.archive < policy.queueLimit)
        return AdmissionVerdict::Queue;
    return load.queuedByCaller + 1 < load.longestCallerQueue ? AdmissionVerdict::QueueAndEvict
                                                             : AdmissionVerdict::QueueFull;
}

} // namespace chicorywick::serving
