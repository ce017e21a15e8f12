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

/// @brief How a request ended for its caller. A refusal is Failed.
enum class RequestResult { Good, Slow, Failed };

/// @brief Minutes that an entry instance repeats to its peers, so that a lost message costs no
/// counts.
constexpr std::int64_t kRepeatedMinutes = 3;

/// @brief Services counted at most; requests to further ones are counted under "other".
constexpr std::size_t kMaxServices = 256;

/// @brief Counts requests per service and minute at one entry instance. Takes no lock for a known
/// service.
class BurnRecorder
{
public:
    BurnRecorder();

    void record(const std::string &service, RequestResult result);

    /// @brief Moves the counts since the last call into the minute of now.
    void collect(base::TimePoint now);

    /// @brief The recent minutes, as sent to peers.
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
