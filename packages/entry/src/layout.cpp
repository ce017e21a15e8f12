#include <chicorywick/base/hash.h>
#include <chicorywick/entry/layout.h>

#include <charconv>

namespace chicorywick::entry::layout {

namespace {

constexpr const char *kCancelSuffix = ".cancel";
const std::string kWavePrefix = "wave-";

} // namespace

std::string jobPart(int number)
{
    return "jobs-" + std::to_string(number);
}

RowKey jobRow(const std::string &id)
{
    const auto number = static_cast<int>(base::hash64(id) % kJobParts);
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

RowKey rosterRow(const std::string &worker)
{
    const auto number = static_cast<int>(base::hash64(worker) % kRosterRows);
    return {.table = kRoster, .part = kRoster, .key = "workers-" + std::to_string(number)};
}

RowKey waveRow(std::int64_t number)
{
    return {.table = kLeader, .part = kLeader, .key = kWavePrefix + std::to_string(number)};
}

std::optional<std::int64_t> waveNumberOf(const std::string &key)
{
    if (!key.starts_with(kWavePrefix))
        return std::nullopt;
    std::int64_t number = 0;
    const char *last = key.data() + key.size();
    const auto [end, error] = std::from_chars(key.data() + kWavePrefix.size(), last, number);
    return error == std::errc() && end == last ? std::optional(number) : std::nullopt;
}

std::string cancelledJob(const std::string &key)
{
    const std::string suffix = kCancelSuffix;
    return key.ends_with(suffix) ? key.substr(0, key.size() - suffix.size()) : std::string();
}

} // namespace chicorywick::entry::layout
