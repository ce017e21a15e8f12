#include "load.h"

#include <popt.h>

#include <iostream>

namespace {

nlohmann::json toJson(const chicorywick::hosted::LoadReport &report)
{
    if (!report.isReady)
        return {{"error", "the daemons did not become ready"}};
    nlohmann::json result = report.measured;
    result["accepted"] = report.accepted;
    result["refused"] = report.refused;
    result["unsent"] = report.unsent;
    result["cancellations"] = report.cancellations;
    result["starts"] = report.starts;
    result["tasks_done"] = report.tasksDone;
    if (report.cancellations == 0)
        result["all_done"] = report.isDone;
    result["starts_after_cancellation"] = {{"count", report.cancelledStarts.count},
                                           {"late", report.cancelledStarts.late},
                                           {"longest_ms", report.cancelledStarts.longest.count()}};
    result["stand_in_delay_ms"] = report.standInDelay.count();
    result["violations"] = report.violations.size();
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    chicorywick::hosted::LoadPlan plan;
    int taskMs = static_cast<int>(plan.taskDuration.count());
    int drainSeconds = static_cast<int>(plan.drain.count());
    int seed = static_cast<int>(plan.seed);
    const poptOption options[] = {
            {"daemons", 'd', POPT_ARG_INT, &plan.daemons, 0, "Number of entry instances", "N"},
            {"runners", 'r', POPT_ARG_INT, &plan.runners, 0, "Number of runners", "N"},
            {"rate", 'q', POPT_ARG_INT, &plan.rate, 0, "Jobs per second, with five tasks each",
             "N"},
            {"seconds", 't', POPT_ARG_INT, &plan.seconds, 0, "Duration of the load in seconds",
             "S"},
            {"drain", 0, POPT_ARG_INT, &drainSeconds, 0,
             "Longest wait in seconds for the end of the jobs", "S"},
            {"share", 's', POPT_ARG_DOUBLE, &plan.share, 0,
             "Share of a core for each entry instance; 0: no limit", "X"},
            {"cancelled", 'c', POPT_ARG_DOUBLE, &plan.cancelled, 0,
             "Share of the jobs that are cancelled within a second", "X"},
            {"task-ms", 0, POPT_ARG_INT, &taskMs, 0, "Duration of a task in milliseconds", "MS"},
            {"payload", 'p', POPT_ARG_INT, &plan.payloadBytes, 0, "Largest payload of a job",
             "BYTES"},
            {"seed", 0, POPT_ARG_INT, &seed, 0, "Seed of payloads and cancellations", "N"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("load", argc, const_cast<const char **>(argv), options, 0);
    const int status = poptGetNextOpt(context);
    poptFreeContext(context);
    const bool areCountsValid = plan.daemons >= 1 && plan.runners >= 1 && plan.rate >= 1
                                && plan.seconds >= 1 && taskMs >= 1 && drainSeconds >= 0
                                && plan.payloadBytes >= 0 && seed >= 0;
    const bool areSharesValid =
            plan.share >= 0 && plan.share <= 1 && plan.cancelled >= 0 && plan.cancelled <= 1;
    if (status < -1 || !areCountsValid || !areSharesValid) {
        std::cerr << "usage: load [--daemons N] [--runners N] [--rate N] [--seconds S] [--drain S]"
                     " [--share X] [--cancelled X] [--task-ms MS] [--payload BYTES] [--seed N]\n";
        return 2;
    }
    plan.taskDuration = std::chrono::milliseconds(taskMs);
    plan.drain = std::chrono::seconds(drainSeconds);
    plan.seed = static_cast<std::uint64_t>(seed);
    std::cout << toJson(chicorywick::hosted::runLoad(plan)).dump(2) << '\n';
    return 0;
}
