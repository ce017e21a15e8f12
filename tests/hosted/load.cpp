#include "load.h"

#include "hosted_deployment.h"
#include "processor_quota.h"

#include <chicorywick/base/rng.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <mutex>
#include <optional>
#include <queue>
#include <sstream>
#include <thread>
#include <utility>

namespace chicorywick::hosted {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int kSubmitters = 256;
constexpr int kTasksPerJob = 5;
constexpr std::uint64_t kLongestCancelDelayMs = 1'000;
constexpr const char *kAgeBuckets = "chicorywick_start_jobs_age_seconds_bucket{le=\"";
constexpr const char *kEvents = "chicorywick_events_total{event=\"";

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

// Adds the samples whose name starts with a prefix, by the label that follows it.
void addSamples(const std::string &page, const std::string &prefix,
                std::map<std::string, double> &sums)
{
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t quote = line.find('"', prefix.size());
        if (line.starts_with(prefix) && quote != std::string::npos)
            sums[line.substr(prefix.size(), quote - prefix.size())] +=
                    std::stod(line.substr(line.rfind(' ')));
    }
}

struct Traffic
{
    std::mutex mutex;
    int accepted = 0;
    int refused = 0;
    int unsent = 0; ///< all submitters waited for answers until the end of the load
    std::vector<double> submitMs;
    std::map<std::string, Clock::time_point> cancelledAt; ///< acknowledged
};

struct Call
{
    Clock::time_point time;
    int job = 0;
    bool isCancellation = false;

    auto operator<=>(const Call &) const = default;
};

// Submits every kSubmitters-th job of the plan and cancels some of them. A call that is not
// answered delays the next ones.
class Submitter
{
public:
    Submitter(const LoadPlan &plan, const HostedDeployment &deployment, Traffic &traffic,
              Clock::time_point start)
        : plan_(plan)
        , deployment_(deployment)
        , traffic_(traffic)
        , start_(start)
    {}

    void run(int number)
    {
        scheduleSubmission(number);
        while (!calls_.empty()) {
            const Call call = calls_.top();
            calls_.pop();
            std::this_thread::sleep_until(call.time);
            call.isCancellation ? cancel(call.job) : submit(call.job);
        }
    }

private:
    static std::string idOf(int job) { return "load" + std::to_string(job); }

