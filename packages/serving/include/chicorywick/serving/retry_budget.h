#pragma once

#include <atomic>
#include <cstdint>

namespace chicorywick::serving {

/// @brief Token bucket that first attempts fill and retries empty; lock-free.
class RetryBudget
{
public:
    /// @brief Earns the given part of a retry.
    void onFirstAttempt(unsigned retryPercent);
    bool tryTake();

private:
    static constexpr std::int64_t kPerToken = 100;
    /// Retries that a burst of failures may use after a quiet time.
    static constexpr std::int64_t kBurst = 10 * kPerToken;

    std::atomic<std::int64_t> tokenHundredths_{kBurst};
};

} // namespace chicorywick::serving
