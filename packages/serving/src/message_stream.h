#pragma once

#include "socket_wait.h"

#include <httplib.h>

#include <cstdint>
#include <string>
#include <vector>

namespace chicorywick::serving {

enum class StreamRole { Server, Client };

/// @brief Why reading or writing stopped.
enum class StreamFailure { None, Closed, Reset, TimedOut, PeerDisconnected, HeaderTooLarge };

/// @brief Limits on the bytes read before the body of a message.
struct HeaderLimits
{
    std::size_t maxHeaderBytes = 32UL * 1024;
    std::size_t maxFirstLineBytes = 32UL * 1024;
};

/// @brief A cpp-httplib stream over a non-blocking socket. Counts bytes, enforces absolute
/// deadlines and limits the header section.
///
/// cpp-httplib percent-decodes header values, which changes them and turns an encoded line break
/// into a real one. The stream therefore passes each '%' in header lines on as "%25".
class MessageStream : public httplib::Stream
{
public:
    MessageStream(int fd, StreamRole role, HeaderLimits limits = {});

    /// @brief Prepares for the next message. Bytes already buffered are kept.
    void beginMessage();

    void setReadDeadline(SteadyTime deadline) { readDeadline_ = deadline; }
    void setWriteDeadline(SteadyTime deadline) { writeDeadline_ = deadline; }
    /// @brief Also ends waits of this stream when the peer of another socket disconnects.
    void setWatched(int fd) { watched_ = fd; }

    std::uint64_t bytesReceived() const { return received_; }
    std::uint64_t bytesSent() const { return sent_; }
    StreamFailure failure() const { return failure_; }
    bool isInBody() const { return phase_ == Phase::Body; }
    bool hasBufferedBytes() const { return position_ < buffer_.size(); }
    /// @brief Frees the buffer while the connection is idle.
    void releaseBuffer();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, size_t size) override;
    ssize_t write(const char *data, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return fd_; }

private:
    enum class Phase { FirstLine, HeaderLines, Body };

    bool fill();
    ssize_t readHeader(char *data, size_t size);
    bool countHeaderByte(char byte);
    void endLine();
    ssize_t fail(StreamFailure failure);

    int fd_;
    StreamRole role_;
    HeaderLimits limits_;
    int watched_ = -1;
    SteadyTime readDeadline_{};
    SteadyTime writeDeadline_{};
    std::vector<char> buffer_;
    std::size_t position_ = 0;
    Phase phase_ = Phase::FirstLine;
    char statusDigit_ = '\0';
    std::size_t lineBytes_ = 0;
    bool lineIsBlank_ = false;
    std::size_t headerBytes_ = 0;
    std::string_view pendingEscape_;
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    StreamFailure failure_ = StreamFailure::None;
};

} // namespace chicorywick::serving
