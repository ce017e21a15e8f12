#pragma once

#include <chicorywick/entry/cell_layout.h>
#include <chicorywick/entry/table.h>

#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief Tables, parts and keys of the stored rows; docs/platform.md lists them with their
/// writers.
namespace layout {

/// Leader rows of all cells and the cell layout. All daemons watch this table.
inline constexpr const char *kLeader = "leader";
inline constexpr const char *kProgress = "progress";
inline constexpr const char *kRoster = "roster";
inline constexpr const char *kWaves = "waves";
/// Machines that have changed their cell. Only leaders watch this table.
inline constexpr const char *kMachines = "machines";
/// How the cells divide the limits of client accounts. Only leaders watch this table.
inline constexpr const char *kQuota = "quota";

/// @brief Parts of the leader table. The store runs the transactions of a part one after another:
/// at fifty times the usual latency, a part accepts five renewals per second.
inline constexpr int kLeaderParts = 16;

/// @brief Parts of the jobs tables of all cells together; limits submissions like kLeaderParts.
inline constexpr int kJobParts = 16;

/// @brief Rows of a cell's worker roster. A change writes only the rows that it affects.
inline constexpr int kRosterRows = 32;

RowKey cellLayoutRow();
RowKey leaderRow(int cell);
std::string leaderPart(int number);

RowKey quotaSharesRow();

/// @brief The row that each change of the machines table writes. It comes first in the table.
RowKey machineSequenceRow();
RowKey machineRow(const std::string &machine);
RowRange machineRange();

/// @brief The machine in a row key of the machines table, if any.
std::optional<std::string> machineOfRow(const std::string &key);

/// @brief The cell in a row key of the leader table, if any.
std::optional<int> cellOfLeaderRow(const std::string &key);

/// @brief The job that a row of a jobs table cancels, or an empty string.
std::string cancelledJob(const std::string &key);

/// @brief The wave number in a row key of the waves table, if any.
std::optional<std::int64_t> waveNumberOf(const std::string &key);

} // namespace layout

/// @brief The rows of one cell. Each cell has a jobs table, so that its leader watches its own jobs
/// only, and parts of its own, so that no cell waits for the writes of another one.
class CellRows
{
public:
    CellRows(int cell, int cellCount);

    int cell() const { return cell_; }
    const std::string &jobsTable() const { return jobsTable_; }
    int jobParts() const { return jobParts_; }
    std::string jobPart(int number) const;
    RowKey jobRow(const std::string &id) const;
    RowKey cancelRow(const std::string &id) const;
    RowKey progressRow(const std::string &id) const;
    RowKey rosterRow(const std::string &worker) const;
    RowKey rosterRowNamed(const std::string &key) const;
    RowKey waveRow(std::int64_t number) const;
    RowRange progressRange() const;
    RowRange rosterRange() const;
    RowRange waveRange() const;

    bool operator==(const CellRows &) const = default;

private:
    int cell_;
    int jobParts_;
    std::string jobsTable_;
    std::string part_; ///< of all rows but jobs
};

/// @brief One cell of a layout.
struct Cell
{
    CellLayout layout;
    int number = 0;

    CellRows rows() const { return {number, layout.count()}; }
    CellRows rowsOf(int other) const { return {other, layout.count()}; }

    bool operator==(const Cell &) const = default;
};

} // namespace chicorywick::entry
