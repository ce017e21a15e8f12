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
    std::atomic<std::uint64_t> callersDisconnected = 0;
    std::atomic<std::uint64_t> retries = 0;
};

/// @brief State shared by all sessions of a listener.
struct ProxyContext
{
    CallerProxyOptions options;
    std::shared_ptr<Dispatcher> dispatcher;
    std::shared_ptr<IdempotencyStore> store;
    base::Clock clock;
    UpstreamPool pool;
    std::atomic<bool> draining = false;
    std::atomic<std::size_t> bufferedBytes = 0;
    SessionCounters counters;
};

/// @brief Reservation of buffer space for one response, from the limit shared by all responses.
class BufferReservation
{
public:
    explicit BufferReservation(ProxyContext &context)
        : context_(context)
    {}
    ~BufferReservation() { context_.bufferedBytes -= reserved_; }
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;

    /// @brief Reserves bytes if the limits per response and in total allow it.
    bool tryReserve(std::size_t bytes)
    {
        if (reserved_ + bytes > context_.options.maxResponseBufferBytes)
            return false;
        reserved_ += bytes;
        return context_.bufferedBytes.fetch_add(bytes) + bytes
               <= context_.options.maxTotalBufferedBytes;
    }

private:
    ProxyContext &context_;
    std::size_t reserved_ = 0;
};

} // namespace chicorywick::serving
