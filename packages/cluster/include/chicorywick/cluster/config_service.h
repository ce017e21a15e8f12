#pragma once

#include <chicorywick/cluster/config_store.h>
#include <chicorywick/twirp/router.h>

#include <functional>

namespace chicorywick::cluster {

/// @brief What the configuration service needs beside the table.
struct ConfigServicePorts
{
    /// The version in force in every instance, e.g. PeerNode::surveyConfig().
    std::function<v1::ConfigStatusResponse()> status;
    /// Called after a change was accepted, e.g. PeerNode::refreshConfig().
    std::function<void()> onAccepted;
};

/// @brief Registers the methods of ConfigService.
void addConfigServices(twirp::Router &router, const ConfigStore &store, ConfigServicePorts ports);

} // namespace chicorywick::cluster
