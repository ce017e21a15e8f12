#pragma once

#include <string>
#include <vector>

namespace chicorywick::cli {

/// @brief Rows of cells printed in aligned columns.
struct TextTable
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;

    bool operator==(const TextTable &) const = default;
};

/// @brief The table as text, one line for each row.
std::string formatTable(const TextTable &table);

/// @brief A time as UTC date and time, or "-" for zero.
std::string formatTime(std::int64_t millis);

} // namespace chicorywick::cli
