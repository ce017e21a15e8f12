#pragma once

#include <cstddef>
#include <cstdint>

namespace chicorywick::measure {

/// @brief Real time of one acquire and finish over `upstreams` upstreams, by `threads` threads.
double routingNanos(std::size_t upstreams, unsigned threads, std::uint64_t seed);

/// @brief Real time of one rejection while all slots are taken and the queue is full.
double rejectionNanos(std::size_t upstreams, std::uint64_t seed);

/// @brief Heap memory of one queued request, without the stack of the thread that waits for it.
double queuedRequestBytes(std::uint64_t seed);

} // namespace chicorywick::measure
