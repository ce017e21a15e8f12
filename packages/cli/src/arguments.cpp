#include <chicorywick/cli/arguments.h>

#include <popt.h>

#include <charconv>
#include <memory>
#include <sstream>

namespace chicorywick::cli {

namespace {

constexpr int kFirstOptionValue = 1000;
constexpr std::size_t kOptionColumnWidth = 28;

struct ContextDeleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using Context = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::vector<poptOption> toPoptOptions(const std::vector<OptionSpec> &specs)
{
    std::vector<poptOption> options;
    int value = kFirstOptionValue;
    for (const OptionSpec &spec : specs) {
        const unsigned type = spec.kind == OptionKind::Flag ? POPT_ARG_NONE : POPT_ARG_STRING;
        options.push_back({spec.name.c_str(), '\0', type, nullptr, value++, nullptr, nullptr});
    }
    options.push_back(POPT_TABLEEND);
    return options;
}

bool isNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

base::Error usageError(const std::string &message)
{
    return base::Error{base::Code::UsageError, message};
}

} // namespace

Arguments::Arguments(std::map<std::string, std::string> options,
                     std::vector<std::string> positional)
    : options_(std::move(options))
    , positional_(std::move(positional))
{}

std::string Arguments::text(const std::string &option, const std::string &fallback) const
{
    const auto found = options_.find(option);
    return found == options_.end() ? fallback : found->second;
}

std::uint64_t Arguments::number(const std::string &option, std::uint64_t fallback) const
{
    const std::string value = text(option);
    std::uint64_t number = fallback;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

base::Result<Arguments> parseArguments(const std::vector<OptionSpec> &specs,
                                       const std::vector<std::string> &argv)
{
    const std::vector<poptOption> options = toPoptOptions(specs);
    std::vector<const char *> raw;
    raw.reserve(argv.size() + 1);
    for (const std::string &argument : argv)
        raw.push_back(argument.c_str());
    raw.push_back(nullptr);
    const Context context(poptGetContext(argv.front().c_str(), static_cast<int>(argv.size()),
                                         raw.data(), options.data(), 0));

    std::map<std::string, std::string> values;
    int found = 0;
    while ((found = poptGetNextOpt(context.get())) >= 0) {
        const OptionSpec &spec = specs[static_cast<std::size_t>(found - kFirstOptionValue)];
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                                &std::free);
        const std::string text = value ? value.get() : "";
        if (spec.kind == OptionKind::Number && !isNumber(text))
            return usageError("--" + spec.name + ": '" + text
                              + "' is not a whole number of 0 or more");
        values[spec.name] = text;
    }
    if (found < -1)
        return usageError(std::string(poptBadOption(context.get(), 0)) + ": "
                          + poptStrerror(found));
    std::vector<std::string> positional;
    while (const char *argument = poptGetArg(context.get()))
        positional.emplace_back(argument);
    return Arguments(std::move(values), std::move(positional));
}

std::string formatOptions(const std::vector<OptionSpec> &specs)
{
    std::ostringstream text;
    for (const OptionSpec &spec : specs) {
        std::string left = "  --" + spec.name;
        if (spec.kind != OptionKind::Flag)
            left += " " + (spec.kind == OptionKind::Number ? "N" : spec.valueName);
        left.resize(std::max(left.size() + 1, kOptionColumnWidth), ' ');
        text << left << spec.help << '\n';
    }
    return text.str();
}

} // namespace chicorywick::cli
