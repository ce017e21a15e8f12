#include <chicorywick/cluster/table_rate_limiter.h>

#include <algorithm>

namespace chicorywick::cluster {

namespace {

constexpr double kRampStart = 0.1;
constexpr double kMicrosPerSecond = 1e6;
// The burst must cover the largest transaction, even if the share of one daemon is small.
constexpr double kMinBurst = 100;

double secondsBetween(base::TimePoint from, base::TimePoint to)
{
    return static_cast<double>((to - from).count()) / kMicrosPerSecond;
}

} // namespace

TableRateLimiter::TableRateLimiter(TableRateLimiterOptions options, std::uint64_t seed)
    : options_(options)
    , rng_(seed)
    , backoff_(options.backoff)
{
    setMembers(1);
}

void TableRateLimiter::setMembers(std::size_t members)
{
    const std::lock_guard lock(mutex_);
    members_ = std::max<std::size_t>(1, members);
    const auto count = static_cast<double>(members_);
    reads_.rate = options_.readsPerSecond * options_.share / count;
    writes_.rate = options_.writesPerSecond * options_.share / count;
}

double TableRateLimiter::rampFactor(base::TimePoint now) const
{
    if (recoveredAt_ == base::TimePoint{} || now - recoveredAt_ >= options_.rampTime)
        return 1;
    const double part = secondsBetween(recoveredAt_, now)
                        / (static_cast<double>(options_.rampTime.count()) / kMicrosPerSecond);
    return kRampStart + (1 - kRampStart) * std::max(0.0, part);
}

base::Duration TableRateLimiter::reserve(Bucket &tokenBucket, base::TimePoint now, double cost)
{
    const std::lock_guard lock(mutex_);
    if (now < blockedUntil_)
        return blockedUntil_ - now;
    const double rate = tokenBucket.rate * rampFactor(now);
    const double burst = std::max(rate * options_.burstSeconds, std::min(cost, kMinBurst));
    if (tokenBucket.lastRefill == base::TimePoint{})
        tokenBucket.tokens = burst;
    else
        tokenBucket.tokens = std::min(
                burst, tokenBucket.tokens + secondsBetween(tokenBucket.lastRefill, now) * rate);
    tokenBucket.lastRefill = now;
    if (tokenBucket.tokens >= cost) {
        tokenBucket.tokens -= cost;
        return base::Duration::zero();
    }
    const double seconds = (cost - tokenBucket.tokens) / rate;
    return base::Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond) + 1);
}

base::Duration TableRateLimiter::reserveReads(base::TimePoint now, double reads)
{
    return reserve(reads_, now, reads);
}

base::Duration TableRateLimiter::reserveWrites(base::TimePoint now, double writes)
{
    return reserve(writes_, now, writes);
}

void TableRateLimiter::recordSuccess(base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (!isUnavailable_)
        return;
    isUnavailable_ = false;
    recoveredAt_ = now;
    backoff_.reset();
    reads_.tokens = 0;
    reads_.lastRefill = now;
    writes_.tokens = 0;
    writes_.lastRefill = now;
}

void TableRateLimiter::recordUnavailable(base::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    isUnavailable_ = true;
    blockedUntil_ = now + backoff_.next(rng_);
}

} // namespace chicorywick::cluster
