#include <chicorywick/base/log_event.h>
#include <chicorywick/fleet/buffer_driver.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

constexpr const char *kLoanPrefix = "loan/";

std::map<std::string, std::uint64_t> revisions(const std::map<std::string, Stored<Pool>> &pools)
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[name, pool] : pools)
        result.emplace(name, pool.value.data().membersRevision);
    return result;
}

// The unhealthy members in the pool row are from the last recorded observation; a newer listing
// replaces them.
std::vector<PlacedInstance> unavailable(const Pool &pool, const platform::InstanceListing &listing)
{
    if (base::toMillis(listing.observedAt) < pool.data().healthObservedAtMs)
        return pool.unavailable();
    std::vector<PlacedInstance> granted;
    for (const Grant &grant : pool.data().grants)
        granted.push_back(grant.instance);
    return granted;
}

bool contains(const std::vector<PlacedInstance> &instances, const PlacedInstance &instance)
{
    return std::find(instances.begin(), instances.end(), instance) != instances.end();
}

} // namespace

BufferDriver::BufferDriver(FleetRepository repository, platform::InstanceList list,
                           BufferDriverOptions options)
    : repository_(std::move(repository))
    , list_(std::move(list))
    , options_(std::move(options))
{}

base::Result<std::size_t> BufferDriver::step(base::TimePoint now)
{
    BOOST_OUTCOME_TRY(session, beginStep(now));
    BOOST_OUTCOME_TRY(listing, list_.list());
    if (now - listing.observedAt > kMaxListingAge)
        return std::size_t{0};
    BOOST_OUTCOME_TRYV(refreshMembers(session));
    const std::vector<InstanceMove> moves =
            decideLending(view(session, listing), options_.maxMovesPerStep);
    for (const InstanceMove &move : moves) {
        BOOST_OUTCOME_TRYV(applyMove(session, move));
    }
    return moves.size();
}

base::Result<BufferDriver::Session> BufferDriver::beginStep(base::TimePoint now)
{
    BOOST_OUTCOME_TRY(pools, repository_.pools());
    Session session{{}, now, options_.inputs()};
    for (Stored<Pool> &pool : pools) {
        const std::string name = pool.value.data().name;
        session.pools.emplace(name, std::move(pool));
    }
    return session;
}

// The pools are read before their members. A move in between makes the commits of this step
// conflict and changes the revision that the next step reads.
base::Result<void> BufferDriver::refreshMembers(const Session &session)
{
    std::map<std::string, std::uint64_t> current = revisions(session.pools);
    if (current == revisions_)
        return base::ok();
    BOOST_OUTCOME_TRY(instances, repository_.instances());
    BOOST_OUTCOME_TRY(rows, repository_.table().scanAll(kLoanPrefix, kMaxInstances));
    instances_.clear();
    for (Stored<Instance> &instance : instances) {
        const std::string id = instance.value.data().place.id;
        instances_.emplace(id, std::move(instance));
    }
    loans_.clear();
    for (const platform::Row &row : rows) {
        BOOST_OUTCOME_TRY(loan, Loan::fromRow(row.value));
        const std::string id = loan.instance;
        loans_.emplace(id, StoredLoan{std::move(loan), row.version});
    }
    revisions_ = std::move(current);
    return base::ok();
}

const BufferDriver::StoredLoan *BufferDriver::findLoan(const Instance &instance) const
{
    const auto found = loans_.find(instance.data().place.id);
    if (found == loans_.end() || found->second.value.pool() != instance.data().pool)
        return nullptr;
    return &found->second;
}

bool BufferDriver::isInFlight(const Instance &instance, base::TimePoint now) const
{
    const StoredLoan *loan = findLoan(instance);
    return loan != nullptr && now - base::fromMillis(loan->value.movedAtMs) < options_.moveTime;
}

