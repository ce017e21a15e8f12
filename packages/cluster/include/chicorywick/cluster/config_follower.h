#pragma once

#include <chicorywick/cluster/config_store.h>
#include <chicorywick/cluster/table_rate_limiter.h>

#include <functional>

namespace chicorywick::cluster {

/// @brief How often the head of the configuration is read.
struct ConfigFollowerOptions
{
    /// All daemons together read the head this often; peers carry the news to the others.
    double fleetReadsPerSecond = 20;
    base::Duration minInterval = std::chrono::seconds(1);
    base::Duration maxInterval = std::chrono::seconds(10);
};

/// @brief What a follower needs to know of its daemon, and where it puts what it read.
struct ConfigFollowerCallbacks
{
    std::function<std::uint64_t()> version;
    std::function<std::size_t()> aliveMembers;
    std::function<void(std::uint64_t head, const v1::ConfigDelta &)> apply;
};

/// @brief Reads the configuration from the table when it has changed; the step blocks on the table.
class ConfigFollower
{
public:
    ConfigFollower(ConfigStore store, TableRateLimiter &rateLimiter,
                   ConfigFollowerCallbacks callbacks, ConfigFollowerOptions options,
                   std::uint64_t seed);

    /// @brief Reads the table if it is time to; the value is the time of the next step.
    base::TimePoint step(base::TimePoint now);

    /// @brief As step(), without waiting for the next regular read.
    base::TimePoint stepNow(base::TimePoint now);

    bool isPlatformReachable() const { return isReachable_; }

private:
    base::Duration interval();

    ConfigStore store_;
    TableRateLimiter &rateLimiter_;
    ConfigFollowerCallbacks callbacks_;
    ConfigFollowerOptions options_;
    base::Rng rng_;
    base::TimePoint nextRead_{};
    bool isReachable_ = false;
};

} // namespace chicorywick::cluster
