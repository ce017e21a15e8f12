#pragma once

#include "evidence/prove/fake_upstream.h"

#include <chicorywick/platform/memory_platform.h>
#include <chicorywick/serving/caller_proxy.h>

#include <memory>

namespace chicorywick::prove {

/// @brief Creates the idempotency store of one entry instance on the shared platform.
inline std::shared_ptr<serving::IdempotencyStore>
makeStore(const std::shared_ptr<platform::MemoryPlatform> &platform,
          serving::IdempotencyStoreOptions options = {}, base::Clock clock = base::Clock())
{
    const platform::MemoryAccess access{platform, "a"};
    return std::make_shared<serving::IdempotencyStore>(
            platform::Table(access), platform::ObjectStore(access), std::move(clock), options);
}

/// @brief Creates a dispatcher for the service "shop" on the given upstreams.
inline std::shared_ptr<serving::Dispatcher>
makeDispatcher(std::uint64_t seed, const std::vector<serving::UpstreamTarget> &targets)
{
    serving::RoutingTable table;
    table.localZone = "a";
    serving::ServiceRoute &route = table.services["shop"];
    route.policy.retryPercent = 50;
    for (const serving::UpstreamTarget &target : targets)
        route.upstreams.push_back({.target = target});
    auto dispatcher = std::make_shared<serving::Dispatcher>(base::Clock(), seed);
    dispatcher->update(table);
    return dispatcher;
}

/// @brief Keeps the first violation found by any of several threads.
class Violations
{
public:
    void add(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        if (first_.empty())
            first_ = text;
    }
    std::string first() const
    {
        const std::lock_guard lock(mutex_);
        return first_;
    }

private:
    mutable std::mutex mutex_;
    std::string first_;
};

} // namespace chicorywick::prove
