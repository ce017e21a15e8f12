#pragma once

#include "record.h"

#include <functional>

namespace chicorywick::review {

/// @brief Plays a case, with or without its disruption. Broken rules stand in the record; returns
/// false if the case could not run.
using Case = std::function<bool(Record &record, bool isTroubled)>;

/// @brief A queue is removed and added again with another service, and the leader is stopped.
bool movedQueue(Record &record, bool isTroubled);

/// @brief Tasks that last end by themselves with `done`.
bool cleanExit(Record &record, bool isTroubled);

/// @brief Jobs whose steps have a limit per runner, and more tasks than runners.
bool spreadJobs(Record &record, bool isTroubled);

/// @brief The leader is cut off from the store while a wave begins.
bool cutInWave(Record &record, bool isTroubled);

/// @brief The machine control is down for some seconds, again and again.
bool controlDown(Record &record, bool isTroubled);

} // namespace chicorywick::review
