#pragma once

#include <chrono>

namespace chicorywick::serving {

/// @brief Time for socket waits; unaffected by system clock changes.
using SteadyTime = std::chrono::steady_clock::time_point;

enum class WaitResult { Ready, TimedOut, PeerDisconnected };

/// @brief Waits for poll events on a socket. If `watched` is a socket, the wait also ends with
/// PeerDisconnected when the peer of that socket disconnects.
WaitResult waitFor(int fd, short events, SteadyTime deadline, int watched = -1);

/// @brief Whether the peer has closed or reset the connection.
bool isPeerDisconnected(int fd);

/// @brief Whether a read would not block: bytes, end of stream or an error are pending.
bool isReadableNow(int fd);

} // namespace chicorywick::serving
