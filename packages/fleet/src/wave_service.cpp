#include "chicorywick/v1/fleet_service.pb.h"
#include "fleet_service.h"
#include "operator_call.h"

#include <algorithm>
#include <unordered_map>

namespace chicorywick::fleet {

namespace {

constexpr const char *kService = "chicorywick.v1.WaveService";

void fill(v1::Wave &response, const MaintenanceWave &wave, std::uint64_t version,
          base::TimePoint now)
{
    *response.mutable_row() = wave.toProto();
    // The bitmap of plan positions is of no use to operators.
    response.mutable_row()->clear_taken();
    response.set_version(version);
    response.set_expected_end_ms(wave.expectedEndMs(now));
}

base::Result<std::vector<PlacedInstance>> select(const std::vector<Stored<Instance>> &members,
                                                 const v1::CreateWaveRequest &request)
{
    std::unordered_map<std::string, PlacedInstance> byId;
    for (const Stored<Instance> &member : members)
        byId.emplace(member.value.data().place.id, member.value.data().place);
    std::vector<PlacedInstance> selected;
    if (request.instances().empty()) {
        for (const Stored<Instance> &member : members)
            selected.push_back(member.value.data().place);
    }
    for (const std::string &id : request.instances()) {
        const auto found = byId.find(id);
        if (found == byId.end())
            return base::makeError(base::Code::NotFound,
                                   "instance '" + id + "' in pool '" + request.pool() + "'");
        selected.push_back(found->second);
    }
    return selected;
}

WaveData requestedWave(const twirp::CallContext &context, const v1::CreateWaveRequest &request,
                       const WavePlan &plan, base::TimePoint now)
{
    WaveData requested;
    requested.id = request.id();
    requested.pool = request.pool();
    requested.total = static_cast<std::uint32_t>(plan.entries().size());
    requested.createdAtMs = base::toMillis(now);
    if (request.drain_deadline_ms() != 0)
        requested.limits.drainDeadline = std::chrono::milliseconds(request.drain_deadline_ms());
    if (request.halt_after_failures() != 0)
        requested.limits.haltAfterFailures = request.halt_after_failures();
    requested.author = context.operatorName;
    return requested;
}

/// @brief The handlers of WaveService.
class WaveService
{
public:
    using Transition = base::Result<MaintenanceWave> (MaintenanceWave::*)() const;

    explicit WaveService(FleetServiceDependencies dependencies)
        : dependencies_(std::move(dependencies))
        , repository_(dependencies_.table)
    {}

    base::Result<v1::Wave> createWave(const twirp::CallContext &context,
                                      const v1::CreateWaveRequest &request) const;
    base::Result<v1::Wave> changeWave(const twirp::CallContext &context,
                                      const v1::WaveRequest &request, Transition transition) const;
    base::Result<v1::Wave> getWave(const v1::GetWaveRequest &request) const;
    base::Result<v1::ListWavesResponse> listWaves() const;

private:
    FleetServiceDependencies dependencies_;
    FleetRepository repository_;
};

base::Result<v1::Wave> WaveService::createWave(const twirp::CallContext &context,
                                               const v1::CreateWaveRequest &request) const
{
    const PrepareChange<v1::Wave> prepare = [&](v1::Wave &response) -> base::Result<FleetChange> {
        const auto existing = repository_.wave(request.id());
        if (existing)
            return base::makeError(base::Code::AlreadyExists, "wave '" + request.id() + "'");
        if (existing.error().code != base::Code::NotFound)
            return existing.error();
        BOOST_OUTCOME_TRY(pool, repository_.pool(request.pool()));
        BOOST_OUTCOME_TRY(members, repository_.members(request.pool()));
        BOOST_OUTCOME_TRY(selected, select(members, request));
        BOOST_OUTCOME_TRY(plan, WavePlan::create(std::move(selected)));
        const base::TimePoint now = dependencies_.clock.now();
        BOOST_OUTCOME_TRY(created,
                          MaintenanceWave::create(requestedWave(context, request, plan, now)));
        const MaintenanceWave wave = created.withReason(pool.value.exhaustionReason());
        fill(response, wave, 0, now);
        return FleetChange().add(wave, plan);
    };
    return runOperation(dependencies_, context, request, request.dry_run(), prepare);
}

base::Result<v1::Wave> WaveService::changeWave(const twirp::CallContext &context,
                                               const v1::WaveRequest &request,
                                               Transition transition) const
{
    const PrepareChange<v1::Wave> prepare = [&](v1::Wave &response) -> base::Result<FleetChange> {
        BOOST_OUTCOME_TRY(old, repository_.wave(request.id()));
        const auto next = (old.value.*transition)();
        const v1::WaveRow current = old.value.toProto();
        BOOST_OUTCOME_TRYV(checkVersion(request.expected_version(), old.version, current,
                                        next ? next.value().toProto() : current));
        if (!next)
            return next.error();
        fill(response, next.value(), old.version, dependencies_.clock.now());
        return FleetChange().put(old, next.value());
    };
    return runOperation(dependencies_, context, request, request.dry_run(), prepare);
}

base::Result<v1::Wave> WaveService::getWave(const v1::GetWaveRequest &request) const
{
    BOOST_OUTCOME_TRY(wave, repository_.wave(request.id()));
    v1::Wave response;
    fill(response, wave.value, wave.version, dependencies_.clock.now());
    return response;
}

base::Result<v1::ListWavesResponse> WaveService::listWaves() const
{
    BOOST_OUTCOME_TRY(waves, repository_.waves());
    v1::ListWavesResponse response;
    for (const Stored<MaintenanceWave> &wave : waves)
        fill(*response.add_waves(), wave.value, wave.version, dependencies_.clock.now());
    return response;
}

} // namespace

void addWaveService(twirp::Router &router, const FleetServiceDependencies &dependencies)
{
    using Context = twirp::CallContext;
    const auto service = std::make_shared<WaveService>(dependencies);
    router.add<v1::CreateWaveRequest, v1::Wave>(
            kService, "CreateWave",
            [service](const Context &context, const v1::CreateWaveRequest &request) {
                return service->createWave(context, request);
            });
    const auto addChange = [&](const std::string &method, WaveService::Transition transition) {
        router.add<v1::WaveRequest, v1::Wave>(
                kService, method,
                [service, transition](const Context &context, const v1::WaveRequest &request) {
                    return service->changeWave(context, request, transition);
                });
    };
    addChange("PauseWave", &MaintenanceWave::paused);
    addChange("ResumeWave", &MaintenanceWave::resumed);
    addChange("AbortWave", &MaintenanceWave::aborting);
    router.add<v1::GetWaveRequest, v1::Wave>(
            kService, "GetWave", [service](const Context &, const v1::GetWaveRequest &request) {
                return service->getWave(request);
            });
    router.add<v1::ListWavesRequest, v1::ListWavesResponse>(
            kService, "ListWaves", [service](const Context &, const v1::ListWavesRequest &) {
                return service->listWaves();
            });
}

} // namespace chicorywick::fleet
