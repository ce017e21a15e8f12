#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace chicorywick::cli {

/// @brief Runs a command line and returns the process exit code.
int runCli(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace chicorywick::cli
