#pragma once

#include "chicorywick/v1/config.pb.h"
#include "chicorywick/v1/report_service.pb.h"

#include <chicorywick/base/clock.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::report {

/// @brief Request counts of a service over a period.
struct Counts
{
    std::uint64_t total = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;

    bool operator==(const Counts &) const = default;
};

/// @brief Minutes kept; equals the longest reported window, three days.
constexpr std::int64_t kKeptMinutes = 3L * 24 * 60;

/// @brief Aggregates the summaries of all entry instances by service and minute. A repeated minute
/// of a member replaces its earlier value.
///
/// Counts remain after their member leaves. Minutes are kept per member only while they can still
/// change, so that memory is bounded by the number of services and minutes.
class BurnAggregator
{
public:
    void add(const v1::BurnSummary &summary, base::TimePoint now);

    /// @brief Returns the burn rates over all windows; zones without a recent summary are listed as
    /// missing.
    v1::BurnReport report(const std::map<std::string, v1::Objective> &objectives,
                          const std::set<std::string> &zones, base::TimePoint now) const;

private:
    struct MemberMinute
    {
        std::string member;
        std::int64_t minute = 0;

        auto operator<=>(const MemberMinute &) const = default;
    };
    struct ServiceMinutes
    {
        std::map<std::int64_t, Counts> finalized;
        std::map<MemberMinute, Counts> recent;
    };

    void finalize(ServiceMinutes &history, std::int64_t currentMinute);

    mutable std::mutex mutex_;
    std::map<std::string, ServiceMinutes> services_;
    std::map<std::string, base::TimePoint> lastSummaryAt_;
};

} // namespace chicorywick::report
