#include "fleet_service.h"

#include "chicorywick/v1/fleet_service.pb.h"
#include "operator_call.h"

#include <algorithm>

namespace chicorywick::fleet {

namespace {

constexpr const char *kService = "chicorywick.v1.FleetService";

void fill(v1::Pool &response, const Pool &pool, std::uint64_t version)
{
    *response.mutable_row() = pool.toProto();
    response.set_version(version);
    response.set_allowed_disruptions(pool.allowedDisruptions());
}

void fill(v1::Instance &response, const Instance &instance, std::uint64_t version)
{
    *response.mutable_row() = instance.toProto();
    response.set_version(version);
}

/// @brief Fails with AlreadyExists if the read found the object.
template <typename Aggregate>
base::Result<void> checkAbsent(const base::Result<Stored<Aggregate>> &read, const std::string &name)
{
    if (read)
        return base::makeError(base::Code::AlreadyExists, name);
    if (read.error().code != base::Code::NotFound)
        return read.error();
    return base::ok();
}

/// @brief The handlers of FleetService.
class FleetService
{
public:
    explicit FleetService(FleetServiceDependencies dependencies)
        : dependencies_(std::move(dependencies))
        , repository_(dependencies_.table)
    {}

    base::Result<v1::Pool> createPool(const twirp::CallContext &context,
                                      const v1::CreatePoolRequest &request) const;
    base::Result<v1::Pool> updatePool(const twirp::CallContext &context,
                                      const v1::UpdatePoolRequest &request) const;
    base::Result<v1::Pool> getPool(const v1::GetPoolRequest &request) const;
    base::Result<v1::ListPoolsResponse> listPools() const;
    base::Result<v1::Instance> addInstance(const twirp::CallContext &context,
                                           const v1::AddInstanceRequest &request) const;
    base::Result<v1::Instance> moveInstance(const twirp::CallContext &context,
                                            const v1::MoveInstanceRequest &request) const;
    base::Result<v1::Instance> removeInstance(const twirp::CallContext &context,
                                              const v1::RemoveInstanceRequest &request) const;
    base::Result<v1::Instance> releaseInstance(const twirp::CallContext &context,
                                               const v1::ReleaseInstanceRequest &request) const;
    base::Result<v1::Instance> getInstance(const v1::GetInstanceRequest &request) const;
    base::Result<v1::ListFleetResponse> listInstances(const v1::ListFleetRequest &request) const;

private:
    base::Result<void> checkHealthy(const Instance &instance, std::uint64_t fence) const;

