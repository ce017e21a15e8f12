#pragma once

#include <chicorywick/base/log_event.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chicorywick::base {

/// @brief Bounds of a log stream.
struct LogStreamLimits
{
    int linesPerEvent = 60; ///< of one event in a second; more are counted, not written
    std::size_t bufferBytes = 64 * 1024; ///< kept while the reader does not read

    bool operator==(const LogStreamLimits &) const = default;
};

/// @brief Writes events as lines to a descriptor and never blocks on it. Lines that exceed the
/// budget of their event, or find the buffer full, are counted; a line says how many. Not
/// thread-safe.
class LogStream
{
public:
    LogStream(int descriptor, std::string node, std::function<std::int64_t()> wallMillis,
              LogStreamLimits limits = {});

    void write(Event event, std::initializer_list<LogField> fields);

    /// @brief Hands buffered lines to the descriptor as far as it takes them without waiting.
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
    std::map<Event, int> written_;       ///< in this second
    std::map<Event, std::int64_t> left_; ///< left out and not yet reported
    std::int64_t dropped_ = 0;
};

} // namespace chicorywick::base
