#pragma once

#include <string>
#include <vector>

namespace chicorywick::standin {

/// @brief Serves an in-memory platform, one port for each availability zone, until the process is
/// ended.
///
/// Prints "zone NAME PORT" for each zone and "control PORT", then "ready". The control port takes
/// POST /instances (a list of instances to add), POST /faults and POST /fail/<id>, POST
/// /restore/<id>.
int servePlatform(const std::vector<std::string> &zones);

/// @brief Serves an upstream that echoes requests and keeps a record of them under GET /record.
///
/// Prints "upstream PORT", then "ready". The header X-Sleep-Ms delays the response.
int serveUpstream(const std::string &id);

} // namespace chicorywick::standin
