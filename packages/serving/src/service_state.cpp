#include "service_state.h"

namespace chicorywick::serving {

namespace {

// The mean follows a change within some tens of requests.
constexpr int kMeanWeight = 32;

} // namespace

ServiceRate rateOf(const ServiceState &service)
{
    return {service.slotsHeld.load(), service.meanHold.load()};
}

void observeHold(ServiceState &service, base::Duration hold)
{
    const base::Duration mean = service.meanHold.load();
    service.meanHold = mean == base::Duration::zero() ? hold : mean + (hold - mean) / kMeanWeight;
}

bool claimSweep(ServiceState &service, base::TimePoint now, base::Duration interval)
{
    base::TimePoint due = service.nextSweep.load();
    // A clock that steps back must not stop the sweeps.
    if (now < due && due - now <= interval)
        return false;
    return service.nextSweep.compare_exchange_strong(due, now + interval);
}

} // namespace chicorywick::serving
