#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace chicorywick::cli {

/// @brief Runs the command line; the value is the process's exit code.
int runCli(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace chicorywick::cli
