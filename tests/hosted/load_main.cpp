#include "hosted_deployment.h"

#include <popt.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

struct LoadPlan
{
    int daemons = 3;
    int runners = 60;
    int rate = 100;
    int seconds = 10;
};

struct ProcessUsage
{
    double cpuSeconds = 0;
    double peakMb = 0;
};

// Reads processor time and peak memory of a process from /proc.
ProcessUsage usageOf(pid_t process)
{
    ProcessUsage usage;
    const std::string directory = "/proc/" + std::to_string(process);
    std::ifstream stat(directory + "/stat");
    std::string field;
    constexpr int kUserTime = 14;
    constexpr int kSystemTime = 15;
    for (int number = 1; number <= kSystemTime && stat >> field; ++number)
        if (number == kUserTime || number == kSystemTime)
            usage.cpuSeconds += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status(directory + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            usage.peakMb = std::stod(line.substr(6)) / 1'000;
    return usage;
}

json runLoad(const LoadPlan &plan)
{
    constexpr int kSubmitters = 8;
    constexpr int kTasksPerJob = 5;
    HostedDeployment deployment(plan.daemons, plan.runners, 1);
    if (!deployment.waitUntilReady())
        return {{"error", "the daemons did not become ready"}};
    std::vector<ProcessUsage> before;
    for (int i = 0; i < plan.daemons; ++i)
        before.push_back(usageOf(deployment.daemon(i).pid()));
    std::atomic<int> accepted = 0;
    std::atomic<int> refused = 0;
    std::vector<std::vector<double>> times(kSubmitters);
    const auto start = Clock::now();
    std::vector<std::thread> submitters;
    for (int number = 0; number < kSubmitters; ++number)
        submitters.emplace_back([&, number] {
            const int total = plan.rate * plan.seconds;
            for (int job = number; job < total; job += kSubmitters) {
                std::this_thread::sleep_until(start + 1000ms * job / plan.rate);
                const auto sent = Clock::now();
                const bool isAccepted =
                        deployment.submit(job % plan.daemons, "load" + std::to_string(job)) == 200;
                ++(isAccepted ? accepted : refused);
                times[static_cast<std::size_t>(number)].push_back(
                        std::chrono::duration<double, std::milli>(Clock::now() - sent).count());
            }
        });
    for (std::thread &submitter : submitters)
        submitter.join();
    const bool isDone = e2e::waitUntil(
            30s, [&] { return deployment.acknowledgedTasks() >= accepted * kTasksPerJob; });
    const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
    std::vector<double> all;
    for (const auto &submitterTimes : times)
        all.insert(all.end(), submitterTimes.begin(), submitterTimes.end());
    std::sort(all.begin(), all.end());
    json result{{"accepted", accepted.load()},
                {"refused", refused.load()},
                {"tasks_done", deployment.acknowledgedTasks()},
                {"all_done", isDone},
                {"elapsed_s", elapsed},
                {"submit_ms_p50", all[all.size() / 2]},
                {"submit_ms_p99", all[all.size() * 99 / 100]},
                {"violations", deployment.violations().size()}};
    for (int i = 0; i < plan.daemons; ++i) {
        const ProcessUsage usage = usageOf(deployment.daemon(i).pid());
        result["daemons"].push_back(
                {{"cpu_s", usage.cpuSeconds - before[static_cast<std::size_t>(i)].cpuSeconds},
                 {"peak_mb", usage.peakMb}});
    }
    return result;
}

} // namespace

} // namespace chicorywick::hosted

int main(int argc, char **argv)
{
    chicorywick::hosted::LoadPlan plan;
    const poptOption options[] = {
            {"daemons", 'd', POPT_ARG_INT, &plan.daemons, 0, "Number of entry instances", "N"},
            {"runners", 'r', POPT_ARG_INT, &plan.runners, 0, "Number of runners", "N"},
            {"rate", 'q', POPT_ARG_INT, &plan.rate, 0, "Jobs per second, with five tasks each",
             "N"},
            {"seconds", 't', POPT_ARG_INT, &plan.seconds, 0, "Duration of the load in seconds",
             "S"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("load", argc, const_cast<const char **>(argv), options, 0);
    const int status = poptGetNextOpt(context);
    poptFreeContext(context);
    if (status < -1 || plan.daemons < 1 || plan.runners < 1 || plan.rate < 1 || plan.seconds < 1) {
        std::cerr << "usage: load [--daemons N] [--runners N] [--rate N] [--seconds S]\n";
        return 2;
    }
    std::cout << chicorywick::hosted::runLoad(plan).dump(2) << '\n';
    return 0;
}
