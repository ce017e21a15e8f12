#pragma once

#include "hosted_deployment.h"
#include "loopback_proxy.h"

#include <chicorywick/base/rng.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::hosted {

/// @brief Stores large configurations at random times and disturbs the daemons' links to the store.
/// Checks that the version in force never goes back, and that the newest one reaches all daemons.
class ConfigurationSoak
{
public:
    ConfigurationSoak(HostedDeployment &deployment, std::uint64_t seed);
    ~ConfigurationSoak();
    ConfigurationSoak(const ConfigurationSoak &) = delete;
    ConfigurationSoak &operator=(const ConfigurationSoak &) = delete;

    /// @brief The settings with which a daemon reaches the store over its link.
    std::string settings(int daemon) const;

    /// @brief Called often while the faults last, with the daemons that run.
    void step(const std::vector<bool> &isDown);

    /// @brief Forgets the version that a daemon had in force, as it has been ended.
    void forget(int daemon) { known_[static_cast<std::size_t>(daemon)] = 0; }

    void restoreLinks();

    /// @brief Waits until all daemons have the newest version in force.
    void awaitNewest();

    int stored() const { return stored_; }
    const std::vector<std::string> &violations() const { return violations_; }

private:
    using Clock = std::chrono::steady_clock;

    void disturbLink(int daemon);
    void restoreLink(int daemon);
    int observeVersion(int daemon);

    HostedDeployment &deployment_;
    base::Rng rng_;
    std::vector<std::unique_ptr<LoopbackProxy>> links_;
    std::vector<Clock::time_point> disturbedUntil_;
    std::vector<int> known_; ///< version in force, by daemon; 0: none known
    int version_ = 1;
    int stored_ = 0;
    std::vector<std::string> violations_;
};

} // namespace chicorywick::hosted
