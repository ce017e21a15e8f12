#pragma once

#include "chicorywick/v1/config.pb.h"

#include <string>

namespace chicorywick::cluster {

/// @brief The fields that differ between two values of an item, as "service/x.queue_limit: 10 ->
/// 20"; joined by "; ".
std::string describeItemDifference(const v1::ConfigItem &before, const v1::ConfigItem &after);

/// @brief The differences that a change made, with its version and author.
std::string describeChange(const v1::ConfigChange &change);

/// @brief True if both items hold the same value, whatever their versions.
bool hasSameValue(const v1::ConfigItem &left, const v1::ConfigItem &right);

} // namespace chicorywick::cluster
