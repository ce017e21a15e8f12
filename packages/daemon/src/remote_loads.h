#pragma once

#include "chicorywick/v1/peer.pb.h"

#include <chicorywick/base/clock.h>

#include <map>
#include <mutex>
#include <string>

namespace chicorywick::daemon {

/// @brief Sums the load per upstream that other entry instances report. Old reports expire.
class RemoteLoads
{
public:
    /// @brief Replaces the report of the member.
    void setReport(const std::string &member, const v1::LoadReport &report, base::TimePoint now);

    /// @brief In-flight requests of all other members by upstream. An upstream that is no longer
    /// reported is listed once with zero.
    std::map<std::string, unsigned> totals(base::TimePoint now);

private:
    struct Report
    {
        v1::LoadReport report;
        base::TimePoint receivedAt;
    };

    std::mutex mutex_;
    std::map<std::string, Report> reports_;
    std::map<std::string, unsigned> lastTotals_;
};

} // namespace chicorywick::daemon
