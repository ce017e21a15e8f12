#include <chicorywick/base/code.h>
#include <chicorywick/base/log_event.h>

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <string>

namespace chicorywick::base {

namespace {

// Returns the table rows of a page; they start with "| <digit>" or "| CW".
std::set<std::string> tableRows(const std::string &file)
{
    std::ifstream stream(std::string(DOCS_DIR) + "/" + file);
    std::set<std::string> rows;
    for (std::string line; std::getline(stream, line);) {
        const bool isRow =
                line.starts_with("| CW")
                || (line.size() > 2 && line.starts_with("| ") && std::isdigit(line[2]) != 0);
        if (isRow)
            rows.insert(line);
    }
    return rows;
}

std::string text(std::string_view view)
{
    return std::string(view);
}

std::string severityName(Severity severity)
{
    return severity == Severity::Info      ? "info"
           : severity == Severity::Warning ? "warning"
                                           : "error";
}

void checkSame(const std::set<std::string> &documented, const std::set<std::string> &expected)
{
    for (const std::string &row : expected) {
        CAPTURE(row);
        CHECK(documented.contains(row));
    }
    for (const std::string &row : documented) {
        CAPTURE(row);
        CHECK(expected.contains(row));
    }
}

} // namespace

// Guards against a result code that is missing in the documentation and against an outdated row.
TEST_CASE("docs/result-codes.md has a row for every result code and no other")
{
    std::set<std::string> expected;
    for (const CodeInfo &info : allCodes())
        expected.insert("| " + std::to_string(static_cast<int>(info.code)) + " | " + text(info.name)
                        + " | " + std::to_string(info.httpStatus) + " | " + text(info.twirpCode)
                        + " | " + text(info.text) + " |");
    checkSame(tableRows("result-codes.md"), expected);
}

TEST_CASE("docs/log-events.md has a row for every log event and no other")
{
    std::set<std::string> expected;
    for (const EventInfo &info : allEvents())
        expected.insert("| CW" + std::to_string(static_cast<int>(info.event)) + " | "
                        + text(info.name) + " | " + severityName(info.severity) + " | "
                        + text(info.text) + " |");
    checkSame(tableRows("log-events.md"), expected);
}

} // namespace chicorywick::base
