#pragma once

#include <chicorywick/base/backoff.h>
#include <chicorywick/base/clock.h>
#include <chicorywick/base/rng.h>
#include <chicorywick/base/token_bucket.h>

#include <mutex>

namespace chicorywick::cluster {

/// @brief Capacity of the table and the share of it that all daemons together may use.
struct TableRateLimiterOptions
{
    double readsPerSecond = 2000;
    double writesPerSecond = 400;
    double share = 1.0 / 3;
    /// Burst size in seconds at the full rate.
    double burstSeconds = 0.5;
    base::BackoffPolicy backoff{.initial = std::chrono::milliseconds(200),
                                .maximum = std::chrono::seconds(4)};
    /// After an outage the rate increases from a tenth to the full share over this time.
    base::Duration rampTime = std::chrono::seconds(10);
};

/// @brief Limits the rate of one daemon's table accesses, so that the recovery of the table does
/// not cause a thundering herd. Thread-safe.
class TableRateLimiter
{
public:
    TableRateLimiter(TableRateLimiterOptions options, std::uint64_t seed);

    /// @brief Sets the number of daemons that divide the share.
    void setMembers(std::size_t members);

    /// @brief Reserves reads or writes. Returns zero if granted, else the time to wait before the
    /// next attempt.
    base::Duration reserveReads(base::TimePoint now, double reads = 1);
    base::Duration reserveWrites(base::TimePoint now, double writes = 1);

    /// @brief Record whether the table answered. recordUnavailable() blocks reservations for a
    /// backoff time.
    void recordSuccess(base::TimePoint now);
    void recordUnavailable(base::TimePoint now);

private:
    struct Bucket
    {
        double rate = 0;
        double tokens = 0;
        base::TimePoint lastRefill{};
    };

    base::Duration reserve(Bucket &tokenBucket, base::TimePoint now, double cost);
    double rampFactor(base::TimePoint now) const;

    TableRateLimiterOptions options_;
    std::mutex mutex_;
    base::Rng rng_;
    base::Backoff backoff_;
    std::size_t members_ = 1;
    Bucket reads_;
    Bucket writes_;
    bool isUnavailable_ = false;
    base::TimePoint blockedUntil_{};
    base::TimePoint recoveredAt_{};
};

} // namespace chicorywick::cluster
