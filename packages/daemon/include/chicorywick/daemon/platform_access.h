#pragma once

#include <chicorywick/daemon/settings.h>
#include <chicorywick/platform/memory_platform.h>

namespace chicorywick::daemon {

/// @brief Clients of all platform services, backed by one platform.
struct PlatformAccess
{
    platform::Table table;
    platform::ObjectStore objects;
    platform::InstanceList instances;
    platform::Workers workers;
    platform::InstanceControl control;
};

/// @brief Connects to the platform selected by the settings.
PlatformAccess openPlatform(const Settings &settings);

} // namespace chicorywick::daemon
