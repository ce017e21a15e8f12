#pragma once

#include "chicorywick/v1/config.pb.h"

#include <chicorywick/base/result.h>

#include <string>
#include <vector>

namespace chicorywick::cluster {

/// @brief Limits of a change and of the full configuration.
constexpr int kMaxItemsPerChange = 80;
constexpr std::uint32_t kMaxConfigItems = 2000;
constexpr std::size_t kMaxItemNameLength = 128;

/// @brief A validation error in a configuration item.
struct ConfigProblem
{
    std::string item;
    std::string field;
    std::string found;
    std::string allowed;

    bool operator==(const ConfigProblem &) const = default;
};

/// @brief Returns all validation errors of a change.
std::vector<ConfigProblem> findConfigProblems(const std::vector<v1::ConfigItem> &items);

/// @brief Rejects an invalid change with one error that lists all validation errors.
base::Result<void> validateConfig(const std::vector<v1::ConfigItem> &items);

} // namespace chicorywick::cluster
