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

/// @brief Counts of a service over some minutes.
struct Counts
{
    std::uint64_t total = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;

    bool operator==(const Counts &) const = default;
};

/// @brief Minutes kept: the longest window, three days.
constexpr std::int64_t kKeptMinutes = 3L * 24 * 60;

/// @brief Merges the summaries of all entry instances by service and minute; a member's minute
/// replaces its earlier value.
///
/// The counts of a member outlive it. Memory is bounded by services and minutes; the last minutes
/// are kept per member until they can no longer change.
class BurnLedger
{
public:
    void add(const v1::BurnSummary &summary, base::TimePoint now);

    /// @brief Burn over all windows; zones without a recent summary are named as missing.
    v1::BurnReport report(const std::map<std::string, v1::Objective> &objectives,
                          const std::set<std::string> &zones, base::TimePoint now) const;

private:
    struct MemberMinute
    {
        std::string member;
        std::int64_t minute = 0;

        auto operator<=>(const MemberMinute &) const = default;
    };
    struct ServiceLedger
    {
        std::map<std::int64_t, Counts> settled;
        std::map<MemberMinute, Counts> recent;
    };

    void settle(ServiceLedger &ledger, std::int64_t currentMinute);

    mutable std::mutex mutex_;
    std::map<std::string, ServiceLedger> services_;
    std::map<std::string, base::TimePoint> zoneSeen_;
};

} // namespace chicorywick::report
