#pragma once

#include <chicorywick/scheduler/model.h>

#include <algorithm>

namespace chicorywick::entry {

/// @brief Up to when all rows of a watched table are known.
class ViewAge
{
public:
    /// @brief Reports an answer to a watch or a full read. It holds every row that was stored when
    /// it was requested; how long it waited to be read does not matter.
    void recordAnswer(scheduler::Millis requestedAt, scheduler::Millis now)
    {
        knownUntil_ = std::max(knownUntil_, requestedAt);
        answerMs_ = now - requestedAt;
        failures_ = 0;
    }
    void recordFailure() { ++failures_; }

    scheduler::Millis knownUntil() const { return knownUntil_; }

    /// @brief Duration of the request that was answered last.
    scheduler::Millis answerMs() const { return answerMs_; }

    /// @brief Requests without an answer since the latest answer.
    int failures() const { return failures_; }

private:
    scheduler::Millis knownUntil_ = 0;
    scheduler::Millis answerMs_ = 0;
    int failures_ = 0;
};

} // namespace chicorywick::entry
