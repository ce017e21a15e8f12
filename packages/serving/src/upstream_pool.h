#pragma once

#include "upstream_connection.h"

#include <map>
#include <mutex>
#include <vector>

namespace chicorywick::serving {

/// @brief Limits of the idle connections to upstreams.
struct UpstreamPoolOptions
{
    /// An upstream has 64 connections for all of up to nine entry instances, and its 8 slots bound
    /// those in use.
    std::size_t maxIdlePerUpstream = 4;
    std::size_t maxIdle = 512;
    std::chrono::milliseconds maxIdleAge = std::chrono::seconds(4);
    /// An upstream may close an idle connection while a request is on its way. That makes the fate
    /// of a non-idempotent request unknown, so such requests use only recently used connections.
    std::chrono::milliseconds maxIdleAgeNonIdempotent = std::chrono::seconds(1);
};

/// @brief Idle connections by upstream address. Only connections whose last response was whole
/// are kept.
class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamPoolOptions options = {})
        : options_(options)
    {}

    /// @brief An idle connection that is still open, or nothing.
    std::unique_ptr<UpstreamConnection> take(const UpstreamTarget &target, bool isIdempotent);

    /// @brief Keeps the connection if it may be reused, else closes it.
    void returnConnection(const UpstreamTarget &target,
                          std::unique_ptr<UpstreamConnection> connection);

    std::size_t idle() const;

private:
    using Connections = std::vector<std::unique_ptr<UpstreamConnection>>;

    void removeExpired(SteadyTime now);

    UpstreamPoolOptions options_;
    mutable std::mutex mutex_;
    std::map<std::string, Connections> idle_;
    std::size_t count_ = 0;
    SteadyTime lastSweep_{};
};

} // namespace chicorywick::serving
