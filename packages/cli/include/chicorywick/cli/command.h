#pragma once

#include <chicorywick/cli/arguments.h>
#include <chicorywick/cli/session.h>

#include <functional>

namespace chicorywick::cli {

/// @brief One command of the command line, such as "pool create NAME".
struct Command
{
    std::string group;
    std::string name;
    /// Names of the positional arguments; all are required.
    std::vector<std::string> positional;
    std::string summary;
    std::vector<OptionSpec> options;
    std::function<ExitCode(Session &, const Arguments &)> run;
};

/// @brief The commands of each group.
std::vector<Command> poolCommands();
std::vector<Command> instanceCommands();
std::vector<Command> waveCommands();
std::vector<Command> jobCommands();
std::vector<Command> configCommands();
std::vector<Command> reportCommands();

/// @brief All commands in the order of the help text.
std::vector<Command> allCommands();

/// @brief The value of --request-id, or a new unique id.
std::string requestId(const Arguments &arguments);

/// @brief Options used by several commands.
OptionSpec requestIdOption();
OptionSpec expectedVersionOption();
OptionSpec dryRunOption();

} // namespace chicorywick::cli
