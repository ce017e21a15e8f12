#include <chicorywick/report/burn_recorder.h>

namespace chicorywick::report {

namespace {

constexpr const char *kOtherServices = "other";

v1::MinuteCounts &minuteEntry(std::deque<v1::MinuteCounts> &minutes, std::int64_t minute)
{
    if (minutes.empty() || minutes.back().minute() < minute) {
        minutes.emplace_back().set_minute(minute);
        if (minutes.size() > kRepeatedMinutes)
            minutes.pop_front();
    }
    return minutes.back();
}

} // namespace

BurnRecorder::BurnRecorder()
    : counters_(std::make_unique<const CounterMap>())
{}

void BurnRecorder::record(const std::string &service, RequestResult result)
{
    std::shared_ptr<Counters> counters =
            counters_.read([&](const CounterMap &map) -> std::shared_ptr<Counters> {
                const auto found = map.find(service);
                return found == map.end() ? nullptr : found->second;
            });
    if (!counters)
        counters = addService(service);
    counters->total.fetch_add(1, std::memory_order_relaxed);
    if (result == RequestResult::Failed)
        counters->failed.fetch_add(1, std::memory_order_relaxed);
    if (result == RequestResult::Slow)
        counters->slow.fetch_add(1, std::memory_order_relaxed);
}

std::shared_ptr<BurnRecorder::Counters> BurnRecorder::addService(const std::string &service)
{
    const std::lock_guard lock(mutex_);
    auto next =
            std::make_unique<CounterMap>(counters_.read([](const CounterMap &map) { return map; }));
    const std::string name =
            next->size() < kMaxServices || next->contains(service) ? service : kOtherServices;
    std::shared_ptr<Counters> &counters = (*next)[name];
    if (!counters)
        counters = std::make_shared<Counters>();
    std::shared_ptr<Counters> added = counters;
    counters_.publish(std::move(next));
    return added;
}

void BurnRecorder::collect(base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const CounterMap counters = counters_.read([](const CounterMap &map) { return map; });
    for (const auto &[service, counter] : counters) {
        v1::MinuteCounts &entry = minuteEntry(minutes_[service], toMinute(now));
        entry.set_total(entry.total() + counter->total.exchange(0));
        entry.set_failed(entry.failed() + counter->failed.exchange(0));
        entry.set_slow(entry.slow() + counter->slow.exchange(0));
    }
}

v1::BurnSummary BurnRecorder::summary(const std::string &member, const std::string &zone) const
{
    const std::lock_guard lock(mutex_);
    v1::BurnSummary summary;
    summary.set_member(member);
    summary.set_zone(zone);
    for (const auto &[service, minutes] : minutes_) {
        v1::ServiceCounts *counts = summary.add_services();
        counts->set_service(service);
        for (const v1::MinuteCounts &minute : minutes)
            *counts->add_minutes() = minute;
    }
    return summary;
}

std::int64_t toMinute(base::TimePoint time)
{
    return std::chrono::floor<std::chrono::minutes>(time.time_since_epoch()).count();
}

} // namespace chicorywick::report
