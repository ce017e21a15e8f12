#include <chicorywick/fleet/pool.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

auto byInstance(const std::string &instance)
{
    return [&instance](const Grant &grant) { return grant.instance.id == instance; };
}

v1::Grant toProto(const Grant &grant)
{
    v1::Grant proto;
    proto.set_instance(grant.instance.id);
    proto.set_rack(grant.instance.rack);
    proto.set_zone(grant.instance.zone);
    proto.set_wave(grant.wave);
    proto.set_fence(grant.fence);
    proto.set_granted_at_ms(grant.grantedAtMs);
    return proto;
}

Grant fromProto(const v1::Grant &proto)
{
    return Grant{.instance = {proto.instance(), proto.rack(), proto.zone()},
                 .wave = proto.wave(),
                 .fence = proto.fence(),
                 .grantedAtMs = proto.granted_at_ms()};
}

base::Error staleGrant(const std::string &pool, const std::string &instance)
{
    return base::makeError(base::Code::StaleGrant,
                           "pool '" + pool + "' has no grant for instance '" + instance + "'");
}

} // namespace

base::Result<Pool> Pool::create(const std::string &name, const AvailabilityBudget &budget,
                                bool isSpare, std::uint32_t targetSize)
{
    BOOST_OUTCOME_TRYV(checkName("the pool name", name));
    PoolData data;
    data.name = name;
    data.budget = budget;
    data.isSpare = isSpare;
    data.targetSize = targetSize;
    return Pool(std::move(data));
}

base::Result<Pool> Pool::fromRow(const std::string &row)
{
    v1::PoolRow proto;
    if (!proto.ParseFromString(row))
        return base::makeError(base::Code::PlatformMalformedResponse, "pool row");
    PoolData data;
    BOOST_OUTCOME_TRY(budget, AvailabilityBudget::fromProto(proto.budget()));
    data.name = proto.name();
    data.budget = budget;
    data.memberCount = proto.member_count();
    data.membersRevision = proto.members_revision();
    for (const v1::Grant &grant : proto.grants())
        data.grants.push_back(fromProto(grant));
    data.isSpare = proto.spare();
    data.targetSize = proto.target_size();
    for (const v1::UnavailableMember &member : proto.unhealthy())
        data.unhealthy.push_back({member.instance(), member.rack(), member.zone()});
    data.healthObservedAtMs = proto.health_observed_at_ms();
    return Pool(std::move(data));
}

std::string Pool::toRow() const
{
    return toProto().SerializeAsString();
}

v1::PoolRow Pool::toProto() const
{
    v1::PoolRow proto;
    proto.set_name(data_.name);
    *proto.mutable_budget() = data_.budget.toProto();
    proto.set_member_count(data_.memberCount);
    proto.set_members_revision(data_.membersRevision);
    for (const Grant &grant : data_.grants)
        *proto.add_grants() = fleet::toProto(grant);
    proto.set_spare(data_.isSpare);
    proto.set_target_size(data_.targetSize);
    for (const PlacedInstance &member : data_.unhealthy) {
        v1::UnavailableMember *added = proto.add_unhealthy();
        added->set_instance(member.id);
        added->set_rack(member.rack);
        added->set_zone(member.zone);
    }
    proto.set_health_observed_at_ms(data_.healthObservedAtMs);
    return proto;
}

const Grant *Pool::findGrant(const std::string &instance) const
{
    const auto found = std::find_if(data_.grants.begin(), data_.grants.end(), byInstance(instance));
    return found == data_.grants.end() ? nullptr : &*found;
}

std::vector<PlacedInstance> Pool::unavailable() const
{
    std::vector<PlacedInstance> all;
    for (const Grant &grant : data_.grants)
        all.push_back(grant.instance);
    for (const PlacedInstance &member : data_.unhealthy) {
        if (findGrant(member.id) == nullptr)
            all.push_back(member);
    }
    return all;
}

