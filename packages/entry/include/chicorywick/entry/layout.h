#pragma once

#include <chicorywick/entry/table.h>

#include <string>

namespace chicorywick::entry {

/// @brief Tables, parts and keys of the stored rows; docs/platform.md lists them with their
/// writers.
namespace layout {

inline constexpr const char *kJobs = "jobs";
inline constexpr const char *kProgress = "progress";
inline constexpr const char *kLeader = "leader";
/// Separate from kLeader, because all daemons watch that table and only leaders read the roster.
inline constexpr const char *kRoster = "roster";

/// @brief Parts of the jobs table. The store runs the transactions of a part one after another: at
/// fifty times the usual latency, each part accepts five submissions per second.
inline constexpr int kJobParts = 16;

/// @brief Rows of the worker roster. With thousands of workers, a change writes a few kilobytes,
/// and all rows fit into one store call.
inline constexpr int kRosterRows = 32;

std::string jobPart(int number);
RowKey jobRow(const std::string &id);
RowKey cancelRow(const std::string &id);
RowKey progressRow(const std::string &id);
RowKey leaderRow();
RowKey rosterRow(const std::string &worker);
RowKey waveRow(std::int64_t number);

/// @brief The wave number in a row key of the leader table, if any.
std::optional<std::int64_t> waveNumberOf(const std::string &key);

/// @brief The job that a row of the jobs table cancels, or an empty string.
std::string cancelledJob(const std::string &key);

} // namespace layout

} // namespace chicorywick::entry