    void scheduleSubmission(int job)
    {
        if (job < plan_.rate * plan_.seconds)
            calls_.push({.time = start_ + 1'000ms * job / plan_.rate, .job = job});
    }

    void submit(int job)
    {
        scheduleSubmission(job + kSubmitters);
        if (Clock::now() > start_ + std::chrono::seconds(plan_.seconds)) {
            const std::lock_guard lock(traffic_.mutex);
            ++traffic_.unsent;
            return;
        }
        base::Rng rng(plan_.seed * 1'000'000 + static_cast<std::uint64_t>(job));
        const std::size_t size = rng.below(static_cast<std::uint64_t>(plan_.payloadBytes) + 1);
        std::string spec = idOf(job) + ' ';
        spec.resize(std::max(spec.size(), size), 'x');
        const auto sent = Clock::now();
        const int status =
                deployment_.submit(job % plan_.daemons, idOf(job),
                                   {.spec = std::move(spec), .estimate = plan_.taskDuration});
        const auto answered = Clock::now();
        if (status == 200 && rng.chance(plan_.cancelled))
            calls_.push({.time = answered + Milliseconds(rng.below(kLongestCancelDelayMs)),
                         .job = job,
                         .isCancellation = true});
        const std::lock_guard lock(traffic_.mutex);
        ++(status == 200 ? traffic_.accepted : traffic_.refused);
        traffic_.submitMs.push_back(
                std::chrono::duration<double, std::milli>(answered - sent).count());
    }

    void cancel(int job)
    {
        if (deployment_.cancel((job + 1) % plan_.daemons, idOf(job)) != 200)
            return;
        const std::lock_guard lock(traffic_.mutex);
        traffic_.cancelledAt[idOf(job)] = Clock::now();
    }

    const LoadPlan &plan_;
    const HostedDeployment &deployment_;
    Traffic &traffic_;
    Clock::time_point start_;
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls_;
};

CancelledStarts findCancelledStarts(const std::vector<JobStart> &starts, const Traffic &traffic)
{
    CancelledStarts found;
    for (const JobStart &start : starts) {
        const auto cancelled = traffic.cancelledAt.find(start.job);
        if (cancelled == traffic.cancelledAt.end() || start.time <= cancelled->second)
            continue;
        const auto delay = std::chrono::duration_cast<Milliseconds>(start.time - cancelled->second);
        ++found.count;
        found.late += delay > kCancelBound ? 1 : 0;
        found.longest = std::max(found.longest, delay);
    }
    return found;
}

} // namespace

LoadReport runLoad(const LoadPlan &plan)
{
    LoadReport report;
    HostedDeployment deployment(plan.daemons, plan.runners, plan.seed);
    deployment.setTaskDuration(plan.taskDuration);
    report.isReady = deployment.waitUntilReady();
    if (!report.isReady)
        return report;
    std::vector<pid_t> processes;
    std::vector<ProcessUsage> before;
    for (int i = 0; i < plan.daemons; ++i) {
        processes.push_back(deployment.daemon(i).pid());
        before.push_back(usageOf(processes.back()));
    }
    std::optional<ProcessorQuota> quota;
    if (plan.share > 0)
        quota.emplace(processes, plan.share);
    std::jthread sampler([&](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            report.standInDelay = std::max(report.standInDelay, deployment.standInDelay());
            std::this_thread::sleep_for(50ms);
        }
    });

    Traffic traffic;
    const auto start = Clock::now();
    std::vector<std::thread> submitters;
    for (int number = 0; number < kSubmitters; ++number)
        submitters.emplace_back(
                [&, number] { Submitter(plan, deployment, traffic, start).run(number); });
    for (std::thread &submitter : submitters)
        submitter.join();
    report.accepted = traffic.accepted;
    report.refused = traffic.refused;
    report.unsent = traffic.unsent;
    report.cancellations = static_cast<int>(traffic.cancelledAt.size());
    if (plan.cancelled > 0)
        std::this_thread::sleep_for(plan.drain);
    else
        report.isDone = e2e::waitUntil(plan.drain, [&] {
            return deployment.acknowledgedTasks() >= report.accepted * kTasksPerJob;
        });
    const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
    sampler.request_stop();
    sampler.join();
    quota.reset();

    std::map<std::string, double> ages;
    std::map<std::string, double> events;
    for (int i = 0; i < plan.daemons; ++i) {
        const std::string page = deployment.metrics(i);
        addSamples(page, kAgeBuckets, ages);
        addSamples(page, kEvents, events);
        const ProcessUsage usage = usageOf(processes[static_cast<std::size_t>(i)]);
        report.measured["daemons"].push_back(
                {{"cpu_s", usage.cpuSeconds - before[static_cast<std::size_t>(i)].cpuSeconds},
                 {"peak_mb", usage.peakMb}});
    }
    const std::vector<JobStart> starts = deployment.jobStarts();
    report.starts = static_cast<int>(starts.size());
    report.tasksDone = deployment.acknowledgedTasks();
    report.cancelledStarts = findCancelledStarts(starts, traffic);
    report.violations = deployment.violations();
    std::vector<double> &times = traffic.submitMs;
    std::sort(times.begin(), times.end());
    report.measured["elapsed_s"] = elapsed;
    report.measured["submit_ms_p50"] = times[times.size() / 2];
    report.measured["submit_ms_p99"] = times[times.size() * 99 / 100];
    report.measured["start_view_age_s_up_to"] = ages;
    for (const char *name : {"loop.delayed", "view.outdated", "view.current"})
        report.measured["events"][name] = events[name];
    return report;
}

} // namespace chicorywick::hosted
