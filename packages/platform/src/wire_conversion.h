#pragma once

#include "chicorywick/v1/platform.pb.h"

#include <chicorywick/platform/instance_control.h>
#include <chicorywick/platform/workers.h>

namespace chicorywick::platform {

/// @brief Convert between the platform's protobuf messages and the value types.
v1::ListInstancesResponse toWire(const InstanceListing &listing);
InstanceListing fromWire(const v1::ListInstancesResponse &response);
v1::StartTaskRequest toWire(const TaskStart &start);
TaskStart fromWire(const v1::StartTaskRequest &request);
v1::ListTasksResponse toWire(const std::vector<TaskStatus> &tasks);
std::vector<TaskStatus> fromWire(const v1::ListTasksResponse &response);
v1::InstanceStatusResponse toWire(const InstanceStatus &status);
InstanceStatus fromWire(const v1::InstanceStatusResponse &response);

} // namespace chicorywick::platform
