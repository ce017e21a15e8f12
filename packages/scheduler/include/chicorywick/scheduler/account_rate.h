#pragma once

#include <chicorywick/scheduler/model.h>

namespace chicorywick::scheduler {

/// @brief Virtual clock of a client account (Zhang's Virtual Clock): tells which of its jobs come
/// faster than its share, and in which order the excess of several accounts is fair.
class AccountRate
{
public:
    /// @brief Records a job and returns its virtual time. From that time on, the job is within the
    /// share of its account.
    Millis record(double jobsPerSecond, Millis arrivedAt);

private:
    double clock_ = 0;
    bool isStarted_ = false;
};

} // namespace chicorywick::scheduler
