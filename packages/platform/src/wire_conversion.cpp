#include "wire_conversion.h"

namespace chicorywick::platform {

namespace {

// Wire enums have a leading "unspecified" value; the other values have the same order in both.
template <typename Wire, typename Value>
Wire enumToWire(Value value)
{
    return static_cast<Wire>(static_cast<int>(value) + 1);
}

template <typename Value, typename Wire>
Value enumFromWire(Wire wire)
{
    const int number = static_cast<int>(wire);
    return static_cast<Value>(number > 0 ? number - 1 : 0);
}

} // namespace

v1::ListInstancesResponse toWire(const InstanceListing &listing)
{
    v1::ListInstancesResponse response;
    response.set_observed_at_ms(base::toMillis(listing.observedAt));
    for (const ListedInstance &instance : listing.instances) {
        v1::ListedInstance *added = response.add_instances();
        added->set_id(instance.id);
        added->set_kind(enumToWire<v1::InstanceKind>(instance.kind));
        added->set_address(instance.address);
        added->set_zone(instance.zone);
        added->set_rack(instance.rack);
        added->set_service(instance.service);
        added->set_leaving(instance.leaving);
        added->set_cpu_millis(instance.capacity.cpuMillis);
        added->set_memory_mib(instance.capacity.memoryMib);
        added->set_accelerators(instance.capacity.accelerators);
    }
    return response;
}

InstanceListing fromWire(const v1::ListInstancesResponse &response)
{
    InstanceListing listing;
    listing.observedAt = base::fromMillis(response.observed_at_ms());
    for (const v1::ListedInstance &instance : response.instances()) {
        listing.instances.push_back({.id = instance.id(),
                                     .kind = enumFromWire<InstanceKind>(instance.kind()),
                                     .address = instance.address(),
                                     .zone = instance.zone(),
                                     .rack = instance.rack(),
                                     .service = instance.service(),
                                     .leaving = instance.leaving(),
                                     .capacity = {instance.cpu_millis(), instance.memory_mib(),
                                                  instance.accelerators()}});
    }
    return listing;
}

v1::StartTaskRequest toWire(const TaskStart &start)
{
    v1::StartTaskRequest request;
    request.set_worker(start.worker);
    request.set_task(start.task);
    request.set_fence(start.fence);
    request.set_lease_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(start.lease).count());
    request.set_cpu_millis(start.resources.cpuMillis);
    request.set_memory_mib(start.resources.memoryMib);
    request.set_accelerators(start.resources.accelerators);
    request.set_payload(start.payload);
    request.set_checkpoint(start.checkpoint);
    return request;
}

TaskStart fromWire(const v1::StartTaskRequest &request)
{
    return TaskStart{
            .worker = request.worker(),
            .task = request.task(),
            .fence = request.fence(),
            .lease = std::chrono::milliseconds(request.lease_ms()),
            .resources = {request.cpu_millis(), request.memory_mib(), request.accelerators()},
            .payload = request.payload(),
            .checkpoint = request.checkpoint()};
}

v1::ListTasksResponse toWire(const std::vector<TaskStatus> &tasks)
{
    v1::ListTasksResponse response;
    for (const TaskStatus &task : tasks) {
        v1::TaskStatus *added = response.add_tasks();
        added->set_task(task.task);
        added->set_fence(task.fence);
        added->set_state(enumToWire<v1::TaskState>(task.state));
        added->set_cpu_millis(task.cpuMillis);
        added->set_memory_mib(task.memoryMib);
        added->set_started_at_ms(base::toMillis(task.startedAt));
        added->set_ended_at_ms(base::toMillis(task.endedAt));
        added->set_checkpoint(task.checkpoint);
        added->set_message(task.message);
    }
    return response;
}

std::vector<TaskStatus> fromWire(const v1::ListTasksResponse &response)
{
    std::vector<TaskStatus> tasks;
    for (const v1::TaskStatus &task : response.tasks()) {
        tasks.push_back({.task = task.task(),
                         .fence = task.fence(),
                         .state = enumFromWire<TaskState>(task.state()),
                         .cpuMillis = task.cpu_millis(),
                         .memoryMib = task.memory_mib(),
                         .startedAt = base::fromMillis(task.started_at_ms()),
                         .endedAt = base::fromMillis(task.ended_at_ms()),
                         .checkpoint = task.checkpoint(),
                         .message = task.message()});
    }
    return tasks;
}

v1::InstanceStatusResponse toWire(const InstanceStatus &status)
{
    v1::InstanceStatusResponse response;
    response.set_phase(enumToWire<v1::InstancePhase>(status.phase));
    response.set_fence(status.fence);
    response.set_in_flight(status.inFlight);
    response.set_boots(status.boots);
    return response;
}

InstanceStatus fromWire(const v1::InstanceStatusResponse &response)
{
    return InstanceStatus{.phase = enumFromWire<InstancePhase>(response.phase()),
                          .fence = response.fence(),
                          .inFlight = response.in_flight(),
                          .boots = response.boots()};
}

} // namespace chicorywick::platform
