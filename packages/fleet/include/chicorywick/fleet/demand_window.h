#pragma once

#include <chicorywick/base/clock.h>

#include <optional>

namespace chicorywick::fleet {

/// @brief Observed demand of a pool, in instances needed. An immutable value.
///
/// A peak begins when the demand exceeds the pool's base size and ends when the demand is at most
/// half of it, so that a demand that varies around the base size counts as one peak.
class DemandWindow
{
public:
    /// @brief Starts without observations. recentPeak() covers at least the look-back time.
    DemandWindow(std::uint32_t baseSize, base::Duration lookBack)
        : baseSize_(baseSize)
        , lookBack_(lookBack)
    {}

    /// @brief Adds an observation. It must not be older than the previous one.
    DemandWindow withSample(base::TimePoint now, std::uint32_t needed) const;

    /// @brief Returns the same observations with another look-back time, used from the next sample
    /// on.
    DemandWindow withLookBack(base::Duration lookBack) const;

    std::uint32_t needed() const { return needed_; }
    /// @brief Highest demand within the last one to two look-back times.
    std::uint32_t recentPeak() const;
    /// @brief Highest demand at any time, and outside peaks.
    std::uint32_t highest() const { return highest_; }
    std::uint32_t offPeakDemand() const { return offPeakDemand_; }
    double peaksPerHour() const;

    /// @brief Instances that may be needed within a time ahead. This is the off-peak demand if the
    /// shortest observed interval between peaks ends after that time, otherwise the highest demand.
    std::uint32_t demandWithin(base::TimePoint now, base::Duration ahead) const;

    /// @brief Fraction of the time in which demandWithin() returns the highest demand.
    double peakShare(base::Duration ahead) const;

    bool operator==(const DemandWindow &) const = default;

private:
    void startPeak(base::TimePoint now);

    std::uint32_t baseSize_;
    base::Duration lookBack_;
    std::uint32_t needed_ = 0;
    std::uint32_t highest_ = 0;
    std::uint32_t offPeakDemand_ = 0;
    // Highest demand of the current and the previous look-back interval.
    std::uint32_t current_ = 0;
    std::uint32_t previous_ = 0;
    base::TimePoint currentSince_{};
    bool isPeak_ = false;
    std::uint32_t peaks_ = 0;
    base::TimePoint firstPeakAt_{};
    base::TimePoint lastPeakAt_{};
    std::optional<base::Duration> shortestInterval_;
};

} // namespace chicorywick::fleet
