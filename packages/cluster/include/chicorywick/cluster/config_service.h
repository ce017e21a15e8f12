#pragma once

#include <chicorywick/cluster/config_store.h>
#include <chicorywick/twirp/router.h>

#include <functional>

namespace chicorywick::cluster {

/// @brief What the configuration service needs beside the table.
struct ConfigServiceCallbacks
{
    /// The version in force in every instance, e.g. PeerNode::surveyConfig().
    std::function<v1::ConfigStatusResponse()> status;
    /// Called after a change was accepted, e.g. PeerNode::refreshConfig().
    std::function<void()> onAccepted;
};

/// @brief Registers the methods of ConfigService.
void addConfigServices(twirp::Router &router, const ConfigStore &store,
                       ConfigServiceCallbacks callbacks);

} // namespace chicorywick::cluster
