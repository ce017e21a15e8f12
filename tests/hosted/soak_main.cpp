#include "soak.h"

#include <popt.h>

#include <iostream>

int main(int argc, char **argv)
{
    int seed = 1;
    int seconds = 20;
    int crashingJobs = 0;
    int accountLimit = 0;
    int changesConfigurations = 0;
    const poptOption options[] = {
            {"seed", 's', POPT_ARG_INT, &seed, 0, "Seed of the random faults", "N"},
            {"seconds", 't', POPT_ARG_INT, &seconds, 0, "Duration of the faults in seconds", "S"},
            {"crashing-jobs", 'c', POPT_ARG_INT, &crashingJobs, 0,
             "Number of jobs that crash each runner that starts them", "N"},
            {"account-limit", 'a', POPT_ARG_INT, &accountLimit, 0,
             "Tasks of a client account that may run at once, in several cells", "N"},
            {"configurations", 'k', POPT_ARG_NONE, &changesConfigurations, 0,
             "Store large configurations, and cut and narrow the links to the store", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("soak", argc, const_cast<const char **>(argv), options, 0);
    const int status = poptGetNextOpt(context);
    poptFreeContext(context);
    if (status < -1 || seconds < 1 || crashingJobs < 0 || accountLimit < 0) {
        std::cerr << "usage: soak [--seed N] [--seconds S] [--crashing-jobs N] [--account-limit N] "
                     "[--configurations]\n";
        return 2;
    }
    const auto report =
            chicorywick::hosted::runSoak({.seed = static_cast<std::uint64_t>(seed),
                                          .duration = std::chrono::seconds(seconds),
                                          .crashingJobs = crashingJobs,
                                          .accountLimit = accountLimit,
                                          .changesConfigurations = changesConfigurations != 0});
    std::cout << "seed " << seed << ": " << report.accepted << " jobs accepted, "
              << report.acceptedLimited << " of an account with a limit, and "
              << report.acceptedCrashing << " that crash runners, " << report.crashes
              << " runner crashes, " << report.faults << " faults, " << report.configurations
              << " configurations, " << report.violations.size() << " violations\n";
    for (const std::string &violation : report.violations)
        std::cout << "  " << violation << '\n';
    return report.violations.empty() ? 0 : 1;
}
