#pragma once

#include "upstream_pool.h"

#include <chicorywick/serving/caller_proxy.h>

#include <atomic>
#include <memory>

namespace chicorywick::serving {

/// @brief Counters that sessions share.
struct SessionCounters
{
    std::atomic<std::uint64_t> completed = 0;
    std::atomic<std::uint64_t> notRun = 0;
    std::atomic<std::uint64_t> unknown = 0;
    std::atomic<std::uint64_t> callersGone = 0;
    std::atomic<std::uint64_t> retries = 0;
};

/// @brief What all sessions of a listener use.
struct ProxyContext
{
    CallerProxyOptions options;
    std::shared_ptr<Dispatcher> dispatcher;
    std::shared_ptr<IdempotencyStore> store;
    base::Clock clock;
    UpstreamPool pool;
    std::atomic<bool> draining = false;
    std::atomic<std::size_t> heldBytes = 0;
    SessionCounters counters;
};

/// @brief A part of the bytes that all responses held whole may take together.
class HeldBytes
{
public:
    explicit HeldBytes(ProxyContext &context)
        : context_(context)
    {}
    ~HeldBytes() { context_.heldBytes -= taken_; }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /// @brief Takes bytes if the limits of one response and of all allow it.
    bool take(std::size_t bytes)
    {
        if (taken_ + bytes > context_.options.maxHeldResponseBytes)
            return false;
        taken_ += bytes;
        return context_.heldBytes.fetch_add(bytes) + bytes <= context_.options.maxHeldBytes;
    }

private:
    ProxyContext &context_;
    std::size_t taken_ = 0;
};

} // namespace chicorywick::serving
