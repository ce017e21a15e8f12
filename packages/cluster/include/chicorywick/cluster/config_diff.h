#pragma once

#include "chicorywick/v1/config.pb.h"

#include <string>

namespace chicorywick::cluster {

/// @brief The fields that differ between two values of an item, joined by "; ", each formatted as
/// "service/x: service.queue_limit 10 -> 20".
std::string describeItemDifference(const v1::ConfigItem &before, const v1::ConfigItem &after);

/// @brief The version, author and field differences of a change.
std::string describeChange(const v1::ConfigChange &change);

/// @brief True if both items are equal apart from their versions.
bool hasSameValue(const v1::ConfigItem &left, const v1::ConfigItem &right);

} // namespace chicorywick::cluster
