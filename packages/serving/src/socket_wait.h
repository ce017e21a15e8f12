#pragma once

#include <chrono>

namespace chicorywick::serving {

/// @brief Time for socket waits; steps of the system's clock do not affect it.
using SteadyTime = std::chrono::steady_clock::time_point;

enum class WaitResult { Ready, TimedOut, PeerDisconnected };

/// @brief Waits for poll events on a socket. If watched is a socket, the wait also ends with
/// PeerGone once the peer of that socket has closed the connection.
WaitResult waitFor(int fd, short events, SteadyTime deadline, int watched = -1);

/// @brief True if the peer has closed or reset the connection.
bool isPeerDisconnected(int fd);

/// @brief True if a read would not block: bytes, the end of the stream or an error are there.
bool isReadableNow(int fd);

} // namespace chicorywick::serving