LendingPool BufferDriver::lendingPool(const Session &session, const Pool &pool,
                                      const platform::InstanceListing &listing) const
{
    LendingPool result;
    result.name = pool.data().name;
    result.isSpare = pool.data().isSpare;
    result.budget = pool.data().budget;
    std::vector<PlacedInstance> arrived;
    for (const auto &[id, instance] : instances_) {
        if (instance.value.data().pool != result.name)
            continue;
        if (isInFlight(instance.value, session.now))
            ++result.arriving;
        else
            arrived.push_back(instance.value.data().place);
    }
    result.memberCount = static_cast<std::uint32_t>(arrived.size());
    result.unavailable = assessHealth(arrived, listing, session.now).unavailable;
    for (const PlacedInstance &lost : unavailable(pool, listing)) {
        if (contains(arrived, lost) && !contains(result.unavailable, lost))
            result.unavailable.push_back(lost);
    }
    // Without a reported demand, the pool neither borrows nor lends.
    result.needed = result.available() + result.arriving;
    for (const PoolDemand &demand : session.inputs.demands) {
        if (demand.pool == result.name)
            result.needed = demand.needed;
    }
    result.recentPeak = result.needed;
    for (const PoolDemand &demand : session.inputs.demands) {
        if (demand.pool == result.name)
            result.recentPeak = std::max(demand.needed, demand.recentPeak);
    }
    return result;
}

void BufferDriver::addMembers(LendingView &view, const LendingPool &pool) const
{
    for (const auto &[id, instance] : instances_) {
        const InstanceData &data = instance.value.data();
        if (data.pool != pool.name || isInFlight(instance.value, view.now)
            || contains(pool.unavailable, data.place))
            continue;
        const StoredLoan *loan = findLoan(instance.value);
        const base::TimePoint movedAt =
                loan == nullptr ? base::TimePoint{} : base::fromMillis(loan->value.movedAtMs);
        if (pool.isSpare)
            view.lendable.push_back({data.place, data.pool, movedAt});
        else if (loan != nullptr)
            view.lent.push_back({data.place, data.pool, movedAt});
    }
}

LendingView BufferDriver::view(const Session &session,
                               const platform::InstanceListing &listing) const
{
    LendingView view;
    view.now = session.now;
    view.minMoveInterval = std::max(session.inputs.minMoveInterval, options_.moveTime);
    for (const auto &[name, pool] : session.pools) {
        view.pools.push_back(lendingPool(session, pool.value, listing));
        addMembers(view, view.pools.back());
    }
    return view;
}

// The commit is conditional on the pool rows that the decision used. If a wave has taken a grant or
// another driver has moved an instance since, the commit conflicts and the next step decides again.
base::Result<void> BufferDriver::applyMove(Session &session, const InstanceMove &move)
{
    Stored<Pool> &from = session.pools.at(move.from);
    Stored<Pool> &to = session.pools.at(move.to);
    BOOST_OUTCOME_TRY(old, repository_.instance(move.instance));
    if (old.value.data().pool != move.from)
        return base::makeError(base::Code::InstanceInOtherPool, move.instance);
    BOOST_OUTCOME_TRY(next, old.value.movedTo(move.to));
    BOOST_OUTCOME_TRY(left, from.value.withoutMember(move.instance));
    const Pool joined = to.value.withMember();

    const auto known = loans_.find(move.instance);
    const std::uint64_t loanVersion = known == loans_.end() ? 0 : known->second.version;
    const bool isReturn = to.value.data().isSpare;
    const Loan loan{move.instance, isReturn ? move.to : move.from, isReturn ? move.from : move.to,
                    base::toMillis(session.now), isReturn};
    platform::Transaction transaction =
            FleetChange().put(old, next).put(from, left).put(to, joined).transaction();
    transaction.conditions.push_back({kLoanPrefix + move.instance, loanVersion});
    transaction.puts.push_back({kLoanPrefix + move.instance, loan.toRow()});
    BOOST_OUTCOME_TRY(version, platform::commitResolved(repository_.table(), transaction));

    from = {std::move(left), version};
    to = {joined, version};
    instances_.insert_or_assign(move.instance, Stored<Instance>{std::move(next), version});
    loans_.insert_or_assign(move.instance, StoredLoan{loan, version});
    revisions_ = revisions(session.pools);
    base::logEvent(base::Event::InstanceMoved,
                   {{"instance", move.instance}, {"from", move.from}, {"to", move.to}});
    return base::ok();
}

} // namespace chicorywick::fleet
