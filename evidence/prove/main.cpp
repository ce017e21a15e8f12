#include "evidence/command_line.h"
#include "evidence/prove/proof.h"

#include <glog/logging.h>

#include <algorithm>
#include <iostream>
#include <string>

namespace chicorywick::prove {

namespace {

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

struct Arguments
{
    int list = 0;
    long seed = 1;
    int runs = 0;
    int verbose = 0;
    std::string name;
};

bool parse(int argc, const char **argv, Arguments &arguments)
{
    const poptOption options[] = {
            {"list", 'l', POPT_ARG_NONE, &arguments.list, 0, "List the proofs", nullptr},
            {"seed", 's', POPT_ARG_LONG, &arguments.seed, 0, "Seed of the first run", "N"},
            {"runs", 'r', POPT_ARG_INT, &arguments.runs, 0, "Number of runs", "N"},
            {"verbose", 'v', POPT_ARG_NONE, &arguments.verbose, 0, "Write log messages to stderr",
             nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    const auto name =
            parseCommandLine(argc, argv, options, "prove", "[--list] NAME [--seed N] [--runs N]");
    arguments.name = name.value_or("");
    return name.has_value();
}

int runProof(const Proof &proof, const Arguments &arguments)
{
    const int runs = arguments.runs > 0 ? arguments.runs : proof.defaultRuns;
    int violations = 0;
    for (int i = 0; i < runs; ++i) {
        const std::uint64_t seed = static_cast<std::uint64_t>(arguments.seed) + i;
        const std::string violation = proof.run(seed);
        if (violation.empty())
            continue;
        ++violations;
        std::cout << "violation at seed " << seed << ":\n"
                  << violation << '\n'
                  << "replay: tools/prove " << proof.name << " --seed " << seed << " --runs 1\n";
    }
    std::cout << proof.name << ": " << runs << " runs, " << violations << " violations, seed "
              << arguments.seed << std::endl;
    return violations == 0 ? 0 : kExitViolation;
}

} // namespace

int runMain(int argc, const char **argv)
{
    Arguments arguments;
    if (!parse(argc, argv, arguments))
        return kExitUsage;
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = arguments.verbose != 0 ? google::INFO : google::FATAL;
    const std::vector<Proof> proofs = allProofs();
    if (arguments.list != 0) {
        for (const Proof &proof : proofs)
            std::cout << proof.name << "\t" << proof.description << '\n';
        return 0;
    }
    const auto found = std::find_if(proofs.begin(), proofs.end(), [&](const Proof &proof) {
        return proof.name == arguments.name;
    });
    if (found == proofs.end()) {
        std::cerr << "no proof named '" << arguments.name << "'; see --list\n";
        return kExitUsage;
    }
    return runProof(*found, arguments);
}

} // namespace chicorywick::prove

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    return chicorywick::prove::runMain(argc, const_cast<const char **>(argv));
}
