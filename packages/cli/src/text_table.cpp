#include <chicorywick/cli/text_table.h>

#include <algorithm>
#include <array>
#include <ctime>

namespace chicorywick::cli {

namespace {

void widen(std::vector<std::size_t> &widths, const std::vector<std::string> &cells)
{
    for (std::size_t i = 0; i < cells.size() && i < widths.size(); ++i)
        widths[i] = std::max(widths[i], cells[i].size());
}

std::string formatRow(const std::vector<std::size_t> &widths, const std::vector<std::string> &cells)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        if (i + 1 < cells.size())
            line.append(widths[i] - cells[i].size() + 2, ' ');
    }
    return line + '\n';
}

} // namespace

std::string formatTable(const TextTable &table)
{
    std::vector<std::size_t> widths(table.header.size(), 0);
    widen(widths, table.header);
    for (const auto &row : table.rows)
        widen(widths, row);
    std::string text = formatRow(widths, table.header);
    for (const auto &row : table.rows)
        text += formatRow(widths, row);
    return text;
}

std::string formatTime(std::int64_t millis)
{
    if (millis == 0)
        return "-";
    const std::time_t seconds = millis / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &utc);
    return text.data();
}

} // namespace chicorywick::cli
