#pragma once

#include <chicorywick/base/clock.h>

#include <optional>

namespace chicorywick::fleet {

/// @brief What has been observed of a pool's demand, in instances needed. An immutable value.
///
/// A peak begins when more than the pool's base size is needed and ends when no more than half of
/// it is needed, so that a demand that varies around the base size is one peak.
class DemandWindow
{
public:
    /// @brief Demand of a pool of a size; recentPeak() looks back at least this long.
    DemandWindow(std::uint32_t baseSize, base::Duration lookBack)
        : baseSize_(baseSize)
        , lookBack_(lookBack)
    {}

    /// @brief Adds an observation; the times of observations do not decrease.
    DemandWindow withSample(base::TimePoint now, std::uint32_t needed) const;

    /// @brief The same observations with another look-back time from the next sample on.
    DemandWindow withLookBack(base::Duration lookBack) const;

    std::uint32_t needed() const { return needed_; }
    /// @brief The most needed within one to two look-back times.
    std::uint32_t recentPeak() const;
    /// @brief The most needed at any time, and outside peaks.
    std::uint32_t highest() const { return highest_; }
    std::uint32_t quietNeed() const { return quietNeed_; }
    double peaksPerHour() const;

    /// @brief Instances that may be needed until a time ahead: the quiet need while the next peak
    /// is further away than the shortest observed interval tells, else the highest.
    std::uint32_t needWithin(base::TimePoint now, base::Duration ahead) const;

    /// @brief Share of the time in which needWithin() is the highest need.
    double peakShare(base::Duration ahead) const;

    bool operator==(const DemandWindow &) const = default;

private:
    void startPeak(base::TimePoint now);

    std::uint32_t baseSize_;
    base::Duration lookBack_;
    std::uint32_t needed_ = 0;
    std::uint32_t highest_ = 0;
    std::uint32_t quietNeed_ = 0;
    // Maxima of the current and the previous interval of the look-back time.
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
