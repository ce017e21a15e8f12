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

/// @brief Formats the table with one line per row, including the header.
std::string formatTable(const TextTable &table);

/// @brief Formats Unix time in milliseconds as UTC date and time, and 0 as "-".
std::string formatTime(std::int64_t millis);

} // namespace chicorywick::cli
