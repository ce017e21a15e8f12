#include "remote_loads.h"

namespace chicorywick::daemon {

namespace {

// The load of a member without a report for this long counts as zero. A stale load would leave
// slots unused.
constexpr base::Duration kExpiry = std::chrono::seconds(2);

// Reports come only from members, whose number the membership limits. This limit bounds the memory
// if that one fails.
constexpr std::size_t kMaxMembers = 1024;

} // namespace

void RemoteLoads::setReport(const std::string &member, const v1::LoadReport &report,
                            base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (reports_.size() < kMaxMembers || reports_.contains(member))
        reports_[member] = Report{report, now};
}

std::map<std::string, unsigned> RemoteLoads::totals(base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(reports_,
                  [&](const auto &entry) { return now - entry.second.receivedAt > kExpiry; });
    std::map<std::string, unsigned> totals;
    for (const auto &[upstream, load] : lastTotals_)
        totals[upstream] = 0;
    lastTotals_.clear();
    for (const auto &[member, report] : reports_) {
        for (const v1::UpstreamLoad &load : report.report.loads()) {
            totals[load.upstream()] += load.in_flight();
            lastTotals_[load.upstream()] += load.in_flight();
        }
    }
    return totals;
}

} // namespace chicorywick::daemon
