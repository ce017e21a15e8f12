#include "evidence/command_line.h"
#include "evidence/measure/measurement.h"

#include <glog/logging.h>

#include <algorithm>
#include <iostream>

namespace chicorywick::measure {

namespace {

constexpr int kExitUsage = 2;

struct Arguments
{
    int list = 0;
    long seed = 1;
    int json = 0;
    std::string name;
};

bool parse(int argc, const char **argv, Arguments &arguments)
{
    const poptOption options[] = {
            {"list", 'l', POPT_ARG_NONE, &arguments.list, 0, "List the measurements", nullptr},
            {"seed", 's', POPT_ARG_LONG, &arguments.seed, 0, "Seed of the run", "N"},
            {"json", 'j', POPT_ARG_NONE, &arguments.json, 0,
             "Write the figures as one JSON object on the last line", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    const auto name =
            parseCommandLine(argc, argv, options, "measure", "[--list] NAME [--seed N] [--json]");
    arguments.name = name.value_or("");
    return name.has_value();
}

} // namespace

int runMain(int argc, const char **argv)
{
    Arguments arguments;
    if (!parse(argc, argv, arguments))
        return kExitUsage;
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::FATAL;
    const std::vector<Measurement> measurements = allMeasurements();
    if (arguments.list != 0) {
        for (const Measurement &measurement : measurements)
            std::cout << measurement.name << "\t" << measurement.description << '\n';
        return 0;
    }
    const auto found = std::find_if(
            measurements.begin(), measurements.end(),
            [&](const Measurement &measurement) { return measurement.name == arguments.name; });
    if (found == measurements.end()) {
        std::cerr << "no measurement named '" << arguments.name << "'; see --list\n";
        return kExitUsage;
    }
    const nlohmann::json figures = found->run(static_cast<std::uint64_t>(arguments.seed));
    if (arguments.json != 0)
        std::cout << figures.dump() << std::endl;
    return 0;
}

} // namespace chicorywick::measure

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    return chicorywick::measure::runMain(argc, const_cast<const char **>(argv));
}
