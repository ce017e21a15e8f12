#pragma once

#include "record.h"

#include <functional>

namespace chicorywick::review {

/// @brief Plays a case; false if it could not run. Breaches of its rule go into the record.
using Case = std::function<bool(bool hasTrouble, Record &record)>;

bool runRestarts(bool hasTrouble, Record &record);
bool runRemovedRoute(bool hasTrouble, Record &record);
bool runFailingTasks(bool hasTrouble, Record &record);
bool runSlowUpkeep(bool hasTrouble, Record &record);
bool runForeignEntries(bool hasTrouble, Record &record);
bool runUnmetLabel(bool hasTrouble, Record &record);
bool runWideJob(bool hasTrouble, Record &record);

} // namespace chicorywick::review
