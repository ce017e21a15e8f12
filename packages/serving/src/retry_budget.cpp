#include <chicorywick/serving/retry_budget.h>

#include <algorithm>

namespace chicorywick::serving {

void RetryBudget::onFirstAttempt(unsigned retryPercent)
{
    std::int64_t current = tokenHundredths_.load();
    while (current < kBurst) {
        const std::int64_t next = std::min<std::int64_t>(kBurst, current + retryPercent);
        if (tokenHundredths_.compare_exchange_weak(current, next))
            return;
    }
}

bool RetryBudget::tryTake()
{
    std::int64_t current = tokenHundredths_.load();
    while (current >= kPerToken) {
        if (tokenHundredths_.compare_exchange_weak(current, current - kPerToken))
            return true;
    }
    return false;
}

} // namespace chicorywick::serving
