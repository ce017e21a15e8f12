#include <chicorywick/fleet/instance.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

constexpr std::size_t kMaxReasonLength = 200;

base::Error invalidTransition(const InstanceData &data, MaintenanceState to)
{
    return base::makeError(base::Code::InvalidTransition,
                           "instance '" + data.place.id + "' cannot change from "
                                   + std::string(stateName(data.state)) + " to "
                                   + std::string(stateName(to)));
}

} // namespace

std::string_view stateName(MaintenanceState state)
{
    switch (state) {
    case MaintenanceState::InService:
        return "in service";
    case MaintenanceState::Cordoned:
        return "cordoned";
    case MaintenanceState::Draining:
        return "draining";
    case MaintenanceState::Rebooting:
        return "rebooting";
    case MaintenanceState::Verifying:
        return "verifying";
    case MaintenanceState::Held:
        return "held";
    case MaintenanceState::Returning:
        return "returning";
    }
    return "unknown";
}

// The platform keeps the fences of a removed instance, so one that is added again must start above
// them. The time in milliseconds ensures this because grants and moves are much rarer.
base::Result<Instance> Instance::create(const PlacedInstance &place, const std::string &pool,
                                        base::TimePoint now)
{
    BOOST_OUTCOME_TRYV(checkName("the instance id", place.id));
    BOOST_OUTCOME_TRYV(checkName("the zone", place.zone, kMaxDomainLength));
    BOOST_OUTCOME_TRYV(checkName("the rack", place.rack, kMaxDomainLength));
    InstanceData data;
    data.place = place;
    data.pool = pool;
    data.stateSinceMs = base::toMillis(now);
    data.fence = static_cast<std::uint64_t>(data.stateSinceMs) * kFenceStride;
    return Instance(std::move(data));
}

base::Result<Instance> Instance::fromRow(const std::string &row)
{
    v1::InstanceRow proto;
    if (!proto.ParseFromString(row) || !v1::MaintenanceState_IsValid(proto.state()))
        return base::makeError(base::Code::PlatformMalformedResponse, "instance row");
    InstanceData data;
    data.place = {proto.id(), proto.rack(), proto.zone()};
    data.pool = proto.pool();
    data.state = static_cast<MaintenanceState>(proto.state());
    data.wave = proto.wave();
    data.fence = proto.fence();
    data.stateSinceMs = proto.state_since_ms();
    data.maintainedAtMs = proto.maintained_at_ms();
    data.bootsBefore = proto.boots_before();
    data.reason = proto.reason();
    return Instance(std::move(data));
}

std::string Instance::toRow() const
{
    return toProto().SerializeAsString();
}

v1::InstanceRow Instance::toProto() const
{
    v1::InstanceRow proto;
    proto.set_id(data_.place.id);
    proto.set_pool(data_.pool);
    proto.set_zone(data_.place.zone);
    proto.set_rack(data_.place.rack);
    proto.set_state(static_cast<v1::MaintenanceState>(data_.state));
    proto.set_wave(data_.wave);
    proto.set_fence(data_.fence);
    proto.set_state_since_ms(data_.stateSinceMs);
    proto.set_maintained_at_ms(data_.maintainedAtMs);
    proto.set_boots_before(data_.bootsBefore);
    proto.set_reason(data_.reason);
    return proto;
}

base::Result<Instance> Instance::transitioned(std::initializer_list<MaintenanceState> from,
                                              MaintenanceState to, base::TimePoint now) const
{
    if (std::find(from.begin(), from.end(), data_.state) == from.end())
        return invalidTransition(data_, to);
    InstanceData data = data_;
    data.state = to;
    data.stateSinceMs = base::toMillis(now);
    return Instance(std::move(data));
}

base::Result<Instance> Instance::movedTo(const std::string &pool) const
{
    if (!isInService())
        return base::makeError(base::Code::InstanceBusy,
                               "instance '" + data_.place.id + "' is "
                                       + std::string(stateName(data_.state)) + " in wave '"
                                       + data_.wave + "'");
    if (pool == data_.pool)
        return base::makeError(base::Code::InvalidArgument, "instance '" + data_.place.id
                                                                    + "' is already in pool '"
                                                                    + pool + "'");
    InstanceData data = data_;
    data.pool = pool;
    data.fence = nextFence();
    return Instance(std::move(data));
}

base::Result<Instance> Instance::cordoned(const std::string &wave, base::TimePoint now) const
{
    BOOST_OUTCOME_TRY(next,
                      transitioned({MaintenanceState::InService}, MaintenanceState::Cordoned, now));
    next.data_.wave = wave;
    next.data_.fence = nextFence();
    next.data_.reason.clear();
    return next;
}

base::Result<Instance> Instance::draining(base::TimePoint now) const
{
    return transitioned({MaintenanceState::Cordoned}, MaintenanceState::Draining, now);
}

base::Result<Instance> Instance::rebooting(std::uint64_t bootsBefore, base::TimePoint now) const
{
    BOOST_OUTCOME_TRY(next,
                      transitioned({MaintenanceState::Draining}, MaintenanceState::Rebooting, now));
    next.data_.bootsBefore = bootsBefore;
    return next;
}

// The new fence prevents a driver that was suspended since the drain from draining the instance
// again.
base::Result<Instance> Instance::verifying(base::TimePoint now) const
{
    BOOST_OUTCOME_TRY(
            next, transitioned({MaintenanceState::Rebooting}, MaintenanceState::Verifying, now));
    next.data_.fence = nextFence();
    return next;
}

base::Result<Instance> Instance::redrained(std::uint64_t platformFence, base::TimePoint now) const
{
    BOOST_OUTCOME_TRY(next, transitioned({MaintenanceState::Cordoned, MaintenanceState::Draining,
                                          MaintenanceState::Rebooting},
                                         MaintenanceState::Cordoned, now));
    const std::uint64_t abovePlatformFence = (platformFence / kFenceStride + 1) * kFenceStride;
    next.data_.fence = std::max(nextFence(), abovePlatformFence);
    return next;
}

base::Result<Instance> Instance::returning(const std::string &reason, base::TimePoint now) const
{
    BOOST_OUTCOME_TRY(next, transitioned({MaintenanceState::Cordoned, MaintenanceState::Draining},
                                         MaintenanceState::Returning, now));
    next.data_.fence = nextFence();
    next.data_.reason = reason.substr(0, kMaxReasonLength);
    return next;
}

base::Result<Instance> Instance::held(const std::string &reason, base::TimePoint now) const
{
    BOOST_OUTCOME_TRY(next, transitioned({MaintenanceState::Cordoned, MaintenanceState::Draining,
                                          MaintenanceState::Rebooting, MaintenanceState::Verifying,
                                          MaintenanceState::Returning},
                                         MaintenanceState::Held, now));
    next.data_.reason = reason.substr(0, kMaxReasonLength);
    return next;
}

base::Result<Instance> Instance::inService(base::TimePoint now) const
{
    BOOST_OUTCOME_TRY(next, transitioned({MaintenanceState::Verifying, MaintenanceState::Returning,
                                          MaintenanceState::Held},
                                         MaintenanceState::InService, now));
    if (data_.state == MaintenanceState::Verifying)
        next.data_.maintainedAtMs = base::toMillis(now);
    // A held instance is released with a new fence, above those of all earlier commands.
    if (data_.state == MaintenanceState::Held)
        next.data_.fence = nextFence();
    if (data_.state != MaintenanceState::Returning)
        next.data_.reason.clear();
    next.data_.wave.clear();
    return next;
}

} // namespace chicorywick::fleet
