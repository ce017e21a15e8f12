#include <chicorywick/base/unique_id.h>
#include <chicorywick/cli/cli.h>
#include <chicorywick/cli/command.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ostream>
#include <sstream>

namespace chicorywick::cli {

namespace {

constexpr const char *kVersion = "0.1.0";
constexpr const char *kDefaultServer = "127.0.0.1:7402";
constexpr std::size_t kCommandColumnWidth = 36;

std::vector<OptionSpec> globalOptions()
{
    return {{"server", OptionKind::Text,
             "Operator listeners to try in turn (default $CHICORYWICK_SERVER or "
                     + std::string(kDefaultServer) + ")",
             "HOST:PORT[,...]"},
            {"token-file", OptionKind::Text,
             "File with the operator token (default $CHICORYWICK_TOKEN_FILE)", "FILE"},
            {"operator", OptionKind::Text, "Your name for the log (default $USER)", "NAME"},
            {"timeout", OptionKind::Number, "Seconds to wait for an answer (default 10)"},
            {"json", OptionKind::Flag, "Print one line of JSON"},
            {"help", OptionKind::Flag, "Show this help"}};
}

std::string environmentVariable(const char *name, const std::string &fallback = {})
{
    const char *value = std::getenv(name);
    return value != nullptr ? value : fallback;
}

std::string usageLine(const Command &command)
{
    std::string line = command.group + (command.name.empty() ? "" : " " + command.name);
    for (const std::string &argument : command.positional)
        line += " " + argument;
    return line;
}

std::string overview()
{
    std::ostringstream text;
    text << "usage: chicorywick COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    for (const Command &command : allCommands()) {
        std::string left = "  " + usageLine(command);
        left.resize(std::max(left.size() + 1, kCommandColumnWidth), ' ');
        text << left << command.summary << '\n';
    }
    text << "\nOptions of every command:\n"
         << formatOptions(globalOptions())
         << "\nExit codes: 0 done, 1 refused, 2 usage, 3 no server reached, 4 outcome unknown,\n"
            "5 wait timed out, 6 the wave or job waited for ended badly.\n"
            "'chicorywick COMMAND --help' shows the options of a command.\n";
    return text.str();
}

std::string commandHelp(const Command &command)
{
    std::ostringstream text;
    text << "usage: chicorywick " << usageLine(command) << " [OPTIONS]\n\n"
         << command.summary << "\n\nOptions:\n"
         << formatOptions(command.options) << formatOptions(globalOptions());
    return text.str();
}

base::Result<SessionOptions> sessionOptions(const Arguments &arguments)
{
    SessionOptions options;
    std::istringstream servers(
            arguments.text("server", environmentVariable("CHICORYWICK_SERVER", kDefaultServer)));
    for (std::string server; std::getline(servers, server, ',');)
        options.servers.push_back(server);
    options.json = arguments.has("json");
    options.operatorName = arguments.text("operator", environmentVariable("USER"));
    constexpr std::uint64_t kDefaultTimeoutSeconds = 10;
    options.callTimeout = std::chrono::seconds(arguments.number("timeout", kDefaultTimeoutSeconds));
    const std::string tokenFile =
            arguments.text("token-file", environmentVariable("CHICORYWICK_TOKEN_FILE"));
    if (!tokenFile.empty()) {
        std::ifstream file(tokenFile);
        if (!std::getline(file, options.token))
            return base::makeError(base::Code::UsageError,
                                   "--token-file: cannot read '" + tokenFile + "'");
    }
    return options;
}

const Command *findCommand(const std::vector<Command> &commands,
                           const std::vector<std::string> &arguments)
{
    const auto word = [&](std::size_t index) {
        return index < arguments.size() ? arguments[index] : std::string();
    };
    const auto found = std::find_if(commands.begin(), commands.end(), [&](const Command &command) {
        return command.group == word(0) && (command.name.empty() || command.name == word(1));
    });
    return found == commands.end() ? nullptr : &*found;
}

int run(const Command &command, const std::vector<std::string> &arguments, std::ostream &out,
        std::ostream &err)
{
    std::vector<OptionSpec> specs = command.options;
    const std::vector<OptionSpec> global = globalOptions();
    specs.insert(specs.end(), global.begin(), global.end());
    const std::size_t words = command.name.empty() ? 1 : 2;
    std::vector<std::string> argv{"chicorywick"};
    argv.insert(argv.end(), arguments.begin() + static_cast<std::ptrdiff_t>(words),
                arguments.end());

    const Session errors({}, out, err);
    const auto parsed = parseArguments(specs, argv);
    if (!parsed)
        return static_cast<int>(errors.fail(parsed.error()));
    if (parsed.value().has("help")) {
        out << commandHelp(command);
        return 0;
    }
    if (parsed.value().positional().size() != command.positional.size())
        return static_cast<int>(errors.fail(base::makeError(
                base::Code::UsageError, "usage: chicorywick " + usageLine(command))));
    const auto options = sessionOptions(parsed.value());
    if (!options)
        return static_cast<int>(errors.fail(options.error()));
    Session session(options.value(), out, err);
    return static_cast<int>(command.run(session, parsed.value()));
}

} // namespace

std::vector<Command> allCommands()
{
    std::vector<Command> all;
    for (auto group : {poolCommands(), instanceCommands(), waveCommands(), jobCommands(),
                       configCommands(), reportCommands()})
        all.insert(all.end(), std::make_move_iterator(group.begin()),
                   std::make_move_iterator(group.end()));
    return all;
}

std::string requestId(const Arguments &arguments)
{
    return arguments.has("request-id") ? arguments.text("request-id") : base::uniqueId();
}

OptionSpec requestIdOption()
{
    return {"request-id", OptionKind::Text,
            "Id of this call; repeat the call with the same id after a lost answer", "ID"};
}

OptionSpec expectedVersionOption()
{
    return {"expected-version", OptionKind::Number,
            "Version that you read; refused if the object has changed since"};
}

OptionSpec dryRunOption()
{
    return {"dry-run", OptionKind::Flag, "Show what would happen and change nothing"};
}

int runCli(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "help") {
        (arguments.empty() ? err : out) << overview();
        return arguments.empty() ? static_cast<int>(ExitCode::Usage) : 0;
    }
    if (arguments.front() == "--version") {
        out << "chicorywick " << kVersion << '\n';
        return 0;
    }
    const std::vector<Command> commands = allCommands();
    if (const Command *command = findCommand(commands, arguments))
        return run(*command, arguments, out, err);
    err << "error " << static_cast<int>(base::Code::UsageError) << ": no command '"
        << arguments.front() << (arguments.size() > 1 ? " " + arguments[1] : "")
        << "'; see chicorywick --help\n";
    return static_cast<int>(ExitCode::Usage);
}

} // namespace chicorywick::cli
