#include "evidence/prove/leaving_model.h"

#include <algorithm>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

constexpr const char *kService = "print";
constexpr base::Duration kRunLength = 40s;
constexpr base::Duration kDrainTime = 20s;
constexpr base::Duration kListPollInterval = 400ms;
constexpr base::Duration kListLag = 2s;
constexpr base::Duration kMaxListDelay = 300ms;
constexpr base::Duration kListingInterval = 50ms;
constexpr base::Duration kNoticeInterval = 200ms;
constexpr base::Duration kMaxNoticeDelay = 800ms;
constexpr double kNoticeLoss = 0.4;
constexpr int kMaxConsecutiveLosses = 4;
constexpr double kFalseCheckFailure = 0.02;
constexpr base::Duration kRequestInterval = 30ms;
constexpr base::Duration kMaxWorkTime = 1500ms;
constexpr base::Duration kDeadline = 3s;
constexpr base::Duration kFaultInterval = 700ms;
constexpr base::Duration kChangeInterval = 300ms;
constexpr base::Duration kMaxFreeze = 8s;
constexpr base::Duration kMaxPartition = 6s;
constexpr base::Duration kMaxListOutage = 10s;
constexpr base::Duration kMaxClockSkew = 2s;

std::size_t indexOf(LeavingReason reason)
{
    return static_cast<std::size_t>(reason);
}

bool hasLastDecision(const SimulatedEntry &entry, const SimulatedUpstream &upstream)
{
    if (upstream.drainDecidedAt == base::TimePoint{})
        return true;
    const auto drains = entry.directory.drains();
    return std::any_of(drains.begin(), drains.end(), [&](const serving::DrainDecision &drain) {
        return drain.upstream == upstream.id && drain.timestamp == upstream.drainDecidedAt;
    });
}

} // namespace

LeavingModel::LeavingModel(std::uint64_t seed)
    : rng_(seed)
    , start_(time_.now())
{
    const std::size_t upstreams = 3 + rng_.below(6);
    for (std::size_t i = 0; i < upstreams; ++i)
        upstreams_.push_back({"u" + std::to_string(i), rng_.chance(0.7) ? "z1" : "z2"});
    const std::size_t entries = 2 + rng_.below(4);
    for (std::size_t i = 0; i < entries; ++i) {
        SimulatedEntry &entry = entries_.emplace_back();
        entry.dispatcher = std::make_unique<serving::Dispatcher>(time_.clock(), rng_());
        entry.clockSkew = randomDuration(kMaxClockSkew);
        entry.consecutiveLosses.resize(entries);
    }
}

// Destroying pending events releases their permits, which would start queued requests.
LeavingModel::~LeavingModel()
{
    isClosing_ = true;
}

std::string LeavingModel::run()
{
    recordListing();
    startEntries();
    repeat(kListingInterval, [this] { recordListing(); });
    repeat(kFaultInterval, [this] { injectFault(); });
    repeat(kChangeInterval, [this] { changeUpstream(); });
    time_.runUntil(start_ + kRunLength);
    isOfferingLoad_ = false;
    time_.runUntil(start_ + kRunLength + kDrainTime);
    return violation_.empty() ? checkAllWorkFinished() : violation_;
}

// A paused process runs its due timers and receives its messages when it resumes.
void LeavingModel::scheduleOnEntry(std::size_t entry, base::Duration delay,
                                   VirtualTime::Action action)
{
    time_.after(delay, [this, entry, action = std::move(action)] {
        const base::TimePoint until = entries_[entry].frozenUntil;
        if (time_.now() < until)
            scheduleOnEntry(entry, until - time_.now(), action);
        else
            action();
    });
}

void LeavingModel::repeatOnEntry(std::size_t entry, base::Duration interval,
                                 const VirtualTime::Action &action)
{
    scheduleOnEntry(entry, interval, [=, this] {
        action();
        repeatOnEntry(entry, interval, action);
    });
}

void LeavingModel::repeat(base::Duration interval, const VirtualTime::Action &action)
{
    time_.after(interval, [=, this] {
        action();
        repeat(interval, action);
    });
}

