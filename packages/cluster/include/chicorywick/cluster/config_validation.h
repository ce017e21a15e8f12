#pragma once

#include "chicorywick/v1/config.pb.h"

#include <chicorywick/base/result.h>

#include <string>
#include <vector>

namespace chicorywick::cluster {

/// @brief Bounds of a change and of the whole configuration.
constexpr int kMaxItemsPerChange = 80;
constexpr std::uint32_t kMaxConfigItems = 2000;
constexpr std::size_t kMaxItemNameLength = 128;

/// @brief One fault of a configuration item.
struct ConfigProblem
{
    std::string item;
    std::string field;
    std::string found;
    std::string allowed;

    bool operator==(const ConfigProblem &) const = default;
};

/// @brief All faults of the items of a change.
std::vector<ConfigProblem> findConfigProblems(const std::vector<v1::ConfigItem> &items);

/// @brief Refuses a change with all of its faults in one message.
base::Result<void> validateConfig(const std::vector<v1::ConfigItem> &items);

} // namespace chicorywick::cluster
