#pragma once

#include <atomic>
#include <cstdint>

namespace chicorywick::serving {

/// @brief Lock-free token bucket: first attempts add tokens, retries consume them.
class RetryBudget
{
public:
    /// @brief Adds the given percentage of one retry.
    void onFirstAttempt(unsigned retryPercent);
    bool tryTake();

private:
    static constexpr std::int64_t kPerToken = 100;
    /// Retries available to a burst of failures after a period without retries.
    static constexpr std::int64_t kBurst = 10 * kPerToken;

    std::atomic<std::int64_t> tokenHundredths_{kBurst};
};

} // namespace chicorywick::serving
