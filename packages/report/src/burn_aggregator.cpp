#include <chicorywick/report/burn_aggregator.h>
#include <chicorywick/report/burn_rate.h>
#include <chicorywick/report/burn_recorder.h>

#include <algorithm>

namespace chicorywick::report {

namespace {

// A zone without a summary for this long is reported as missing.
constexpr base::Duration kZoneTimeout = std::chrono::seconds(90);

// A minute of this age is final: senders repeat only their last kRepeatedMinutes minutes.
constexpr std::int64_t kFinalizedAfterMinutes = kRepeatedMinutes + 2;

void accumulate(Counts &sum, const Counts &counts)
{
    sum.total += counts.total;
    sum.failed += counts.failed;
    sum.slow += counts.slow;
}

void fillWindow(v1::BurnWindow &window, const Counts &counts, const v1::Objective &objective)
{
    window.set_total(counts.total);
    window.set_failed(counts.failed);
    window.set_slow(counts.slow);
    window.set_availability_burn(availabilityBurn(counts, objective));
    window.set_latency_burn(latencyBurn(counts, objective));
}

} // namespace

void BurnAggregator::add(const v1::BurnSummary &summary, base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const std::int64_t current = toMinute(now);
    lastSummaryAt_[summary.zone()] = now;
    for (const v1::ServiceCounts &service : summary.services()) {
        if (!services_.contains(service.service()) && services_.size() >= kMaxServices)
            continue;
        ServiceMinutes &history = services_[service.service()];
        finalize(history, current);
        for (const v1::MinuteCounts &minute : service.minutes()) {
            // A finalized minute would be counted twice. A minute in the future comes from a
            // sender with a wrong clock.
            if (minute.minute() <= current - kFinalizedAfterMinutes
                || minute.minute() > current + 1)
                continue;
            history.recent[{summary.member(), minute.minute()}] =
                    Counts{minute.total(), minute.failed(), minute.slow()};
        }
    }
}

void BurnAggregator::finalize(ServiceMinutes &history, std::int64_t currentMinute)
{
    std::erase_if(history.recent, [&](const auto &entry) {
        const bool isOld = entry.first.minute <= currentMinute - kFinalizedAfterMinutes;
        if (isOld)
            accumulate(history.finalized[entry.first.minute], entry.second);
        return isOld;
    });
    history.finalized.erase(history.finalized.begin(),
                            history.finalized.lower_bound(currentMinute - kKeptMinutes));
}

v1::BurnReport BurnAggregator::report(const std::map<std::string, v1::Objective> &objectives,
                                      const std::set<std::string> &zones, base::TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    v1::BurnReport report;
    report.set_generated_at_ms(base::toMillis(now));
    for (const std::string &zone : zones) {
        const auto seen = lastSummaryAt_.find(zone);
        const bool isMissing = seen == lastSummaryAt_.end() || now - seen->second > kZoneTimeout;
        (isMissing ? report.add_zones_missing() : report.add_zones_reported())->assign(zone);
    }
    for (const auto &[service, objective] : objectives) {
        v1::ServiceBurn *burn = report.add_services();
        burn->set_service(service);
        const auto found = services_.find(service);
        for (const std::uint32_t minutes : windowMinutes()) {
            Counts counts;
            const std::int64_t first = toMinute(now) - minutes + 1;
            if (found != services_.end()) {
                const ServiceMinutes &history = found->second;
                for (auto it = history.finalized.lower_bound(first); it != history.finalized.end();
                     ++it)
                    accumulate(counts, it->second);
                for (const auto &[key, value] : history.recent) {
                    if (key.minute >= first)
                        accumulate(counts, value);
                }
            }
            v1::BurnWindow *window = burn->add_windows();
            window->set_minutes(minutes);
            fillWindow(*window, counts, objective);
        }
        burn->set_alert(alertFor(*burn));
    }
    return report;
}

} // namespace chicorywick::report