std::uint32_t Pool::allowedDisruptions() const
{
    const std::size_t used = unavailable().size();
    const std::uint32_t limit = data_.budget.limit(data_.memberCount);
    return used < limit ? limit - static_cast<std::uint32_t>(used) : 0;
}

std::string Pool::exhaustionReason() const
{
    if (allowedDisruptions() > 0)
        return {};
    const std::vector<PlacedInstance> all = unavailable();
    const std::uint32_t limit = data_.budget.limit(data_.memberCount);
    return "budget of pool '" + data_.name + "': " + std::to_string(all.size())
           + " instances unavailable, the limit is " + std::to_string(limit) + " ("
           + std::to_string(data_.grants.size()) + " granted, "
           + std::to_string(all.size() - data_.grants.size())
           + " failed, leaving or not in the instance list)";
}

Pool Pool::withBudget(const AvailabilityBudget &budget, std::uint32_t targetSize) const
{
    PoolData data = data_;
    data.budget = budget;
    data.targetSize = targetSize;
    return Pool(std::move(data));
}

Pool Pool::withMember() const
{
    PoolData data = data_;
    ++data.memberCount;
    ++data.membersRevision;
    return Pool(std::move(data));
}

base::Result<Pool> Pool::withoutMember(const std::string &instance) const
{
    if (data_.memberCount == 0)
        return base::makeError(base::Code::InvalidTransition,
                               "pool '" + data_.name + "' has no members");
    PoolData data = data_;
    --data.memberCount;
    ++data.membersRevision;
    std::erase_if(data.grants, byInstance(instance));
    std::erase_if(data.unhealthy,
                  [&](const PlacedInstance &member) { return member.id == instance; });
    return Pool(std::move(data));
}

base::Result<Pool> Pool::withHealth(const PoolHealth &health) const
{
    const std::int64_t observedAt = base::toMillis(health.observedAt);
    if (!health.isKnown || observedAt < data_.healthObservedAtMs)
        return base::makeError(base::Code::VersionConflict,
                               "the observation of pool '" + data_.name + "' is too old");
    PoolData data = data_;
    data.healthObservedAtMs = observedAt;
    data.unhealthy.clear();
    for (const PlacedInstance &member : health.unavailable) {
        if (findGrant(member.id) == nullptr && data.unhealthy.size() < kMaxRecordedUnhealthy)
            data.unhealthy.push_back(member);
    }
    return Pool(std::move(data));
}

bool Pool::wouldChangeHealth(const PoolHealth &health) const
{
    const auto next = withHealth(health);
    return next && next.value().data_.unhealthy != data_.unhealthy;
}

base::Result<Pool> Pool::withGrants(std::span<const Grant> grants) const
{
    PoolData data = data_;
    for (const Grant &grant : grants) {
        if (std::any_of(data.grants.begin(), data.grants.end(), byInstance(grant.instance.id)))
            return base::makeError(base::Code::InstanceBusy, grant.instance.id);
        data.grants.push_back(grant);
        std::erase(data.unhealthy, grant.instance);
    }
    Pool next(std::move(data));
    const std::string violation =
            next.data_.budget.violation(next.unavailable(), next.data_.memberCount);
    if (!violation.empty())
        return base::makeError(base::Code::BudgetExhausted, violation);
    return next;
}

base::Result<Pool> Pool::withFence(const std::string &instance, std::uint64_t fence) const
{
    PoolData data = data_;
    const auto found = std::find_if(data.grants.begin(), data.grants.end(), byInstance(instance));
    if (found == data.grants.end())
        return staleGrant(data_.name, instance);
    found->fence = fence;
    return Pool(std::move(data));
}

base::Result<Pool> Pool::withoutGrant(const std::string &instance) const
{
    PoolData data = data_;
    if (std::erase_if(data.grants, byInstance(instance)) == 0)
        return staleGrant(data_.name, instance);
    return Pool(std::move(data));
}

} // namespace chicorywick::fleet
