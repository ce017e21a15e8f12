#pragma once

#include <chicorywick/base/clock.h>

#include <functional>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

namespace chicorywick {

/// @brief Event queue in virtual time. Events due at the same time run in the order they were
/// added.
class VirtualTime
{
public:
    using Action = std::function<void()>;

    base::Clock clock() const { return base::Clock(time_); }
    base::TimePoint now() const { return time_->now(); }

    void after(base::Duration delay, Action action)
    {
        events_.push({now() + delay, ++lastOrder_, std::move(action)});
    }

    void runUntil(base::TimePoint end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            const Action action = std::move(const_cast<Event &>(events_.top()).action);
            time_->advance(events_.top().at - now());
            events_.pop();
            action();
        }
        time_->advance(end - now());
    }

private:
    struct Event
    {
        base::TimePoint at;
        std::uint64_t order = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };

    std::shared_ptr<base::ManualTime> time_ = std::make_shared<base::ManualTime>();
    std::priority_queue<Event> events_;
    std::uint64_t lastOrder_ = 0;
};

} // namespace chicorywick
