#pragma once

#include <chicorywick/base/result.h>
#include <chicorywick/scheduler/model.h>

namespace chicorywick::entry {

/// @brief Checks that each task fits into the limit of its account.
base::Result<void> checkTaskSizes(const scheduler::JobSpec &spec,
                                  const scheduler::AccountPolicy &account);

/// @brief By how many milliseconds a job that starts after a backlog ends too late to have any
/// value for its caller; 0 if it has some.
scheduler::Millis lateByMs(const scheduler::JobSpec &spec, const scheduler::QueuePolicy &policy,
                           scheduler::Millis backlogMs);

} // namespace chicorywick::entry
