#pragma once

#include <chicorywick/base/clock.h>

#include <mutex>

namespace chicorywick::base {

/// @brief Rate and burst of a token bucket.
struct TokenBucketLimits
{
    double tokensPerSecond = 1;
    double burst = 1;

    bool operator==(const TokenBucketLimits &) const = default;
};

/// @brief A thread-safe token bucket; starts full.
class TokenBucket
{
public:
    explicit TokenBucket(TokenBucketLimits limits)
        : limits_(limits)
        , tokens_(limits.burst)
    {}

    /// @brief Takes the tokens if that many are available; otherwise takes none.
    bool tryTake(TimePoint now, double tokens = 1);

    /// @brief Adds tokens in addition to the refill, up to the burst.
    void deposit(double tokens);

    /// @brief Changes the refill rate from now on; the burst is unchanged.
    void setRate(TimePoint now, double tokensPerSecond);

    /// @brief Refills the bucket up to now and returns the available tokens.
    double available(TimePoint now);

private:
    void refill(TimePoint now);

    TokenBucketLimits limits_;
    std::mutex mutex_;
    double tokens_;
    TimePoint last_{};
};

} // namespace chicorywick::base
