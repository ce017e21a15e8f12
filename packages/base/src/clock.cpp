#include <chicorywick/base/clock.h>
#include <chicorywick/base/overloaded.h>

namespace chicorywick::base {

TimePoint Clock::now() const
{
    return std::visit(
            Overloaded{[](const SystemTime &) { return SystemTime::now(); },
                       [](const std::shared_ptr<ManualTime> &manual) { return manual->now(); }},
            source_);
}

std::int64_t toMillis(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

TimePoint fromMillis(std::int64_t millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

} // namespace chicorywick::base
