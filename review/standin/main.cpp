#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>

using namespace chicorywick::review;

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

} // namespace

// usage: standin CASE RECORD-FILE; TROUBLE=0 in the environment leaves the disruption out.
int main(int argc, char **argv)
{
    const std::map<std::string, Case> cases{
            {"restart", runRestarts},  {"route", runRemovedRoute},    {"failing", runFailingTasks},
            {"upkeep", runSlowUpkeep}, {"agents", runForeignEntries}, {"label", runUnmetLabel},
            {"wide", runWideJob}};
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: standin CASE RECORD-FILE\n";
        return kCouldNotRun;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[2]);
    try {
        if (!found->second(hasTrouble, record))
            return kCouldNotRun;
    } catch (const std::exception &error) {
        record.add(std::string("the trial could not run: ") + error.what());
        return kCouldNotRun;
    }
    record.add(std::to_string(record.breaches()) + " breaches");
    return record.breaches() > 0 ? kBroken : kHeld;
}
