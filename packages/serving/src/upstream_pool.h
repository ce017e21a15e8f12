#pragma once

#include "upstream_connection.h"

#include <map>
#include <mutex>
#include <vector>

namespace chicorywick::serving {

/// @brief Limits of the idle connections to upstreams.
struct UpstreamPoolOptions
{
    /// An upstream allows 64 connections in total for up to nine entry instances; its 8 slots bound
    /// the connections in use.
    std::size_t maxIdlePerUpstream = 4;
    std::size_t maxIdle = 512;
    std::chrono::milliseconds maxIdleAge = std::chrono::seconds(4);
    /// An upstream may close an idle connection while a request is in transit. The outcome of a
    /// non-idempotent request would then be unknown, so such requests use only recently used
    /// connections.
    std::chrono::milliseconds maxIdleAgeNonIdempotent = std::chrono::seconds(1);
};

/// @brief Idle connections by upstream address. Only connections whose last response was complete
/// are kept.
class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamPoolOptions options = {})
        : options_(options)
    {}

    /// @brief Returns an idle connection that is still open, or null.
    std::unique_ptr<UpstreamConnection> take(const UpstreamTarget &target, bool isIdempotent);

    /// @brief Keeps the connection if it can be reused; otherwise closes it.
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
