#pragma once

#include <chicorywick/base/result.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::cli {

enum class OptionKind { Text, Number, Flag };

/// @brief An option of a command.
struct OptionSpec
{
    std::string name;
    OptionKind kind = OptionKind::Text;
    std::string help;
    std::string valueName = "TEXT";

    bool operator==(const OptionSpec &) const = default;
};

/// @brief Parsed options and positional arguments of a command.
class Arguments
{
public:
    Arguments(std::map<std::string, std::string> options, std::vector<std::string> positional);

    bool has(const std::string &option) const { return options_.contains(option); }
    std::string text(const std::string &option, const std::string &fallback = {}) const;

    /// @brief The option's value, which parseArguments() has validated as a number.
    std::uint64_t number(const std::string &option, std::uint64_t fallback = 0) const;

    const std::vector<std::string> &positional() const { return positional_; }

private:
    std::map<std::string, std::string> options_;
    std::vector<std::string> positional_;
};

/// @brief Parses with popt. argv[0] is the program name and is not parsed.
base::Result<Arguments> parseArguments(const std::vector<OptionSpec> &specs,
                                       const std::vector<std::string> &argv);

/// @brief Formats the help text, one line per option.
std::string formatOptions(const std::vector<OptionSpec> &specs);

} // namespace chicorywick::cli
