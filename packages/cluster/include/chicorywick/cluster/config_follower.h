#pragma once

#include <chicorywick/cluster/config_store.h>
#include <chicorywick/cluster/table_rate_limiter.h>

#include <functional>

namespace chicorywick::cluster {

/// @brief Read rate of the configuration head.
struct ConfigFollowerOptions
{
    /// Total rate over all daemons. Peers distribute a new version to the daemons that have not
    /// read it.
    double fleetReadsPerSecond = 20;
    base::Duration minInterval = std::chrono::seconds(1);
    base::Duration maxInterval = std::chrono::seconds(10);
};

/// @brief Daemon state that a follower queries, and the receiver of what it reads.
struct ConfigFollowerCallbacks
{
    std::function<std::uint64_t()> version;
    std::function<std::size_t()> aliveMembers;
    std::function<void(std::uint64_t head, const v1::ConfigDelta &)> apply;
};

/// @brief Polls the table for configuration changes. A step blocks on the table.
class ConfigFollower
{
public:
    ConfigFollower(ConfigStore store, TableRateLimiter &rateLimiter,
                   ConfigFollowerCallbacks followerCallbacks, ConfigFollowerOptions options,
                   std::uint64_t seed);

    /// @brief Reads the table if a read is due. Returns the time of the next step.
    base::TimePoint step(base::TimePoint now);

    /// @brief Like step(), but a read is due immediately.
    base::TimePoint stepNow(base::TimePoint now);

    bool isPlatformReachable() const { return isReachable_; }

private:
    base::Duration interval();

    ConfigStore store_;
    TableRateLimiter &rateLimiter_;
    ConfigFollowerCallbacks followerCallbacks_;
    ConfigFollowerOptions options_;
    base::Rng rng_;
    base::TimePoint nextRead_{};
    bool isReachable_ = false;
};

} // namespace chicorywick::cluster
