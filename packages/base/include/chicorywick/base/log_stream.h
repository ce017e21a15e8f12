#pragma once

#include <chicorywick/base/log_event.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace chicorywick::base {

/// @brief Limits of a log stream.
struct LogStreamLimits
{
    /// Lines per event, priority and second; the excess is dropped and counted.
    int linesPerEvent = 60;
    std::size_t bufferBytes = 64 * 1024; ///< buffered while the descriptor accepts no data

    bool operator==(const LogStreamLimits &) const = default;
};

/// @brief Writes events as lines to a descriptor without blocking. Lines over the rate limit of
/// their event or over the buffer size are dropped; a log.dropped line reports their number. Not
/// thread-safe.
class LogStream
{
public:
    LogStream(int descriptor, std::string node, std::function<std::int64_t()> wallMillis,
              LogStreamLimits limits = {});

    void write(Event event, std::initializer_list<LogField> fields,
               LogPriority priority = LogPriority::Normal);

    /// @brief Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    std::int64_t droppedLines() const { return dropped_; }

private:
    void append(Event event, const std::string &line);
    void reportDropped(std::int64_t second);

    int descriptor_;
    std::string node_;
    std::function<std::int64_t()> wallMillis_;
    LogStreamLimits limits_;
    std::string buffer_;
    std::int64_t second_ = 0;
    std::map<std::pair<Event, LogPriority>, int> written_; ///< lines in the current second
    std::map<Event, std::int64_t> unreported_;             ///< dropped and not yet reported
    std::int64_t dropped_ = 0;
};

} // namespace chicorywick::base
