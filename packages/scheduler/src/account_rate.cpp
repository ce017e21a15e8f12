#include <chicorywick/scheduler/account_rate.h>

#include <algorithm>

namespace chicorywick::scheduler {

namespace {

// Jobs of an account that was idle for a while come in groups, also those of an account with less
// than one job a second in a cell.
constexpr double kBurstMs = 1'000;
constexpr double kBurstJobs = 2;
// Bounds how long an account pays for a load that has ended.
constexpr double kMaxLeadMs = 10'000;
constexpr double kMillisPerSecond = 1'000;
constexpr double kMinJobsPerSecond = 0.01;

} // namespace

Millis AccountRate::record(double jobsPerSecond, Millis arrivedAt)
{
    const auto arrival = static_cast<double>(arrivedAt);
    const double intervalMs = kMillisPerSecond / std::max(jobsPerSecond, kMinJobsPerSecond);
    const double earliest = arrival - std::max(kBurstMs, kBurstJobs * intervalMs);
    clock_ = isStarted_ ? std::max(clock_, earliest) : earliest;
    isStarted_ = true;
    const double time = clock_;
    clock_ = std::min(clock_ + intervalMs, arrival + kMaxLeadMs);
    return static_cast<Millis>(time);
}

} // namespace chicorywick::scheduler
