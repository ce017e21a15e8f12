#include <chicorywick/report/burn_ledger.h>
#include <chicorywick/report/burn_rate.h>
#include <chicorywick/report/burn_recorder.h>

#include <algorithm>

namespace chicorywick::report {

namespace {

// A zone whose entry instances have sent nothing for this long is reported as missing.
constexpr base::Duration kZoneSilence = std::chrono::seconds(90);

// A minute older than this no longer changes, since senders repeat only their last minutes.
constexpr std::int64_t kSettleMinutes = kRepeatedMinutes + 2;

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

void BurnLedger::add(const v1::BurnSummary &summary, base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const std::int64_t current = toMinute(now);
    zoneSeen_[summary.zone()] = now;
    for (const v1::ServiceCounts &service : summary.services()) {
        if (!services_.contains(service.service()) && services_.size() >= kMaxServices)
            continue;
        ServiceLedger &ledger = services_[service.service()];
        settle(ledger, current);
        for (const v1::MinuteCounts &minute : service.minutes()) {
            // A settled minute is not opened again: it would be counted twice. The future is a
            // wrong clock.
            if (minute.minute() <= current - kSettleMinutes || minute.minute() > current + 1)
                continue;
            ledger.recent[{summary.member(), minute.minute()}] =
                    Counts{minute.total(), minute.failed(), minute.slow()};
        }
    }
}

void BurnLedger::settle(ServiceLedger &ledger, std::int64_t currentMinute)
{
    std::erase_if(ledger.recent, [&](const auto &entry) {
        const bool isOld = entry.first.minute <= currentMinute - kSettleMinutes;
        if (isOld)
            accumulate(ledger.settled[entry.first.minute], entry.second);
        return isOld;
    });
    ledger.settled.erase(ledger.settled.begin(),
                         ledger.settled.lower_bound(currentMinute - kKeptMinutes));
}

v1::BurnReport BurnLedger::report(const std::map<std::string, v1::Objective> &objectives,
                                  const std::set<std::string> &zones, base::TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    v1::BurnReport report;
    report.set_generated_at_ms(base::toMillis(now));
    for (const std::string &zone : zones) {
        const auto seen = zoneSeen_.find(zone);
        const bool isMissing = seen == zoneSeen_.end() || now - seen->second > kZoneSilence;
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
                const ServiceLedger &ledger = found->second;
                for (auto it = ledger.settled.lower_bound(first); it != ledger.settled.end(); ++it)
                    accumulate(counts, it->second);
                for (const auto &[key, value] : ledger.recent) {
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
