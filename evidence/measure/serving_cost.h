#pragma once

#include <cstddef>
#include <cstdint>

namespace chicorywick::measure {

/// @brief Wall time per acquire and finish with `upstreams` upstreams and `threads` threads.
double routingNanos(std::size_t upstreams, unsigned threads, std::uint64_t seed);

/// @brief Wall time per rejection while all slots are in use and the queue is full.
double rejectionNanos(std::size_t upstreams, std::uint64_t seed);

/// @brief Heap memory per queued request, excluding the stack of its waiting thread.
double queuedRequestBytes(std::uint64_t seed);

} // namespace chicorywick::measure
