#pragma once

#include <chicorywick/entry/table.h>

#include <string>

namespace chicorywick::entry {

/// @brief Where rows lie; docs/platform.md lists them with their writers.
namespace layout {

inline constexpr const char *kJobs = "jobs";
inline constexpr const char *kProgress = "progress";
inline constexpr const char *kLeader = "leader";
inline constexpr const char *kRoster =
        "roster"; ///< read by drivers only; all daemons watch kLeader

/// @brief Parts of the jobs table. The store changes a part once per transaction time: a store that
/// is fifty times slower takes five submissions a second and part.
inline constexpr int kJobParts = 16;

/// @brief Rows of the list of workers: a change writes a few kilobytes at thousands of workers, and
/// all rows fit into one call of the store.
inline constexpr int kRosterRows = 32;

std::string jobPart(int number);
RowKey jobRow(const std::string &id);
RowKey cancelRow(const std::string &id);
RowKey progressRow(const std::string &id);
RowKey leaderRow();
RowKey rosterRow(const std::string &worker);
RowKey waveRow(std::int64_t number);

/// @brief The wave that a row of the leader table is about, if any.
std::optional<std::int64_t> waveNumberOf(const std::string &key);

/// @brief The job that a row of the jobs table cancels, or an empty text.
std::string cancelledJob(const std::string &key);

} // namespace layout

} // namespace chicorywick::entry
