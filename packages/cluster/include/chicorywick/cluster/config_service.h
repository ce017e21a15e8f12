#pragma once

#include <chicorywick/cluster/config_store.h>
#include <chicorywick/twirp/router.h>

#include <functional>

namespace chicorywick::cluster {

/// @brief Callbacks of the configuration service.
struct ConfigServiceCallbacks
{
    /// Returns the version in force in every instance, e.g. PeerNode::surveyConfig().
    std::function<v1::ConfigStatusResponse()> status;
    /// Called after an accepted change, e.g. PeerNode::refreshConfig().
    std::function<void()> onAccepted;
};

/// @brief Registers the ConfigService methods with a Twirp router.
void addConfigServices(twirp::Router &router, const ConfigStore &store,
                       ConfigServiceCallbacks serviceCallbacks);

} // namespace chicorywick::cluster
