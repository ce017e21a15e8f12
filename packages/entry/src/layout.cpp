#include <chicorywick/entry/layout.h>

namespace chicorywick::entry::layout {

namespace {

constexpr const char *kCancelSuffix = ".cancel";

} // namespace

std::string jobPart(int number)
{
    return "jobs-" + std::to_string(number);
}

RowKey jobRow(const std::string &id)
{
    // Callers choose ids at random, so their last character spreads them.
    const int number = id.empty() ? 0 : id.back() % kJobParts;
    return {.table = kJobs, .part = jobPart(number), .key = id};
}

RowKey cancelRow(const std::string &id)
{
    RowKey row = jobRow(id);
    row.key += kCancelSuffix;
    return row;
}

RowKey progressRow(const std::string &id)
{
    return {.table = kProgress, .part = kProgress, .key = id};
}

RowKey leaderRow()
{
    return {.table = kLeader, .part = kLeader, .key = "leader"};
}

RowKey rosterRow()
{
    return {.table = kLeader, .part = kLeader, .key = "roster"};
}

std::string cancelledJob(const std::string &key)
{
    const std::string suffix = kCancelSuffix;
    return key.ends_with(suffix) ? key.substr(0, key.size() - suffix.size()) : std::string();
}

} // namespace chicorywick::entry::layout
