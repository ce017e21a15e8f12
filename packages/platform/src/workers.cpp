#include "wire_conversion.h"

#include <chicorywick/base/overloaded.h>
#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/platform/workers.h>

#include <string_view>

namespace chicorywick::platform {

namespace {

constexpr const char *kService = "chicorywick.v1.WorkerService";

std::int64_t toWireMillis(base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

base::Result<void> Workers::start(const TaskStart &start) const
{
    using Outcome = base::Result<void>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::StartTaskResponse response;
                                           return client.call(kService, "StartTask", toWire(start),
                                                              response);
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->startTask(memory.zone, start);
                                       }},
                      backend_);
}

base::Result<void> Workers::command(const char *method, const TaskRef &ref,
                                    std::int64_t argument) const
{
    using Outcome = base::Result<void>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::TaskRequest request;
                                           request.set_worker(ref.worker);
                                           request.set_task(ref.task);
                                           request.set_fence(ref.fence);
                                           request.set_argument(argument);
                                           v1::TaskResponse response;
                                           return client.call(kService, method, request, response);
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->commandTask(memory.zone, method,
                                                                               ref, argument);
                                       }},
                      backend_);
}

base::Result<void> Workers::renew(const TaskRef &ref, base::Duration lease) const
{
    return command("RenewTask", ref, toWireMillis(lease));
}

base::Result<void> Workers::checkpoint(const TaskRef &ref) const
{
    return command("CheckpointTask", ref, 0);
}

base::Result<void> Workers::throttle(const TaskRef &ref, std::uint32_t cpuMillis) const
{
    return command("ThrottleTask", ref, cpuMillis);
}

base::Result<void> Workers::stop(const TaskRef &ref) const
{
    return command("StopTask", ref, 0);
}

base::Result<std::vector<TaskStatus>> Workers::tasks(const std::string &worker) const
{
    using Outcome = base::Result<std::vector<TaskStatus>>;
    return std::visit(base::Overloaded{[&](const twirp::Client &client) -> Outcome {
                                           v1::ListTasksRequest request;
                                           request.set_worker(worker);
                                           BOOST_OUTCOME_TRY(
                                                   response,
                                                   client.call<v1::ListTasksResponse>(
                                                           kService, "ListTasks", request));
                                           return fromWire(response);
                                       },
                                       [&](const MemoryAccess &memory) -> Outcome {
                                           return memory.platform->listTasks(memory.zone, worker);
                                       }},
                      backend_);
}

} // namespace chicorywick::platform
