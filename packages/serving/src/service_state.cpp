#include "service_state.h"

namespace chicorywick::serving {

namespace {

// With this weight, the mean follows a change within a few tens of requests.
constexpr int kMeanWeight = 32;

} // namespace

ServiceRate rateOf(const ServiceState &service)
{
    return {service.slotsInUse.load(), service.meanHoldTime.load()};
}

void recordHoldTime(ServiceState &service, base::Duration holdTime)
{
    const base::Duration mean = service.meanHoldTime.load();
    service.meanHoldTime =
            mean == base::Duration::zero() ? holdTime : mean + (holdTime - mean) / kMeanWeight;
}

bool claimSweep(ServiceState &service, base::TimePoint now, base::Duration interval)
{
    base::TimePoint due = service.nextSweep.load();
    // Sweeps continue after the clock steps back.
    if (now < due && due - now <= interval)
        return false;
    return service.nextSweep.compare_exchange_strong(due, now + interval);
}

} // namespace chicorywick::serving
