#include <chicorywick/base/log_event.h>
#include <chicorywick/cluster/config_service.h>

namespace chicorywick::cluster {

namespace {

constexpr const char *kService = "chicorywick.v1.ConfigService";

std::string authorOf(const twirp::CallContext &context)
{
    return context.operatorName.empty() ? "unnamed" : context.operatorName;
}

base::Result<v1::ConfigChange> logOutcome(const std::string &method,
                                          const twirp::CallContext &context,
                                          const ConfigServiceCallbacks &serviceCallbacks,
                                          base::Result<v1::ConfigChange> change, bool isDryRun)
{
    if (!change) {
        base::logEvent(base::Event::ConfigRefused, {{"method", method},
                                                    {"operator", authorOf(context)},
                                                    {"reason", change.error().message}});
        return change;
    }
    if (isDryRun)
        return change;
    base::logEvent(base::Event::OperatorCallAccepted,
                   {{"method", method},
                    {"operator", authorOf(context)},
                    {"version", std::to_string(change.value().version())}});
    if (serviceCallbacks.onAccepted)
        serviceCallbacks.onAccepted();
    return change;
}

void addChangeMethods(twirp::Router &router, const ConfigStore &store,
                      const ConfigServiceCallbacks &serviceCallbacks)
{
    router.add<v1::PutConfigRequest, v1::ConfigChange>(
            kService, "PutConfig",
            [store, serviceCallbacks](const twirp::CallContext &context,
                                      const v1::PutConfigRequest &request) {
                return logOutcome("PutConfig", context, serviceCallbacks,
                                  store.put(request, authorOf(context)), request.dry_run());
            });
    router.add<v1::RollBackConfigRequest, v1::ConfigChange>(
            kService, "RollBackConfig",
            [store, serviceCallbacks](const twirp::CallContext &context,
                                      const v1::RollBackConfigRequest &request) {
                return logOutcome("RollBackConfig", context, serviceCallbacks,
                                  store.rollBack(request, authorOf(context)), false);
            });
}

} // namespace

void addConfigServices(twirp::Router &router, const ConfigStore &store,
                       ConfigServiceCallbacks serviceCallbacks)
{
    addChangeMethods(router, store, serviceCallbacks);
    router.add<v1::GetConfigRequest, v1::Config>(
            kService, "GetConfig",
            [store](const twirp::CallContext &, const v1::GetConfigRequest &) {
                return store.read();
            });
    router.add<v1::ConfigHistoryRequest, v1::ConfigHistoryResponse>(
            kService, "ConfigHistory",
            [store](const twirp::CallContext &, const v1::ConfigHistoryRequest &request) {
                return store.history(request);
            });
    router.add<v1::ConfigStatusRequest, v1::ConfigStatusResponse>(
            kService, "ConfigStatus",
            [store, serviceCallbacks = std::move(serviceCallbacks)](
                    const twirp::CallContext &,
                    const v1::ConfigStatusRequest &) -> base::Result<v1::ConfigStatusResponse> {
                v1::ConfigStatusResponse response;
                if (serviceCallbacks.status)
                    response = serviceCallbacks.status();
                // If the table is unavailable, reports the highest version that a peer has.
                const auto head = store.headVersion();
                if (head)
                    response.set_head_version(std::max(head.value(), response.head_version()));
                return response;
            });
}

} // namespace chicorywick::cluster
