#include "evidence/prove/leaving_model.h"

#include <algorithm>

namespace chicorywick::prove {

using namespace std::chrono_literals;

namespace {

constexpr const char *kService = "print";
constexpr base::Duration kRunLength = 40s;
constexpr base::Duration kDrainOut = 20s;
constexpr base::Duration kListPollInterval = 400ms;
constexpr base::Duration kListLag = 2s;
constexpr base::Duration kListDelay = 300ms;
constexpr base::Duration kListingInterval = 50ms;
constexpr base::Duration kHintInterval = 200ms;
constexpr base::Duration kHintDelay = 800ms;
constexpr double kHintLoss = 0.4;
constexpr int kMostLostInRow = 4;
constexpr double kFalseCheckFailure = 0.02;
constexpr base::Duration kRequestGap = 30ms;
constexpr base::Duration kLongestHold = 1500ms;
constexpr base::Duration kDeadline = 3s;
constexpr base::Duration kFaultInterval = 700ms;
constexpr base::Duration kChangeInterval = 300ms;
constexpr base::Duration kLongestFreeze = 8s;
constexpr base::Duration kLongestCut = 6s;
constexpr base::Duration kLongestListOutage = 10s;
constexpr base::Duration kLargestSkew = 2s;

std::size_t indexOf(LeavingReason reason)
{
    return static_cast<std::size_t>(reason);
}

bool knowsLastDecision(const FakeEntry &entry, const TrueUpstream &upstream)
{
    if (upstream.drainStamp == base::TimePoint{})
        return true;
    const auto drains = entry.directory.drains();
    return std::any_of(drains.begin(), drains.end(), [&](const serving::DrainDecision &drain) {
        return drain.upstream == upstream.id && drain.timestamp == upstream.drainStamp;
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
        FakeEntry &entry = entries_.emplace_back();
        entry.dispatcher = std::make_unique<serving::Dispatcher>(time_.clock(), rng_());
        entry.clockSkew = upTo(kLargestSkew);
        entry.lostInRow.resize(entries);
    }
}

// Permits that are destroyed with pending events would start waiting requests.
LeavingModel::~LeavingModel()
{
    isClosing_ = true;
}

std::string LeavingModel::run()
{
    recordListing();
    startEntries();
    every(kListingInterval, [this] { recordListing(); });
    every(kFaultInterval, [this] { injectFault(); });
    every(kChangeInterval, [this] { changeUpstream(); });
    time_.runUntil(start_ + kRunLength);
    isOffering_ = false;
    time_.runUntil(start_ + kRunLength + kDrainOut);
    return violation_.empty() ? checkDrainedOut() : violation_;
}

// A paused process carries out its timers and messages when it resumes.
void LeavingModel::onEntry(std::size_t entry, base::Duration delay, VirtualTime::Action action)
{
    time_.after(delay, [this, entry, action = std::move(action)] {
        const base::TimePoint until = entries_[entry].frozenUntil;
        if (time_.now() < until)
            onEntry(entry, until - time_.now(), action);
        else
            action();
    });
}

void LeavingModel::everyOnEntry(std::size_t entry, base::Duration interval,
                                const VirtualTime::Action &action)
{
    onEntry(entry, interval, [=, this] {
        action();
        everyOnEntry(entry, interval, action);
    });
}

void LeavingModel::every(base::Duration interval, const VirtualTime::Action &action)
{
    time_.after(interval, [=, this] {
        action();
        every(interval, action);
    });
}

base::Duration LeavingModel::upTo(base::Duration longest)
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
        everyOnEntry(i, kListPollInterval, [this, i] { pollList(i); });
        everyOnEntry(i, health.interval, [this, i] { checkHealth(i); });
        everyOnEntry(i, kHintInterval, [this, i] { sendHints(i); });
        everyOnEntry(i, kRequestGap, [this, i] { sendRequest(i); });
        everyOnEntry(i, 20ms, [this, i] { entries_[i].dispatcher->poll(); });
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
    for (const TrueUpstream &upstream : upstreams_) {
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
    const platform::InstanceListing answer = listings_[rng_.below(listings_.size())];
    onEntry(entry, upTo(kListDelay), [this, entry, answer] {
        if (entries_[entry].directory.applyListing(answer))
            learnFromListing(entry, answer.observedAt);
        refresh(entry);
    });
}

void LeavingModel::checkHealth(std::size_t entry)
{
    const serving::HealthPolicy health;
    for (const TrueUpstream &upstream : upstreams_) {
        const bool dead = upstream.since[indexOf(LeavingReason::Dead)].has_value();
        const bool passed = !dead && !rng_.chance(kFalseCheckFailure);
        const base::Duration delay = passed ? upTo(100ms) : health.timeout;
        onEntry(entry, delay, [this, entry, passed, id = upstream.id] {
            if (entries_[entry].directory.applyHealthCheck(id, passed))
                refresh(entry);
        });
    }
}

void LeavingModel::sendHints(std::size_t from)
{
    const std::vector<serving::DrainDecision> drains = entries_[from].directory.drains();
    for (std::size_t to = 0; to < entries_.size(); ++to) {
        if (to == from || drains.empty() || losesMessage(entries_[from], to))
            continue;
        onEntry(to, upTo(kHintDelay), [this, to, drains] {
            for (const serving::DrainDecision &drain : drains)
                entries_[to].directory.applyDrain(drain);
            refresh(to);
        });
    }
}

bool LeavingModel::losesMessage(FakeEntry &from, std::size_t to)
{
    if (time_.now() < from.cutUntil || time_.now() < entries_[to].cutUntil)
        return true;
    int &lost = from.lostInRow[to];
    lost = lost < kMostLostInRow && rng_.chance(kHintLoss) ? lost + 1 : 0;
    return lost > 0;
}

void LeavingModel::learnFromListing(std::size_t entry, base::TimePoint observedAt)
{
    for (TrueUpstream &upstream : upstreams_) {
        for (const LeavingReason reason : {LeavingReason::Drained, LeavingReason::Listed}) {
            const auto &since = upstream.since[indexOf(reason)];
            if (since && *since < observedAt)
                learn(entry, upstream, reason, "the list");
        }
    }
}

void LeavingModel::learnFromDrains(std::size_t entry)
{
    for (const serving::DrainDecision &drain : entries_[entry].directory.drains()) {
        TrueUpstream &upstream = byId(drain.upstream);
        if (!drain.draining || drain.timestamp != upstream.drainStamp)
            continue;
        entries_[entry].heardSince.emplace(upstream.id, time_.now());
        learn(entry, upstream, LeavingReason::Drained, "a drain notice");
    }
}

void LeavingModel::learn(std::size_t entry, TrueUpstream &upstream, LeavingReason reason,
                         const char *source)
{
    auto &known = entries_[entry].knowsSince[indexOf(reason)];
    if (known.emplace(upstream.id, time_.now()).second)
        note(upstream, "e" + std::to_string(entry) + " learns it from " + source);
}

void LeavingModel::refresh(std::size_t entry)
{
    FakeEntry &fake = entries_[entry];
    learnFromDrains(entry);
    fake.dispatcher->update(fake.directory.table("z1", static_cast<unsigned>(entries_.size()),
                                                 {{kService, serving::ServicePolicy{}}}));
}

// Faults end with the offered load: an entry instance that stays frozen finishes nothing.
void LeavingModel::injectFault()
{
    if (!isOffering_)
        return;
    FakeEntry &entry = entries_[rng_.below(entries_.size())];
    const std::uint64_t kind = rng_.below(6);
    if (kind == 0)
        entry.frozenUntil = std::max(entry.frozenUntil, time_.now() + upTo(kLongestFreeze));
    else if (kind == 1)
        entry.cutUntil = std::max(entry.cutUntil, time_.now() + upTo(kLongestCut));
    else if (kind == 2 && rng_.chance(0.5))
        listDownUntil_ = std::max(listDownUntil_, time_.now() + upTo(kLongestListOutage));
}

void LeavingModel::changeUpstream()
{
    // One upstream changes often, so that late notices of one change meet the next.
    const std::size_t index = rng_.chance(0.5) ? 0 : rng_.below(upstreams_.size());
    TrueUpstream &upstream = upstreams_[index];
    const std::uint64_t kind = rng_.below(6);
    if (kind <= 2 || (index == 0 && kind == 3)) {
        operateDrain(rng_.below(entries_.size()), upstream);
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

// An operator reaches only an entry instance that runs, and decides knowing the last decision.
// Which of two decisions made without knowledge of each other counts is not the subject here.
void LeavingModel::operateDrain(std::size_t entry, TrueUpstream &upstream)
{
    FakeEntry &fake = entries_[entry];
    const bool truth = upstream.since[indexOf(LeavingReason::Drained)].has_value();
    if (time_.now() < fake.frozenUntil || !knowsLastDecision(fake, upstream))
        return;
    const auto decision =
            fake.directory.decideDrain(upstream.id, !truth, time_.now() + fake.clockSkew);
    fake.directory.applyDrain(decision);
    upstream.drainStamp = decision.timestamp;
    for (FakeEntry &other : entries_)
        other.heardSince.erase(upstream.id);
    setReason(upstream, LeavingReason::Drained, !truth,
              truth ? "drain ended by an operator" : "drained by an operator");
    if (!truth) {
        fake.heardSince.emplace(upstream.id, time_.now());
        learn(entry, upstream, LeavingReason::Drained, "its operator");
    }
    refresh(entry);
}

void LeavingModel::setReason(TrueUpstream &upstream, LeavingReason reason, bool holds,
                             const char *text)
{
    auto &since = upstream.since[indexOf(reason)];
    since = holds ? std::optional(time_.now()) : std::nullopt;
    for (FakeEntry &entry : entries_)
        entry.knowsSince[indexOf(reason)].erase(upstream.id);
    note(upstream, text);
}

TrueUpstream &LeavingModel::byId(const std::string &id)
{
    return upstreams_[std::stoul(id.substr(1))];
}

void LeavingModel::note(TrueUpstream &upstream, const std::string &text)
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
    if (!isOffering_ || !violation_.empty())
        return;
    serving::AdmissionRequest request;
    request.service = kService;
    request.caller = "c" + std::to_string(rng_.below(4));
    request.requestClass =
            rng_.chance(0.2) ? serving::RequestClass::Archive : serving::RequestClass::Quick;
    request.deadline = time_.now() + kDeadline;
    // Bursts fill the slots, so that requests also start from the queue.
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
    TrueUpstream &upstream = byId(permit.upstream().id);
    ++started_;
    if (violation_.empty())
        violation_ = checkNewWork(entry, upstream);
    const bool dead = upstream.since[indexOf(LeavingReason::Dead)].has_value();
    const auto shared = std::make_shared<serving::Permit>(std::move(permit));
    onEntry(entry, dead ? 500ms : upTo(kLongestHold),
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
