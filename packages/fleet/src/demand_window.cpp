#include <chicorywick/fleet/demand_window.h>

#include <algorithm>

namespace chicorywick::fleet {

namespace {

// With fewer peaks, the shortest observed interval does not predict the next one.
constexpr std::uint32_t kMinPeaks = 4;

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DemandWindow::startPeak(base::TimePoint now)
{
    if (peaks_ == 0)
        firstPeakAt_ = now;
    else
        shortestInterval_ = std::min(shortestInterval_.value_or(base::Duration::max()),
                                     base::Duration(now - lastPeakAt_));
    lastPeakAt_ = now;
    ++peaks_;
    isPeak_ = true;
}

DemandWindow DemandWindow::withSample(base::TimePoint now, std::uint32_t needed) const
{
    DemandWindow next = *this;
    next.needed_ = needed;
    next.highest_ = std::max(highest_, needed);
    if (now - currentSince_ >= lookBack_) {
        const bool isPreviousOld = now - currentSince_ >= 2 * lookBack_;
        next.previous_ = isPreviousOld ? needed : current_;
        next.current_ = needed;
        next.currentSince_ = now;
    }
    next.current_ = std::max(next.current_, needed);
    if (!isPeak_ && needed > baseSize_)
        next.startPeak(now);
    else if (isPeak_ && needed <= baseSize_ / 2)
        next.isPeak_ = false;
    if (!next.isPeak_)
        next.offPeakDemand_ = std::max(offPeakDemand_, needed);
    return next;
}

DemandWindow DemandWindow::withLookBack(base::Duration lookBack) const
{
    DemandWindow next = *this;
    next.lookBack_ = lookBack;
    return next;
}

std::uint32_t DemandWindow::recentPeak() const
{
    return std::max({needed_, current_, previous_});
}

double DemandWindow::peaksPerHour() const
{
    if (peaks_ < 2)
        return 0;
    constexpr double kSecondsPerHour = 3600;
    return (peaks_ - 1) * kSecondsPerHour / std::max(1.0, seconds(lastPeakAt_ - firstPeakAt_));
}

std::uint32_t DemandWindow::demandWithin(base::TimePoint now, base::Duration ahead) const
{
    const bool isNear =
            isPeak_ || peaks_ < kMinPeaks || now + ahead >= lastPeakAt_ + *shortestInterval_;
    return isNear ? std::max(highest_, needed_) : std::max(offPeakDemand_, needed_);
}

double DemandWindow::peakShare(base::Duration ahead) const
{
    if (peaks_ < kMinPeaks)
        return 1;
    const double mean = seconds(lastPeakAt_ - firstPeakAt_) / (peaks_ - 1);
    const double quiet = std::max(0.0, seconds(*shortestInterval_ - ahead));
    return std::clamp(1 - quiet / std::max(mean, 1.0), 0.0, 1.0);
}

} // namespace chicorywick::fleet
