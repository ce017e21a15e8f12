#pragma once

#include <popt.h>

#include <iostream>
#include <optional>
#include <string>

namespace chicorywick {

/// @brief Parses the options of a development program. Returns the name argument, which is empty if
/// none was given, or nullopt after printing a usage error.
inline std::optional<std::string> parseCommandLine(int argc, const char **argv,
                                                   const poptOption *options, const char *program,
                                                   const char *usage)
{
    poptContext context = poptGetContext(program, argc, argv, options, 0);
    poptSetOtherOptionHelp(context, usage);
    std::optional<std::string> name;
    const int status = poptGetNextOpt(context);
    if (status < -1)
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(status) << '\n';
    else if (const char *argument = poptGetArg(context))
        name = argument;
    else
        name = "";
    poptFreeContext(context);
    return name;
}

} // namespace chicorywick
