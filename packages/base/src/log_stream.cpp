#include <chicorywick/base/log_stream.h>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <ctime>

namespace chicorywick::base {

namespace {

constexpr std::int64_t kMillisPerSecond = 1'000;
// POSIX: a writable pipe accepts up to PIPE_BUF bytes without blocking.
constexpr std::size_t kChunkBytes = 4'096;

const char *severityName(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "";
}

std::string timeText(std::int64_t millis)
{
    const std::time_t seconds = millis / kMillisPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(kMillisPerSecond + millis % kMillisPerSecond);
    return std::string(text.data(), length) + '.' + fraction.substr(1) + 'Z';
}

bool hasRoom(int descriptor)
{
    pollfd poll{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
}

} // namespace

LogStream::LogStream(int descriptor, std::string node, std::function<std::int64_t()> wallMillis,
                     LogStreamLimits limits)
    : descriptor_(descriptor)
    , node_(std::move(node))
    , wallMillis_(std::move(wallMillis))
    , limits_(limits)
{}

void LogStream::write(Event event, std::initializer_list<LogField> fields, LogPriority priority)
{
    const std::int64_t now = wallMillis_();
    if (now / kMillisPerSecond != second_)
        reportDropped(now / kMillisPerSecond);
    if (++written_[{event, priority}] > limits_.linesPerEvent) {
        ++unreported_[event];
        ++dropped_;
        return;
    }
    append(event, timeText(now) + " level=" + severityName(eventInfo(event).severity)
                          + " node=" + node_ + ' ' + formatEvent(event, fields) + '\n');
    if (eventInfo(event).severity != Severity::Info)
        flush();
}

void LogStream::append(Event event, const std::string &line)
{
    if (buffer_.size() + line.size() > limits_.bufferBytes) {
        ++unreported_[event];
        ++dropped_;
        return;
    }
    buffer_ += line;
}

void LogStream::reportDropped(std::int64_t second)
{
    second_ = second;
    written_.clear();
    if (unreported_.empty())
        return;
    std::string counts;
    for (const auto &[event, count] : unreported_)
        counts += (counts.empty() ? "" : ",") + std::string(eventInfo(event).name) + ':'
                  + std::to_string(count);
    unreported_.clear();
    append(Event::LogLinesDropped,
           timeText(second * kMillisPerSecond) + " level=warning node=" + node_ + ' '
                   + formatEvent(Event::LogLinesDropped, {{"lines", counts}}) + '\n');
}

void LogStream::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size() && hasRoom(descriptor_)) {
        const std::size_t size = std::min(buffer_.size() - written, kChunkBytes);
        const ssize_t count = ::write(descriptor_, buffer_.data() + written, size);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

} // namespace chicorywick::base
