#pragma once

#include "view_age.h"

#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief Logs when a view of stored rows becomes older than a limit, and when it is current again.
class ViewReport
{
public:
    /// @brief Above the age that a view reaches with one silent connection: the wait of the request
    /// before, the pause, and the wait and the delay of the repeated one.
    static constexpr scheduler::Millis kDefaultMaxAgeMs = 2'500;

    explicit ViewReport(std::string view, std::optional<int> cell = {},
                        scheduler::Millis maxAgeMs = kDefaultMaxAgeMs)
        : view_(std::move(view))
        , cell_(cell ? std::to_string(*cell) : "-")
        , maxAgeMs_(maxAgeMs)
    {}

    /// @brief Called periodically. A view that was never read is not reported.
    void update(const ViewAge &age, scheduler::Millis now);

    bool isOutdated() const { return isOutdated_; }

private:
    std::string view_;
    std::string cell_;
    scheduler::Millis maxAgeMs_;
    bool isOutdated_ = false;
    scheduler::Millis outdatedSince_ = 0;
};

} // namespace chicorywick::entry
