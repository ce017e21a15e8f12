#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>

int main(int argc, char **argv)
{
    using namespace chicorywick::review;
    const std::map<std::string, Case> cases = {{"control-down", controlDown},
                                               {"moved-queue", movedQueue},
                                               {"clean-exit", cleanExit},
                                               {"spread-jobs", spreadJobs},
                                               {"cut-in-wave", cutInWave}};
    constexpr int kCouldNotRun = 2;
    const auto chosen = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (chosen == cases.end()) {
        std::cerr << "usage: review-cases-2 CASE RECORD\n";
        return kCouldNotRun;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[2]);
    try {
        const bool hasRun = chosen->second(record, isTroubled);
        record.add("result", std::to_string(record.violations()) + " violations");
        if (record.violations() > 0)
            return 1;
        return hasRun ? 0 : kCouldNotRun;
    } catch (const std::exception &error) {
        record.add("result", std::string("could not run: ") + error.what());
        return kCouldNotRun;
    }
}
