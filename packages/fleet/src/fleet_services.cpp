#include "fleet_service.h"

namespace chicorywick::fleet {

void addFleetServices(twirp::Router &router, const FleetServiceDependencies &dependencies)
{
    addFleetService(router, dependencies);
    addWaveService(router, dependencies);
}

} // namespace chicorywick::fleet
