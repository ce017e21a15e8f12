#include "wire_conversion.h"

#include <chicorywick/base/overloaded.h>
#include <chicorywick/platform/instance_control.h>
#include <chicorywick/platform/memory_platform.h>

namespace chicorywick::platform {

namespace {

constexpr const char *kService = "chicorywick.v1.InstanceControlService";

} // namespace

base::Result<void> InstanceControl::command(const char *method, const std::string &instance,
                                            std::uint64_t fence) const
{
    using Outcome = base::Result<void>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::InstanceControlRequest request;
                                           request.set_instance(instance);
                                           request.set_fence(fence);
                                           v1::InstanceControlResponse response;
                                           return client.call(kService, method, request, response);
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->commandInstance(
                                                   memory.zone, method, instance, fence);
                                       }},
                      backend_);
}

base::Result<void> InstanceControl::drain(const std::string &instance, std::uint64_t fence) const
{
    return command("Drain", instance, fence);
}

base::Result<void> InstanceControl::undrain(const std::string &instance, std::uint64_t fence) const
{
    return command("Undrain", instance, fence);
}

base::Result<void> InstanceControl::reboot(const std::string &instance, std::uint64_t fence) const
{
    return command("Reboot", instance, fence);
}

base::Result<InstanceStatus> InstanceControl::status(const std::string &instance) const
{
    using Outcome = base::Result<InstanceStatus>;
    return std::visit(
            base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                 v1::InstanceStatusRequest request;
                                 request.set_instance(instance);
                                 BOOST_OUTCOME_TRY(response,
                                                   client.call<v1::InstanceStatusResponse>(
                                                           kService, "Status", request));
                                 return fromWire(response);
                             },
                             [&](const MemoryAccess &memory) -> Outcome {
                                 return memory.platform->instanceStatus(memory.zone, instance);
                             }},
            backend_);
}

} // namespace chicorywick::platform
