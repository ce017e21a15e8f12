#pragma once

#include <string>
#include <vector>

namespace chicorywick::standin {

/// @brief Serves an in-memory platform on one port per availability zone until the process is
/// terminated.
///
/// Prints "zone NAME PORT" for each zone and "control PORT", then "ready". The control port takes
/// POST /instances (a list of instances to add), POST /faults, POST /fail/<id>, POST /restore/<id>,
/// GET /boots/<id> (completed reboots) and GET /runs (task starts).
int servePlatform(const std::vector<std::string> &zones);

/// @brief Serves an upstream that echoes requests and lists all received ones at GET /record.
///
/// Prints "upstream PORT", then "ready". The header X-Sleep-Ms delays the response.
int serveUpstream(const std::string &id);

} // namespace chicorywick::standin
