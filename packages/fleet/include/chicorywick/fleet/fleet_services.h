#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/platform/instance_control.h>
#include <chicorywick/platform/table.h>
#include <chicorywick/twirp/router.h>

namespace chicorywick::fleet {

/// @brief Dependencies of the fleet services for operators.
struct FleetServiceDependencies
{
    platform::Table table;
    platform::InstanceList list;
    platform::InstanceControl control;
    base::Clock clock;
};

/// @brief Registers the handlers of FleetService and WaveService.
void addFleetServices(twirp::Router &router, const FleetServiceDependencies &dependencies);

} // namespace chicorywick::fleet
