#include "message_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace chicorywick::serving {

namespace {

constexpr std::size_t kBufferBytes = 16UL * 1024;
constexpr std::string_view kEscapeSuffix = "25";
// "HTTP/1.1 1": a '1' at this position marks an interim response.
constexpr std::size_t kStatusPosition = 9;

void describeAddress(const sockaddr_in &address, std::string &ip, int &port)
{
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    ip = text;
    port = ntohs(address.sin_port);
}

} // namespace

MessageStream::MessageStream(int fd, StreamRole role, HeaderLimits limits)
    : fd_(fd)
    , role_(role)
    , limits_(limits)
{}

void MessageStream::beginMessage()
{
    phase_ = Phase::FirstLine;
    statusDigit_ = '\0';
    lineBytes_ = 0;
    lineIsBlank_ = false;
    headerBytes_ = 0;
    pendingEscape_ = {};
    received_ = 0;
    sent_ = 0;
    failure_ = StreamFailure::None;
}

void MessageStream::releaseBuffer()
{
    std::vector<char>().swap(buffer_);
    position_ = 0;
}

bool MessageStream::is_readable() const
{
    return hasBufferedBytes() || waitFor(fd_, POLLIN, readDeadline_, watched_) == WaitResult::Ready;
}

bool MessageStream::is_writable() const
{
    return waitFor(fd_, POLLOUT, writeDeadline_, watched_) == WaitResult::Ready
           && !isPeerDisconnected(fd_);
}

ssize_t MessageStream::fail(StreamFailure failure)
{
    failure_ = failure;
    return failure == StreamFailure::Closed ? 0 : -1;
}

bool MessageStream::fill()
{
    buffer_.resize(kBufferBytes);
    position_ = buffer_.size();
    while (true) {
        const ssize_t count = ::recv(fd_, buffer_.data(), buffer_.size(), 0);
        if (count > 0) {
            buffer_.resize(static_cast<std::size_t>(count));
            position_ = 0;
            return true;
        }
        if (count == 0) {
            fail(StreamFailure::Closed);
            return false;
        }
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            fail(StreamFailure::Reset);
            return false;
        }
        const WaitResult result = waitFor(fd_, POLLIN, readDeadline_, watched_);
        if (result != WaitResult::Ready) {
            fail(result == WaitResult::TimedOut ? StreamFailure::TimedOut
                                                : StreamFailure::PeerDisconnected);
            return false;
        }
    }
}

ssize_t MessageStream::read(char *data, size_t size)
{
    if (failure_ != StreamFailure::None)
        return failure_ == StreamFailure::Closed ? 0 : -1;
    if (phase_ != Phase::Body || !pendingEscape_.empty())
        return readHeader(data, size);
    if (!hasBufferedBytes() && !fill())
        return failure_ == StreamFailure::Closed ? 0 : -1;
    const std::size_t count = std::min(size, buffer_.size() - position_);
    std::memcpy(data, buffer_.data() + position_, count);
    position_ += count;
    received_ += count;
    return static_cast<ssize_t>(count);
}

// cpp-httplib reads the header section byte by byte, so one byte per call is enough.
ssize_t MessageStream::readHeader(char *data, size_t size)
{
    if (size == 0)
        return 0;
    if (!pendingEscape_.empty()) {
        *data = pendingEscape_.front();
        pendingEscape_.remove_prefix(1);
        return 1;
    }
    if (!hasBufferedBytes() && !fill())
        return failure_ == StreamFailure::Closed ? 0 : -1;
    *data = buffer_[position_++];
    ++received_;
    if (*data == '%' && phase_ == Phase::HeaderLines)
        pendingEscape_ = kEscapeSuffix;
    return countHeaderByte(*data) ? 1 : fail(StreamFailure::HeaderTooLarge);
}

bool MessageStream::countHeaderByte(char byte)
{
    if (++headerBytes_ > limits_.maxHeaderBytes)
        return false;
    if (byte == '\n') {
        endLine();
        return true;
    }
    if (phase_ == Phase::FirstLine && lineBytes_ == kStatusPosition)
        statusDigit_ = byte;
    ++lineBytes_;
    lineIsBlank_ = lineBytes_ == 1 && byte == '\r';
    return phase_ != Phase::FirstLine || lineBytes_ <= limits_.maxFirstLineBytes;
}

// After an interim response (1xx), another header section follows.
void MessageStream::endLine()
{
    const bool isInterim = role_ == StreamRole::Client && statusDigit_ == '1';
    if (phase_ == Phase::FirstLine)
        phase_ = Phase::HeaderLines;
    else if (lineIsBlank_)
        phase_ = isInterim ? Phase::FirstLine : Phase::Body;
    lineBytes_ = 0;
    lineIsBlank_ = false;
}

ssize_t MessageStream::write(const char *data, size_t size)
{
    while (true) {
        const ssize_t count = ::send(fd_, data, size, MSG_NOSIGNAL);
        if (count > 0) {
            sent_ += static_cast<std::uint64_t>(count);
            return count;
        }
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            return fail(StreamFailure::Reset);
        const WaitResult result = waitFor(fd_, POLLOUT, writeDeadline_, watched_);
        if (result == WaitResult::TimedOut)
            return fail(StreamFailure::TimedOut);
        if (result == WaitResult::PeerDisconnected)
            return fail(StreamFailure::PeerDisconnected);
    }
}

void MessageStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (::getpeername(fd_, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

void MessageStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (::getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

} // namespace chicorywick::serving
