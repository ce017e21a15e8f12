#pragma once

#include <chicorywick/base/clock.h>
#include <chicorywick/base/rng.h>

namespace chicorywick::base {

/// @brief Limits of an exponential backoff.
struct BackoffPolicy
{
    Duration initial = std::chrono::milliseconds(50);
    Duration maximum = std::chrono::seconds(5);

    bool operator==(const BackoffPolicy &) const = default;
};

/// @brief Exponential backoff with full jitter.
class Backoff
{
public:
    explicit Backoff(BackoffPolicy policy = {})
        : policy_(policy)
        , ceiling_(policy.initial)
    {}

    /// @brief Returns the next delay, uniform between zero and a ceiling that doubles per call.
    Duration next(Rng &rng);

    void reset() { ceiling_ = policy_.initial; }

private:
    BackoffPolicy policy_;
    Duration ceiling_;
};

} // namespace chicorywick::base