    FleetServiceDependencies dependencies_;
    FleetRepository repository_;
};

base::Result<v1::Pool> FleetService::createPool(const twirp::CallContext &context,
                                                const v1::CreatePoolRequest &request) const
{
    const PrepareChange<v1::Pool> prepare = [&](v1::Pool &response) -> base::Result<FleetChange> {
        BOOST_OUTCOME_TRY(budget, AvailabilityBudget::fromProto(request.budget()));
        BOOST_OUTCOME_TRY(
                pool, Pool::create(request.name(), budget, request.spare(), request.target_size()));
        BOOST_OUTCOME_TRYV(
                checkAbsent(repository_.pool(request.name()), "pool '" + request.name() + "'"));
        fill(response, pool, 0);
        return FleetChange().add(pool);
    };
    return runOperation(dependencies_, context, request, false, prepare);
}

base::Result<v1::Pool> FleetService::updatePool(const twirp::CallContext &context,
                                                const v1::UpdatePoolRequest &request) const
{
    const PrepareChange<v1::Pool> prepare = [&](v1::Pool &response) -> base::Result<FleetChange> {
        BOOST_OUTCOME_TRY(budget, AvailabilityBudget::fromProto(request.budget()));
        BOOST_OUTCOME_TRY(old, repository_.pool(request.name()));
        const Pool next = old.value.withBudget(budget, request.target_size());
        BOOST_OUTCOME_TRYV(checkVersion(request.expected_version(), old.version,
                                        old.value.toProto(), next.toProto()));
        fill(response, next, old.version);
        return FleetChange().put(old, next);
    };
    return runOperation(dependencies_, context, request, request.dry_run(), prepare);
}

base::Result<v1::Pool> FleetService::getPool(const v1::GetPoolRequest &request) const
{
    BOOST_OUTCOME_TRY(pool, repository_.pool(request.name()));
    v1::Pool response;
    fill(response, pool.value, pool.version);
    return response;
}

base::Result<v1::ListPoolsResponse> FleetService::listPools() const
{
    BOOST_OUTCOME_TRY(pools, repository_.pools());
    v1::ListPoolsResponse response;
    for (const Stored<Pool> &pool : pools)
        fill(*response.add_pools(), pool.value, pool.version);
    return response;
}

base::Result<v1::Instance> FleetService::addInstance(const twirp::CallContext &context,
                                                     const v1::AddInstanceRequest &request) const
{
    const PrepareChange<v1::Instance> prepare =
            [&](v1::Instance &response) -> base::Result<FleetChange> {
        const PlacedInstance place{request.id(), request.rack(), request.zone()};
        BOOST_OUTCOME_TRY(instance,
                          Instance::create(place, request.pool(), dependencies_.clock.now()));
        const auto existing = repository_.instance(request.id());
        if (existing && existing.value().value.data().pool != request.pool())
            return base::makeError(base::Code::InstanceInOtherPool,
                                   "pool '" + existing.value().value.data().pool + "'");
        BOOST_OUTCOME_TRYV(checkAbsent(existing, "instance '" + request.id() + "'"));
        BOOST_OUTCOME_TRY(pool, repository_.pool(request.pool()));
        fill(response, instance, 0);
        return FleetChange().add(instance).put(pool, pool.value.withMember());
    };
    return runOperation(dependencies_, context, request, false, prepare);
}

base::Result<v1::Instance> FleetService::moveInstance(const twirp::CallContext &context,
                                                      const v1::MoveInstanceRequest &request) const
{
    const PrepareChange<v1::Instance> prepare =
            [&](v1::Instance &response) -> base::Result<FleetChange> {
        BOOST_OUTCOME_TRY(old, repository_.instance(request.id()));
        v1::InstanceRow requested = old.value.toProto();
        requested.set_pool(request.to_pool());
        BOOST_OUTCOME_TRYV(checkVersion(request.expected_version(), old.version,
                                        old.value.toProto(), requested));
        BOOST_OUTCOME_TRY(next, old.value.movedTo(request.to_pool()));
        BOOST_OUTCOME_TRY(from, repository_.pool(old.value.data().pool));
        BOOST_OUTCOME_TRY(to, repository_.pool(request.to_pool()));
        BOOST_OUTCOME_TRY(left, from.value.withoutMember(request.id()));
        fill(response, next, old.version);
        return FleetChange().put(old, next).put(from, left).put(to, to.value.withMember());
    };
    return runOperation(dependencies_, context, request, request.dry_run(), prepare);
}

base::Result<v1::Instance>
FleetService::removeInstance(const twirp::CallContext &context,
                             const v1::RemoveInstanceRequest &request) const
{
    const PrepareChange<v1::Instance> prepare =
            [&](v1::Instance &response) -> base::Result<FleetChange> {
        BOOST_OUTCOME_TRY(old, repository_.instance(request.id()));
        const v1::InstanceRow current = old.value.toProto();
        v1::InstanceRow requested = current;
        requested.clear_pool();
        BOOST_OUTCOME_TRYV(
                checkVersion(request.expected_version(), old.version, current, requested));
        if (!old.value.isInService() && old.value.data().state != MaintenanceState::Held)
            return base::makeError(base::Code::InstanceBusy,
                                   std::string(stateName(old.value.data().state)));
        BOOST_OUTCOME_TRY(pool, repository_.pool(old.value.data().pool));
        BOOST_OUTCOME_TRY(left, pool.value.withoutMember(request.id()));
        fill(response, old.value, old.version);
        return FleetChange().remove(old).put(pool, left);
    };
    return runOperation(dependencies_, context, request, request.dry_run(), prepare);
}

// The undrain with the new fence precedes the write: once the row shows the instance in service, no
// driver that was suspended may be able to drain it.
base::Result<void> FleetService::checkHealthy(const Instance &instance, std::uint64_t fence) const
{
    const std::string &id = instance.data().place.id;
    BOOST_OUTCOME_TRYV(dependencies_.control.undrain(id, fence));
    BOOST_OUTCOME_TRY(status, dependencies_.control.status(id));
    if (status.phase != platform::InstancePhase::Up)
        return base::makeError(base::Code::InvalidTransition, "instance '" + id + "' is not up");
    BOOST_OUTCOME_TRY(listing, dependencies_.list.list());
    const bool isLive = std::any_of(listing.instances.begin(), listing.instances.end(),
                                    [&](const platform::ListedInstance &listed) {
                                        return listed.id == id && !listed.leaving;
                                    });
    if (!isLive || base::toMillis(listing.observedAt) < instance.data().stateSinceMs)
        return base::makeError(base::Code::InvalidTransition,
                               "instance '" + id + "' is not yet live in the instance list");
    return base::ok();
}

base::Result<v1::Instance>
FleetService::releaseInstance(const twirp::CallContext &context,
                              const v1::ReleaseInstanceRequest &request) const
{
    const PrepareChange<v1::Instance> prepare =
            [&](v1::Instance &response) -> base::Result<FleetChange> {
        BOOST_OUTCOME_TRY(old, repository_.instance(request.id()));
        const v1::InstanceRow current = old.value.toProto();
        v1::InstanceRow requested = current;
        requested.set_state(v1::MAINTENANCE_STATE_IN_SERVICE);
        BOOST_OUTCOME_TRYV(
                checkVersion(request.expected_version(), old.version, current, requested));
        if (old.value.data().state != MaintenanceState::Held)
            return base::makeError(base::Code::InvalidTransition,
                                   "instance '" + request.id() + "' is "
                                           + std::string(stateName(old.value.data().state))
                                           + ", not held");
        BOOST_OUTCOME_TRY(next, old.value.inService(dependencies_.clock.now()));
        BOOST_OUTCOME_TRY(pool, repository_.pool(old.value.data().pool));
        BOOST_OUTCOME_TRY(freed, pool.value.withoutGrant(request.id()));
        BOOST_OUTCOME_TRYV(checkHealthy(old.value, next.data().fence));
        fill(response, next, old.version);
        return FleetChange().put(old, next).put(pool, freed);
    };
    return runOperation(dependencies_, context, request, false, prepare);
}

base::Result<v1::Instance> FleetService::getInstance(const v1::GetInstanceRequest &request) const
{
    BOOST_OUTCOME_TRY(instance, repository_.instance(request.id()));
    v1::Instance response;
    fill(response, instance.value, instance.version);
    return response;
}

base::Result<v1::ListFleetResponse>
FleetService::listInstances(const v1::ListFleetRequest &request) const
{
    BOOST_OUTCOME_TRY(instances, request.pool().empty() ? repository_.instances()
                                                        : repository_.members(request.pool()));
    v1::ListFleetResponse response;
    for (const Stored<Instance> &instance : instances)
        fill(*response.add_instances(), instance.value, instance.version);
    return response;
}

} // namespace

void addFleetService(twirp::Router &router, const FleetServiceDependencies &dependencies)
{
    using Context = twirp::CallContext;
    const auto service = std::make_shared<FleetService>(dependencies);
    router.add<v1::CreatePoolRequest, v1::Pool>(
            kService, "CreatePool",
            [service](const Context &context, const v1::CreatePoolRequest &request) {
                return service->createPool(context, request);
            });
    router.add<v1::UpdatePoolRequest, v1::Pool>(
            kService, "UpdatePool",
            [service](const Context &context, const v1::UpdatePoolRequest &request) {
                return service->updatePool(context, request);
            });
    router.add<v1::GetPoolRequest, v1::Pool>(
            kService, "GetPool", [service](const Context &, const v1::GetPoolRequest &request) {
                return service->getPool(request);
            });
    router.add<v1::ListPoolsRequest, v1::ListPoolsResponse>(
            kService, "ListPools", [service](const Context &, const v1::ListPoolsRequest &) {
                return service->listPools();
            });
    router.add<v1::AddInstanceRequest, v1::Instance>(
            kService, "AddInstance",
            [service](const Context &context, const v1::AddInstanceRequest &request) {
                return service->addInstance(context, request);
            });
    router.add<v1::MoveInstanceRequest, v1::Instance>(
            kService, "MoveInstance",
            [service](const Context &context, const v1::MoveInstanceRequest &request) {
                return service->moveInstance(context, request);
            });
    router.add<v1::RemoveInstanceRequest, v1::Instance>(
            kService, "RemoveInstance",
            [service](const Context &context, const v1::RemoveInstanceRequest &request) {
                return service->removeInstance(context, request);
            });
    router.add<v1::ReleaseInstanceRequest, v1::Instance>(
            kService, "ReleaseInstance",
            [service](const Context &context, const v1::ReleaseInstanceRequest &request) {
                return service->releaseInstance(context, request);
            });
    router.add<v1::GetInstanceRequest, v1::Instance>(
            kService, "GetInstance",
            [service](const Context &, const v1::GetInstanceRequest &request) {
                return service->getInstance(request);
            });
    router.add<v1::ListFleetRequest, v1::ListFleetResponse>(
            kService, "ListInstances",
            [service](const Context &, const v1::ListFleetRequest &request) {
                return service->listInstances(request);
            });
}

} // namespace chicorywick::fleet
