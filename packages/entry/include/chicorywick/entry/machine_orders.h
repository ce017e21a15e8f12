#pragma once

#include <chicorywick/scheduler/model.h>

namespace chicorywick::entry {

/// @brief How long after it was sent the platform may carry out an order without an answer.
inline constexpr scheduler::Millis kLateOrderMs = 12'000;

/// @brief Interval at which an order without an answer is repeated. Orders are idempotent.
inline constexpr scheduler::Millis kOrderRepeatMs = 1'000;

} // namespace chicorywick::entry
