#include <chicorywick/base/hash.h>
#include <chicorywick/entry/layout.h>

#include <charconv>

namespace chicorywick::entry {

namespace {

constexpr const char *kCancelSuffix = ".cancel";
const std::string kWavePrefix = "wave-";
const std::string kCellPrefix = "cell-";
const std::string kMachinePrefix = "machine-";

template <typename Number>
std::optional<Number> numberAfter(const std::string &prefix, const std::string &key)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    Number number = 0;
    const char *last = key.data() + key.size();
    const auto [end, error] = std::from_chars(key.data() + prefix.size(), last, number);
    return error == std::errc() && end == last ? std::optional(number) : std::nullopt;
}

} // namespace

namespace layout {

std::string leaderPart(int number)
{
    return "leader-" + std::to_string(number);
}

RowKey cellLayoutRow()
{
    return {.table = kLeader, .part = leaderPart(0), .key = "layout"};
}

RowKey leaderRow(int cell)
{
    return {.table = kLeader,
            .part = leaderPart(cell % kLeaderParts),
            .key = kCellPrefix + std::to_string(cell)};
}

RowKey quotaSharesRow()
{
    return {.table = kQuota, .part = kQuota, .key = "shares"};
}

RowKey machineSequenceRow()
{
    return {.table = kMachines, .part = kMachines, .key = "0-sequence"};
}

RowKey machineRow(const std::string &machine)
{
    return {.table = kMachines, .part = kMachines, .key = kMachinePrefix + machine};
}

RowRange machineRange()
{
    return {.table = kMachines, .part = kMachines};
}

std::optional<std::string> machineOfRow(const std::string &key)
{
    if (!key.starts_with(kMachinePrefix))
        return std::nullopt;
    return key.substr(kMachinePrefix.size());
}

std::optional<int> cellOfLeaderRow(const std::string &key)
{
    return numberAfter<int>(kCellPrefix, key);
}

std::optional<std::int64_t> waveNumberOf(const std::string &key)
{
    return numberAfter<std::int64_t>(kWavePrefix, key);
}

std::string cancelledJob(const std::string &key)
{
    const std::string suffix = kCancelSuffix;
    return key.ends_with(suffix) ? key.substr(0, key.size() - suffix.size()) : std::string();
}

} // namespace layout

CellRows::CellRows(int cell, int cellCount)
    : cell_(cell)
    , jobParts_((layout::kJobParts + cellCount - 1) / cellCount)
    , jobsTable_("jobs-" + std::to_string(cell))
    , part_(kCellPrefix + std::to_string(cell))
{}

std::string CellRows::jobPart(int number) const
{
    return jobsTable_ + "-" + std::to_string(number);
}

RowKey CellRows::jobRow(const std::string &id) const
{
    // Another seed than that of the choice of the cell, which would use few of the parts.
    constexpr std::uint64_t kPartSeed = 1;
    const auto number =
            static_cast<int>(base::hash64(id, kPartSeed) % static_cast<std::uint64_t>(jobParts_));
    return {.table = jobsTable_, .part = jobPart(number), .key = id};
}

RowKey CellRows::cancelRow(const std::string &id) const
{
    RowKey row = jobRow(id);
    row.key += kCancelSuffix;
    return row;
}

RowKey CellRows::progressRow(const std::string &id) const
{
    return {.table = layout::kProgress, .part = part_, .key = id};
}

RowKey CellRows::rosterRow(const std::string &worker) const
{
    const auto number = static_cast<int>(base::hash64(worker) % layout::kRosterRows);
    return rosterRowNamed("workers-" + std::to_string(number));
}

RowKey CellRows::rosterRowNamed(const std::string &key) const
{
    return {.table = layout::kRoster, .part = part_, .key = key};
}

RowKey CellRows::waveRow(std::int64_t number) const
{
    return {.table = layout::kWaves, .part = part_, .key = kWavePrefix + std::to_string(number)};
}

RowRange CellRows::progressRange() const
{
    return {.table = layout::kProgress, .part = part_};
}

RowRange CellRows::rosterRange() const
{
    return {.table = layout::kRoster, .part = part_};
}

RowRange CellRows::waveRange() const
{
    return {.table = layout::kWaves, .part = part_};
}

} // namespace chicorywick::entry
