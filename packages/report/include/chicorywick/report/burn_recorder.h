#pragma once

#include "chicorywick/v1/report_service.pb.h"

#include <chicorywick/base/clock.h>
#include <chicorywick/base/rcu_cell.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chicorywick::report {

/// @brief Outcome of a request for its caller. A refused request counts as Failed.
enum class RequestResult { Good, Slow, Failed };

/// @brief Latest minutes that every summary repeats, so that a lost message loses no counts.
constexpr std::int64_t kRepeatedMinutes = 3;

/// @brief Maximum number of counted services; requests to further ones are counted as "other".
constexpr std::size_t kMaxServices = 256;

/// @brief Counts the requests of one entry instance per service and minute. record() takes no lock
/// for a service that is already counted.
class BurnRecorder
{
public:
    BurnRecorder();

    void record(const std::string &service, RequestResult result);

    /// @brief Adds the counts since the last call to the current minute.
    void collect(base::TimePoint now);

    /// @brief Returns the latest minutes in the form that is sent to peers.
    v1::BurnSummary summary(const std::string &member, const std::string &zone) const;

private:
    struct Counters
    {
        std::atomic<std::uint64_t> total{0};
        std::atomic<std::uint64_t> failed{0};
        std::atomic<std::uint64_t> slow{0};
    };
    using CounterMap = std::map<std::string, std::shared_ptr<Counters>>;

    std::shared_ptr<Counters> addService(const std::string &service);

    base::RcuCell<CounterMap> counters_;
    mutable std::mutex mutex_;
    std::map<std::string, std::deque<v1::MinuteCounts>> minutes_;
};

/// @brief Minutes since the epoch.
std::int64_t toMinute(base::TimePoint time);

} // namespace chicorywick::report