base::Duration LeavingModel::randomDuration(base::Duration longest)
{
    return base::Duration(
            static_cast<std::int64_t>(rng_.below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

void LeavingModel::startEntries()
{
    const serving::HealthPolicy health;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        entries_[i].directory.applyListing(currentListing());
        refresh(i);
        repeatOnEntry(i, kListPollInterval, [this, i] { pollList(i); });
        repeatOnEntry(i, health.interval, [this, i] { checkHealth(i); });
        repeatOnEntry(i, kNoticeInterval, [this, i] { sendDrainNotices(i); });
        repeatOnEntry(i, kRequestInterval, [this, i] { sendRequest(i); });
        repeatOnEntry(i, 20ms, [this, i] { entries_[i].dispatcher->poll(); });
    }
}

void LeavingModel::recordListing()
{
    listings_.push_back(currentListing());
    while (listings_.front().observedAt < time_.now() - kListLag)
        listings_.pop_front();
}

platform::InstanceListing LeavingModel::currentListing() const
{
    platform::InstanceListing listing;
    listing.observedAt = time_.now();
    for (const SimulatedUpstream &upstream : upstreams_) {
        if (!upstream.listed)
            continue;
        platform::ListedInstance instance;
        instance.id = upstream.id;
        instance.address = "127.0.0.1:80";
        instance.zone = upstream.zone;
        instance.service = kService;
        instance.leaving = upstream.since[indexOf(LeavingReason::Drained)].has_value()
                           || upstream.since[indexOf(LeavingReason::Listed)].has_value();
        listing.instances.push_back(instance);
    }
    return listing;
}

void LeavingModel::pollList(std::size_t entry)
{
    if (time_.now() < listDownUntil_)
        return;
    const platform::InstanceListing polledListing = listings_[rng_.below(listings_.size())];
    scheduleOnEntry(entry, randomDuration(kMaxListDelay), [this, entry, polledListing] {
        if (entries_[entry].directory.applyListing(polledListing))
            receiveListing(entry, polledListing.observedAt);
        refresh(entry);
    });
}

void LeavingModel::checkHealth(std::size_t entry)
{
    const serving::HealthPolicy health;
    for (const SimulatedUpstream &upstream : upstreams_) {
        const bool dead = upstream.since[indexOf(LeavingReason::Dead)].has_value();
        const bool passed = !dead && !rng_.chance(kFalseCheckFailure);
        const base::Duration delay = passed ? randomDuration(100ms) : health.timeout;
        scheduleOnEntry(entry, delay, [this, entry, passed, id = upstream.id] {
            if (entries_[entry].directory.applyHealthCheck(id, passed))
                refresh(entry);
        });
    }
}

void LeavingModel::sendDrainNotices(std::size_t from)
{
    const std::vector<serving::DrainDecision> drains = entries_[from].directory.drains();
    for (std::size_t to = 0; to < entries_.size(); ++to) {
        if (to == from || drains.empty() || losesMessage(entries_[from], to))
            continue;
        scheduleOnEntry(to, randomDuration(kMaxNoticeDelay), [this, to, drains] {
            for (const serving::DrainDecision &drain : drains)
                entries_[to].directory.applyDrain(drain);
            refresh(to);
        });
    }
}

bool LeavingModel::losesMessage(SimulatedEntry &from, std::size_t to)
{
    if (time_.now() < from.partitionedUntil || time_.now() < entries_[to].partitionedUntil)
        return true;
    int &lost = from.consecutiveLosses[to];
    lost = lost < kMaxConsecutiveLosses && rng_.chance(kNoticeLoss) ? lost + 1 : 0;
    return lost > 0;
}

void LeavingModel::receiveListing(std::size_t entry, base::TimePoint observedAt)
{
    for (SimulatedUpstream &upstream : upstreams_) {
        for (const LeavingReason reason : {LeavingReason::Drained, LeavingReason::Listed}) {
            const auto &since = upstream.since[indexOf(reason)];
            if (since && *since < observedAt)
                recordReason(entry, upstream, reason, "the list");
        }
    }
}

void LeavingModel::receiveDrains(std::size_t entry)
{
    for (const serving::DrainDecision &drain : entries_[entry].directory.drains()) {
        SimulatedUpstream &upstream = upstreamById(drain.upstream);
        if (!drain.draining || drain.timestamp != upstream.drainDecidedAt)
            continue;
        entries_[entry].drainReceivedAt.emplace(upstream.id, time_.now());
        recordReason(entry, upstream, LeavingReason::Drained, "a drain notice");
    }
}

void LeavingModel::recordReason(std::size_t entry, SimulatedUpstream &upstream,
                                LeavingReason reason, const char *source)
{
    auto &reasonTimes = entries_[entry].receivedAt[indexOf(reason)];
    if (reasonTimes.emplace(upstream.id, time_.now()).second)
        addTraceLine(upstream, "e" + std::to_string(entry) + " receives this state from " + source);
}

void LeavingModel::refresh(std::size_t entry)
{
    SimulatedEntry &simulated = entries_[entry];
    receiveDrains(entry);
    simulated.dispatcher->update(simulated.directory.table(
            "z1", static_cast<unsigned>(entries_.size()), {{kService, serving::ServicePolicy{}}}));
}

// Faults end with the offered load, because a frozen entry instance finishes no work.
void LeavingModel::injectFault()
{
    if (!isOfferingLoad_)
        return;
    SimulatedEntry &entry = entries_[rng_.below(entries_.size())];
    const std::uint64_t kind = rng_.below(6);
    if (kind == 0)
        entry.frozenUntil = std::max(entry.frozenUntil, time_.now() + randomDuration(kMaxFreeze));
    else if (kind == 1)
        entry.partitionedUntil =
                std::max(entry.partitionedUntil, time_.now() + randomDuration(kMaxPartition));
    else if (kind == 2 && rng_.chance(0.5))
        listDownUntil_ = std::max(listDownUntil_, time_.now() + randomDuration(kMaxListOutage));
}

void LeavingModel::changeUpstream()
{
    // One upstream changes often, so that delayed notices of one change arrive after the next one.
    const std::size_t index = rng_.chance(0.5) ? 0 : rng_.below(upstreams_.size());
    SimulatedUpstream &upstream = upstreams_[index];
    const std::uint64_t kind = rng_.below(6);
    if (kind <= 2 || (index == 0 && kind == 3)) {
        toggleDrain(rng_.below(entries_.size()), upstream);
        return;
    }
    if (kind == 3) {
        const bool dead = upstream.since[indexOf(LeavingReason::Dead)].has_value();
        setReason(upstream, LeavingReason::Dead, !dead, dead ? "recovers" : "stops answering");
        return;
    }
    const bool leaving = upstream.since[indexOf(LeavingReason::Listed)].has_value();
    upstream.listed = leaving || kind == 4;
    setReason(upstream, LeavingReason::Listed, !leaving,
              leaving ? "listed live"
                      : (upstream.listed ? "listed leaving" : "taken off the list"));
}

// An operator calls only a running entry instance that has received the last decision. The order of
// concurrent decisions is not part of this proof.
void LeavingModel::toggleDrain(std::size_t entry, SimulatedUpstream &upstream)
{
    SimulatedEntry &simulated = entries_[entry];
    const bool isDrained = upstream.since[indexOf(LeavingReason::Drained)].has_value();
    if (time_.now() < simulated.frozenUntil || !hasLastDecision(simulated, upstream))
        return;
    const auto decision = simulated.directory.decideDrain(upstream.id, !isDrained,
                                                          time_.now() + simulated.clockSkew);
    simulated.directory.applyDrain(decision);
    upstream.drainDecidedAt = decision.timestamp;
    for (SimulatedEntry &other : entries_)
        other.drainReceivedAt.erase(upstream.id);
    setReason(upstream, LeavingReason::Drained, !isDrained,
              isDrained ? "drain ended by an operator" : "drained by an operator");
    if (!isDrained) {
        simulated.drainReceivedAt.emplace(upstream.id, time_.now());
        recordReason(entry, upstream, LeavingReason::Drained, "its operator");
    }
    refresh(entry);
}

void LeavingModel::setReason(SimulatedUpstream &upstream, LeavingReason reason, bool holds,
                             const char *text)
{
    auto &since = upstream.since[indexOf(reason)];
    since = holds ? std::optional(time_.now()) : std::nullopt;
    for (SimulatedEntry &entry : entries_)
        entry.receivedAt[indexOf(reason)].erase(upstream.id);
    addTraceLine(upstream, text);
}

SimulatedUpstream &LeavingModel::upstreamById(const std::string &id)
{
    return upstreams_[std::stoul(id.substr(1))];
}

void LeavingModel::addTraceLine(SimulatedUpstream &upstream, const std::string &text)
{
    constexpr std::size_t kTraceLength = 12;
    upstream.trace.push_back(timeText() + " " + text);
    if (upstream.trace.size() > kTraceLength)
        upstream.trace.pop_front();
}

std::string LeavingModel::timeText() const
{
    return std::to_string((time_.now() - start_).count() / 1000) + " ms";
}

void LeavingModel::sendRequest(std::size_t entry)
{
    if (!isOfferingLoad_ || !violation_.empty())
        return;
    serving::AdmissionRequest request;
    request.service = kService;
    request.caller = "c" + std::to_string(rng_.below(4));
    request.requestClass =
            rng_.chance(0.2) ? serving::RequestClass::Archive : serving::RequestClass::Quick;
    request.deadline = time_.now() + kDeadline;
    // Bursts use up the slots, so that some requests start from the queue.
    const std::uint64_t burst = rng_.chance(0.02) ? 200 : 1;
    for (std::uint64_t i = 0; i < burst; ++i) {
        entries_[entry].dispatcher->submit(request, [this, entry](auto result) {
            if (!isClosing_ && result.has_value())
                startWork(entry, std::move(result.value()));
        });
    }
}

void LeavingModel::startWork(std::size_t entry, serving::Permit permit)
{
    SimulatedUpstream &upstream = upstreamById(permit.upstream().id);
    ++started_;
    if (violation_.empty())
        violation_ = checkNewWork(entry, upstream);
    const bool dead = upstream.since[indexOf(LeavingReason::Dead)].has_value();
    const auto shared = std::make_shared<serving::Permit>(std::move(permit));
    scheduleOnEntry(entry, dead ? 500ms : randomDuration(kMaxWorkTime),
                    [this, entry, shared, dead] { endWork(entry, shared, !dead); });
}

void LeavingModel::endWork(std::size_t /*entry*/, const std::shared_ptr<serving::Permit> &permit,
                           bool succeeded)
{
    ++finished_;
    permit->finish(succeeded ? serving::AttemptOutcome::Succeeded
                             : serving::AttemptOutcome::Unreachable,
                   100ms);
}

} // namespace chicorywick::prove
