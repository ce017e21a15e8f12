#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

namespace chicorywick::base {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// @brief Time that a test or a virtual-time run advances; thread-safe.
class ManualTime
{
public:
    explicit ManualTime(TimePoint start = TimePoint(std::chrono::hours(24 * 365)))
        : micros_(start.time_since_epoch().count())
    {}

    TimePoint now() const { return TimePoint(Duration(micros_.load())); }
    void advance(Duration by) { micros_ += by.count(); }

private:
    std::atomic<std::int64_t> micros_;
};

/// @brief The system clock.
struct SystemTime
{
    static TimePoint now()
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }
};

/// @brief A copyable clock backed by the system clock or by a ManualTime.
class Clock
{
public:
    Clock() = default;
    explicit Clock(std::shared_ptr<ManualTime> manual)
        : source_(std::move(manual))
    {}

    TimePoint now() const;

private:
    std::variant<SystemTime, std::shared_ptr<ManualTime>> source_;
};

/// @brief Milliseconds since the epoch, the unit of stored rows and messages.
std::int64_t toMillis(TimePoint time);

/// @brief Converts milliseconds since the epoch to a time; the inverse of toMillis.
TimePoint fromMillis(std::int64_t millis);

} // namespace chicorywick::base
