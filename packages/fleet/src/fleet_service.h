#pragma once

#include <chicorywick/fleet/fleet_services.h>

namespace chicorywick::fleet {

void addFleetService(twirp::Router &router, const FleetServiceDependencies &dependencies);
void addWaveService(twirp::Router &router, const FleetServiceDependencies &dependencies);

} // namespace chicorywick::fleet
