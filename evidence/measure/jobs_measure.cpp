#include "evidence/measure/jobs_measure.h"

#include "evidence/measure/measurement.h"

#include <iostream>

namespace chicorywick::measure {

namespace {

// Goals from the requirements, not derived from earlier runs.
constexpr double kUrgentGoalSeconds = 8.3;
constexpr double kRowWritesGoal = 400.0 / 3;

void print(const std::string &title, const nlohmann::json &figures)
{
    std::cout << title << '\n';
    for (const auto &[name, value] : figures.items()) {
        if (!value.is_array()) {
            std::cout << "  " << name << ": " << value << '\n';
            continue;
        }
        for (const auto &row : value)
            std::cout << "  " << name << ": " << row << '\n';
    }
}

nlohmann::json run(std::uint64_t seed)
{
    nlohmann::json figures;
    figures["goals"] = {{"urgent_start_s", kUrgentGoalSeconds},
                        {"row_writes_a_second", kRowWritesGoal}};
    print("goals", figures["goals"]);
    figures["decisions"] = measureDecisions(seed);
    print("decisions", figures["decisions"]);
    for (const JobsDeployment &deployment : {kToday, kTarget}) {
        figures["urgent"].push_back(measureUrgent(deployment, seed));
        print("urgent starts in full pools", figures["urgent"].back());
    }
    figures["throughput"] = measureThroughput(seed);
    print("throughput at the target size", figures["throughput"]);
    for (const bool quarantine : {true, false})
        figures["bad_workers"].push_back(measureQuarantine(quarantine, seed));
    print("10% bad workers", {{"run", figures["bad_workers"]}});
    return figures;
}

const Registration kJobs({.name = "jobs",
                          .description = "placement, urgent starts, packing, quarantine and writes "
                                         "of jobs at today's and the target's size",
                          .run = run});

} // namespace

} // namespace chicorywick::measure
