#include <chicorywick/base/token_bucket.h>

#include <algorithm>

namespace chicorywick::base {

bool TokenBucket::tryTake(TimePoint now, double tokens)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    if (tokens_ < tokens)
        return false;
    tokens_ -= tokens;
    return true;
}

void TokenBucket::deposit(double tokens)
{
    const std::lock_guard lock(mutex_);
    tokens_ = std::min(limits_.burst, tokens_ + tokens);
}

void TokenBucket::setRate(TimePoint now, double tokensPerSecond)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    limits_.tokensPerSecond = tokensPerSecond;
}

double TokenBucket::available(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    return tokens_;
}

// If the clock steps back, no tokens are added and refilling continues from the earlier time.
void TokenBucket::refill(TimePoint now)
{
    if (last_ != TimePoint{} && now > last_) {
        const double seconds = std::chrono::duration<double>(now - last_).count();
        tokens_ = std::min(limits_.burst, tokens_ + seconds * limits_.tokensPerSecond);
    }
    last_ = now;
}

} // namespace chicorywick::base
