#include <chicorywick/fleet/wave_driver.h>

namespace chicorywick::fleet {

// Without the table, a driver has only the states that it read last. Another driver may have
// advanced since; the fences make late commands ineffective.
void WaveDriver::applyFailSafe()
{
    for (auto entry = active_.begin(); entry != active_.end();) {
        const InstanceData &data = entry->second.data();
        base::Result<void> result = base::ok();
        switch (data.state) {
        case MaintenanceState::Cordoned:
        case MaintenanceState::Draining:
            // The odd fence is above those of all earlier commands and below the next even fence,
            // with which the maintenance continues once the table is available again.
            result = control_.undrain(data.place.id, data.fence + 1);
            break;
        case MaintenanceState::Rebooting:
            result = control_.reboot(data.place.id, data.fence);
            break;
        case MaintenanceState::Verifying:
        case MaintenanceState::Returning:
            result = control_.undrain(data.place.id, data.fence);
            break;
        case MaintenanceState::InService:
        case MaintenanceState::Held:
            break;
        }
        const bool isSettled = result || result.error().code == base::Code::StaleFence
                               || result.error().code == base::Code::NotFound;
        entry = isSettled ? active_.erase(entry) : std::next(entry);
    }
}

} // namespace chicorywick::fleet
