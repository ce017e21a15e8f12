#include "soak.h"

#include <popt.h>

#include <iostream>

int main(int argc, char **argv)
{
    int seed = 1;
    int seconds = 20;
    const poptOption options[] = {
            {"seed", 's', POPT_ARG_INT, &seed, 0, "Seed of the random faults", "N"},
            {"seconds", 't', POPT_ARG_INT, &seconds, 0, "Duration of the faults in seconds", "S"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("soak", argc, const_cast<const char **>(argv), options, 0);
    const int status = poptGetNextOpt(context);
    poptFreeContext(context);
    if (status < -1 || seconds < 1) {
        std::cerr << "usage: soak [--seed N] [--seconds S]\n";
        return 2;
    }
    const auto report = chicorywick::hosted::runSoak(static_cast<std::uint64_t>(seed),
                                                     std::chrono::seconds(seconds));
    std::cout << "seed " << seed << ": " << report.accepted << " jobs accepted, " << report.faults
              << " faults, " << report.violations.size() << " violations\n";
    for (const std::string &violation : report.violations)
        std::cout << "  " << violation << '\n';
    return report.violations.empty() ? 0 : 1;
}
