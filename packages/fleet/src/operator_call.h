#pragma once

#include <chicorywick/base/log_event.h>
#include <chicorywick/fleet/fleet_repository.h>
#include <chicorywick/fleet/fleet_services.h>
#include <chicorywick/platform/run_once.h>

#include <functional>

namespace chicorywick::fleet {

/// @brief Reads the rows of a mutating call, fills in the response and returns the change.
template <typename Response>
using PrepareChange = std::function<base::Result<FleetChange>(Response &response)>;

/// @brief Runs a mutating call once per request id. A dry run only prepares the change and writes
/// nothing.
template <typename Response, typename Request>
base::Result<Response> runOperation(const FleetServiceDependencies &dependencies,
                                    const twirp::CallContext &context, const Request &request,
                                    bool isDryRun, const PrepareChange<Response> &prepare)
{
    Response response;
    if (isDryRun) {
        BOOST_OUTCOME_TRYV(prepare(response));
        return response;
    }
    const auto prepareTransaction =
            [&](google::protobuf::Message &message) -> base::Result<platform::Transaction> {
        BOOST_OUTCOME_TRY(change, prepare(static_cast<Response &>(message)));
        return change.transaction();
    };
    const auto version = platform::runOnce(dependencies.table, dependencies.clock,
                                           {context.method, request.request_id(), request},
                                           response, prepareTransaction);
    base::logEvent(version ? base::Event::OperatorCallAccepted : base::Event::OperatorCallRefused,
                   {{"method", context.method},
                    {"operator", context.operatorName},
                    {"request", request.request_id()},
                    {"error", version ? std::string() : version.error().message}});
    if (!version)
        return version.error();
    response.set_version(version.value());
    return response;
}

/// @brief Fails if a call expects a version other than the stored one. The message lists the fields
/// in which the stored and the requested row differ.
base::Result<void> checkVersion(std::uint64_t expected, std::uint64_t stored,
                                const google::protobuf::Message &current,
                                const google::protobuf::Message &requested);

} // namespace chicorywick::fleet
