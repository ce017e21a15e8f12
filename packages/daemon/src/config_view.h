#pragma once

#include "chicorywick/v1/config.pb.h"

#include <chicorywick/jobs/scheduling.h>

#include <map>
#include <string>
#include <vector>

namespace chicorywick::daemon {

/// @brief The active configuration, grouped by kind of item.
struct ConfigView
{
    std::map<std::string, v1::ServiceConfig> services;
    std::vector<jobs::TeamQuota> teams;
};

/// @brief Groups items such as "service/counter" and "team/engraving" by kind.
ConfigView makeConfigView(const std::vector<v1::ConfigItem> &items);

/// @brief The objective of a service that has none configured.
v1::Objective defaultObjective();

/// @brief The objectives of all services that are configured or in the instance list.
std::map<std::string, v1::Objective> objectivesOf(const ConfigView &view,
                                                  const std::vector<std::string> &listedServices);

} // namespace chicorywick::daemon
