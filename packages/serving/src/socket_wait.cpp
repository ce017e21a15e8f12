#include "socket_wait.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace chicorywick::serving {

namespace {

// The peer has disconnected after a close (RDHUP) or a reset (HUP, ERR).
constexpr short kDisconnectEvents = POLLRDHUP | POLLHUP | POLLERR;

int millisUntil(SteadyTime deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp<std::chrono::milliseconds::rep>(left.count(), 0, 60'000));
}

short pollNow(int fd, short events)
{
    pollfd entry{fd, events, 0};
    return ::poll(&entry, 1, 0) > 0 ? entry.revents : static_cast<short>(0);
}

} // namespace

WaitResult waitFor(int fd, short events, SteadyTime deadline, int watched)
{
    std::array<pollfd, 2> entries{pollfd{fd, events, 0}, pollfd{watched, POLLRDHUP, 0}};
    while (true) {
        const int timeout = millisUntil(deadline);
        const int count = ::poll(entries.data(), entries.size(), timeout);
        if (count < 0 && errno != EINTR)
            return WaitResult::Ready;
        if (count > 0 && entries[0].revents != 0)
            return WaitResult::Ready;
        if (count > 0 && (entries[1].revents & kDisconnectEvents) != 0)
            return WaitResult::PeerDisconnected;
        if (std::chrono::steady_clock::now() >= deadline)
            return WaitResult::TimedOut;
    }
}

bool isPeerDisconnected(int fd)
{
    return (pollNow(fd, POLLRDHUP) & kDisconnectEvents) != 0;
}

bool isReadableNow(int fd)
{
    return pollNow(fd, POLLIN | POLLRDHUP) != 0;
}

} // namespace chicorywick::serving
