#pragma once

#include <string>

namespace chicorywick {

/// @brief Runs an entry instance on the users' platform until a stop signal; returns the exit code.
int runDeployment(const std::string &settingsFile, bool checkOnly);

} // namespace chicorywick
