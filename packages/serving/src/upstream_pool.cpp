#include "upstream_pool.h"

namespace chicorywick::serving {

namespace {

constexpr auto kSweepInterval = std::chrono::seconds(1);

std::string addressOf(const UpstreamTarget &target)
{
    return target.host + ':' + std::to_string(target.port);
}

} // namespace

std::unique_ptr<UpstreamConnection> UpstreamPool::take(const UpstreamTarget &target,
                                                       bool isIdempotent)
{
    const auto maxAge = isIdempotent ? options_.maxIdleAge : options_.maxIdleAgeNonIdempotent;
    const SteadyTime now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(addressOf(target));
    if (found == idle_.end())
        return nullptr;
    // The last connection is the most recently used; if it is too old, all others are too.
    Connections &connections = found->second;
    while (!connections.empty() && now - connections.back()->idleSince() <= maxAge) {
        std::unique_ptr<UpstreamConnection> connection = std::move(connections.back());
        connections.pop_back();
        --count_;
        if (!connection->isStale())
            return connection;
    }
    return nullptr;
}

void UpstreamPool::returnConnection(const UpstreamTarget &target,
                                    std::unique_ptr<UpstreamConnection> connection)
{
    if (!connection->isReusable())
        return;
    connection->markIdle();
    const std::lock_guard lock(mutex_);
    removeExpired(connection->idleSince());
    Connections &connections = idle_[addressOf(target)];
    if (connections.size() >= options_.maxIdlePerUpstream || count_ >= options_.maxIdle)
        return;
    connections.push_back(std::move(connection));
    ++count_;
}

void UpstreamPool::removeExpired(SteadyTime now)
{
    if (now - lastSweep_ < kSweepInterval)
        return;
    lastSweep_ = now;
    for (auto it = idle_.begin(); it != idle_.end();) {
        count_ -= std::erase_if(it->second, [&](const auto &connection) {
            return now - connection->idleSince() > options_.maxIdleAge;
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

std::size_t UpstreamPool::idle() const
{
    const std::lock_guard lock(mutex_);
    return count_;
}

} // namespace chicorywick::serving
