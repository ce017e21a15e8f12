#include <chicorywick/base/log_event.h>
#include <chicorywick/fleet/wave_driver.h>

#include <algorithm>
#include <unordered_map>

namespace chicorywick::fleet {

namespace {

// Limits the size of one transaction: two operations per grant, four for pool and wave.
constexpr std::size_t kMaxGrantsPerStep = 16;

// A driver that was suspended for longer drops the decision and makes a new one in its next step.
constexpr base::Duration kMaxStepAge = std::chrono::seconds(5);

constexpr std::size_t kMaxBusyPerStep = 16;

struct EntryGroups
{
    std::vector<PlanEntry> candidates;
    std::vector<PlanEntry> started;
    std::vector<PlanEntry> busy;
    std::vector<PlanEntry> nonMembers;
};

EntryGroups classifyEntries(const WavePlan &plan, const MaintenanceWave &wave, const Pool &pool,
                            const std::vector<PlacedInstance> &members)
{
    std::unordered_map<std::string, const PlacedInstance *> byId;
    for (const PlacedInstance &member : members)
        byId.emplace(member.id, &member);
    EntryGroups groups;
    for (const PlanEntry &entry : plan.entries()) {
        const auto member = byId.find(entry.instance.id);
        if (wave.isTaken(entry.number))
            groups.started.push_back(entry);
        else if (member == byId.end())
            groups.nonMembers.push_back(entry);
        else if (pool.findGrant(entry.instance.id) != nullptr)
            groups.busy.push_back(entry);
        else
            groups.candidates.push_back({entry.number, *member->second});
    }
    return groups;
}

} // namespace

base::Result<platform::InstanceListing> WaveDriver::listing(base::TimePoint now)
{
    if (!listing_ || now - listingReadAt_ >= options_.listingInterval) {
        auto read = list_.list();
        if (!read && !listing_)
            return read.error();
        if (read && (!listing_ || read.value().observedAt >= listing_->observedAt))
            listing_ = std::move(read).value();
        listingReadAt_ = now;
    }
    return *listing_;
}

base::Result<std::vector<PlacedInstance>> WaveDriver::members(const Session &session)
{
    const PoolData &pool = session.pool.value.data();
    Members &cached = members_[pool.name];
    if (cached.revision != pool.membersRevision || cached.instances.size() != pool.memberCount) {
        BOOST_OUTCOME_TRY(rows, repository_.members(pool.name));
        cached.revision = pool.membersRevision;
        cached.instances.clear();
        for (const Stored<Instance> &row : rows)
            cached.instances.push_back(row.value.data().place);
    }
    // The members are read after the pool row, so a change in between causes a different count here
    // or a conflict when the grant is committed.
    if (cached.instances.size() != pool.memberCount)
        return base::makeError(base::Code::TableConflict,
                               "members of pool '" + pool.name + "' changed during the read");
    return cached.instances;
}

// The unhealthy members are stored in the pool row, so that a driver with an older observation
// conflicts with the row instead of exceeding the budget.
base::Result<void> WaveDriver::observeHealth(Session &session)
{
    BOOST_OUTCOME_TRY(current, members(session));
    const auto listed = listing(session.now);
    if (!listed)
        return base::ok();
    const PoolHealth health = assessHealth(current, listed.value(), session.now);
    const auto next = session.pool.value.withHealth(health);
    if (!next) {
        listingReadAt_ = {};
        return base::ok();
    }
    if (session.pool.value.wouldChangeHealth(health)) {
        BOOST_OUTCOME_TRY(version,
                          repository_.commit(FleetChange().put(session.pool, next.value())));
        session.pool = {next.value(), version};
    }
    session.health = health;
    return base::ok();
}

base::Result<void> WaveDriver::startInstances(Session &session)
{
    if (session.wave.value.remaining() == 0)
        return setReason(session, {});
    BOOST_OUTCOME_TRYV(observeHealth(session));
    if (!session.health)
        return setReason(session, "no recent instance list; health of the pool is unknown");
    const std::string &id = session.wave.value.data().id;
    if (!plans_.contains(id)) {
        BOOST_OUTCOME_TRY(plan, repository_.plan(id));
        plans_.emplace(id, std::move(plan));
    }
    BOOST_OUTCOME_TRY(current, members(session));
    EntryGroups groups =
            classifyEntries(plans_.at(id), session.wave.value, session.pool.value, current);
    BOOST_OUTCOME_TRYV(skipEntries(session, groups.nonMembers));
    const PoolData &pool = session.pool.value.data();
    const DisruptionView view{.candidates = std::move(groups.candidates),
                              .started = std::move(groups.started),
                              .budget = pool.budget,
                              .memberCount = pool.memberCount,
                              .unavailable = session.pool.value.unavailable()};
    if (view.candidates.empty())
        return handleBusyEntries(session, groups.busy);
    const std::vector<PlanEntry> chosen = nextDisruptions(view, kMaxGrantsPerStep);
    if (chosen.empty())
        return setReason(session, waitingReason(session, view));
    return grant(session, chosen);
}

std::string WaveDriver::waitingReason(const Session &session, const DisruptionView &view) const
{
    const std::string exhausted = session.pool.value.exhaustionReason();
    if (!exhausted.empty())
        return exhausted;
    std::vector<PlacedInstance> wanted = view.unavailable;
    wanted.push_back(view.candidates.front().instance);
    return "budget of pool '" + session.pool.value.data().name + "': one more would make "
           + view.budget.violation(wanted, view.memberCount);
}

base::Result<void> WaveDriver::handleBusyEntries(Session &session,
                                                 const std::vector<PlanEntry> &entries)
{
    std::vector<PlanEntry> held;
    for (const PlanEntry &entry : entries) {
        if (held.size() == kMaxBusyPerStep)
            break;
        BOOST_OUTCOME_TRY(instance, repository_.instance(entry.instance.id));
        if (instance.value.data().state == MaintenanceState::Held)
            held.push_back(entry);
    }
    BOOST_OUTCOME_TRYV(skipEntries(session, held));
    if (entries.empty() || held.size() == entries.size())
        return setReason(session, {});
    return setReason(session, "another wave has the remaining instances");
}

base::Result<void> WaveDriver::skipEntries(Session &session, const std::vector<PlanEntry> &entries)
{
    if (entries.empty())
        return base::ok();
    BOOST_OUTCOME_TRY(next, session.wave.value.withSkipped(entries));
    BOOST_OUTCOME_TRY(version, repository_.commit(FleetChange().put(session.wave, next)));
    session.wave = {std::move(next), version};
    return base::ok();
}

base::Result<void> WaveDriver::grant(Session &session, const std::vector<PlanEntry> &entries)
{
    FleetChange change;
    std::vector<Grant> grants;
    std::vector<Instance> cordoned;
    for (const PlanEntry &entry : entries) {
        BOOST_OUTCOME_TRY(old, repository_.instance(entry.instance.id));
        if (old.value.data().pool != session.pool.value.data().name)
            return base::makeError(base::Code::TableConflict, "instance moved to another pool");
        BOOST_OUTCOME_TRY(next, old.value.cordoned(session.wave.value.data().id, session.now));
        grants.push_back({.instance = next.data().place,
                          .wave = next.data().wave,
                          .fence = next.data().fence,
                          .grantedAtMs = base::toMillis(session.now)});
        change.put(old, next);
        cordoned.push_back(std::move(next));
    }
    BOOST_OUTCOME_TRY(observed, session.pool.value.withHealth(*session.health));
    BOOST_OUTCOME_TRY(pool, observed.withGrants(grants));
    BOOST_OUTCOME_TRY(started, session.wave.value.started(entries));
    const MaintenanceWave wave =
            started.withReason(started.remaining() > 0 ? pool.exhaustionReason() : std::string());
    if (options_.clock.now() - session.now > kMaxStepAge)
        return base::ok();
    change.put(session.pool, pool).put(session.wave, wave);
    BOOST_OUTCOME_TRY(version, repository_.commit(change));
    session.pool = {std::move(pool), version};
    session.wave = {wave, version};
    for (const Instance &instance : cordoned) {
        active_.insert_or_assign(instance.data().place.id, instance);
        base::logEvent(base::Event::GrantTaken, {{"instance", instance.data().place.id},
                                                 {"pool", instance.data().pool},
                                                 {"wave", instance.data().wave},
                                                 {"fence", std::to_string(instance.data().fence)}});
    }
    return base::ok();
}

// The interval prevents drivers with different reasons from overwriting each other at every step.
base::Result<void> WaveDriver::setReason(Session &session, const std::string &reason)
{
    const MaintenanceWave next = session.wave.value.withReason(reason);
    if (next == session.wave.value)
        return base::ok();
    base::TimePoint &writtenAt = reasonWrittenAt_[next.data().id];
    if (session.now - writtenAt < options_.reasonInterval)
        return base::ok();
    BOOST_OUTCOME_TRY(version, repository_.commit(FleetChange().put(session.wave, next)));
    writtenAt = session.now;
    session.wave = {next, version};
    if (!reason.empty())
        base::logEvent(base::Event::WaveWaiting, {{"wave", next.data().id}, {"reason", reason}});
    return base::ok();
}

} // namespace chicorywick::fleet
