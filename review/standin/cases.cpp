#include "cases.h"

#include "deployment.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <thread>

namespace chicorywick::review {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

std::string jobId(int number)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016x", 0x5c0e7a00U + static_cast<unsigned>(number));
    return text.data();
}

json step(int count, int estimatedMs, int cpu = 500)
{
    return {{"count", count}, {"cpu", cpu}, {"mem_mb", 256}, {"estimated_ms", estimatedMs}};
}

json shortJob(int tasks, int workMs, int cpu = 500)
{
    return {{"spec", "work " + std::to_string(workMs)},
            {"steps", json::array({step(tasks, workMs, cpu)})}};
}

json lastingJob(const std::string &spec, int tasks)
{
    json lasting = step(tasks, 500);
    lasting["perpetual"] = true;
    lasting["may_miss"] = 1;
    return {{"spec", spec}, {"steps", json::array({lasting})}};
}

Runner &busiest(Deployment &deployment)
{
    return **std::max_element(deployment.runners().begin(), deployment.runners().end(),
                              [](const auto &left, const auto &right) {
                                  return left->runningTasks() < right->runningTasks();
                              });
}

// Waits until all jobs are shown in a final state; returns those that are not.
std::vector<std::string> awaitEnd(Deployment &deployment, const std::string &queue,
                                  const std::vector<std::string> &jobs, std::chrono::seconds limit)
{
    const auto deadline = Clock::now() + limit;
    std::vector<std::string> open = jobs;
    while (!open.empty() && Clock::now() < deadline) {
        std::erase_if(open, [&](const std::string &id) {
            return deployment.stateOf(queue, id) == "completed";
        });
        std::this_thread::sleep_for(200ms);
    }
    return open;
}

} // namespace

// Runners crash one after another and are back within a fraction of a second, under their ids.
bool runRestarts(bool hasTrouble, Record &record)
{
    constexpr int kRunners = 9;
    constexpr auto kTraffic = 60s;
    constexpr auto kDownTime = 100ms;
    Deployment deployment({.daemons = 3, .runners = {{"s", kRunners}}}, {{"q", "s"}}, record);
    if (!deployment.waitUntilReady())
        return false;
    std::vector<std::string> jobs;
    int crashes = 0;
    const auto start = Clock::now();
    auto nextCrash = start + 3s;
    while (Clock::now() - start < kTraffic) {
        const std::string id = jobId(static_cast<int>(jobs.size()));
        if (deployment.submit("q", id, shortJob(1, jobs.size() % 2 == 0 ? 150 : 900)))
            jobs.push_back(id);
        if (hasTrouble && Clock::now() >= nextCrash) {
            deployment.onLoop([&] {
                busiest(deployment).crash(kDownTime);
                ++crashes;
            });
            nextCrash += 2'500ms;
        }
        std::this_thread::sleep_for(190ms);
    }
    const auto open = awaitEnd(deployment, "q", jobs, 14s);
    record.add(std::to_string(jobs.size()) + " jobs, " + std::to_string(crashes) + " crashes, "
               + std::to_string(open.size()) + " jobs not completed");
    return !jobs.empty();
}

// The operator removes the route of a queue with a lasting job, then machines are due for upkeep.
bool runRemovedRoute(bool hasTrouble, Record &record)
{
    Deployment deployment({.daemons = 3, .runners = {{"s", 4}, {"t", 4}}},
                          {{"q", "s"}, {"lasting", "t"}}, record);
    if (!deployment.waitUntilReady())
        return false;
    if (!deployment.submit("lasting", jobId(9'000), lastingJob("last", 3)))
        return false;
    std::this_thread::sleep_for(5s);
    if (hasTrouble)
        deployment.configure({{"q", "s"}});
    else
        deployment.configure({{"q", "s"}, {"lasting", "t"}, {"other", "s"}});
    std::this_thread::sleep_for(4s);
    deployment.requestWave(1, {"m4", "m5", "m6", "m7"}, 1);
    std::vector<std::string> jobs;
    const auto start = Clock::now();
    while (Clock::now() - start < 70s) {
        const std::string id = jobId(static_cast<int>(jobs.size()));
        if (deployment.submit("q", id, shortJob(2, 600)))
            jobs.push_back(id);
        std::this_thread::sleep_for(300ms);
    }
    const auto open = awaitEnd(deployment, "q", jobs, 14s);
    for (const std::string &id : open)
        record.addBreach("LOST", "job " + id
                                         + " was accepted and has not completed 14 s after the "
                                           "end of the traffic");
    // The rule counts machines on which processes end by themselves three times, two at least.
    const std::vector<int> ends = deployment.ownEnds();
    const auto machines =
            std::count_if(ends.begin(), ends.end(), [](int count) { return count >= 3; });
    if (machines >= 2)
        record.addBreach("Fault", "on " + std::to_string(machines) + " of "
                                          + std::to_string(ends.size())
                                          + " machines the daemon has ended by itself three times");
    record.add(std::to_string(jobs.size())
               + " jobs were accepted, wave: " + deployment.waveState(1));
    return true;
}

// A lasting job's tasks fail shortly after each start.
bool runFailingTasks(bool hasTrouble, Record &record)
{
    constexpr int kLastingTasks = 34;
    Deployment deployment({.daemons = 3, .runners = {{"s", 4}, {"t", 4}}},
                          {{"q", "s"}, {"lasting", "t"}}, record);
    if (!deployment.waitUntilReady())
        return false;
    const std::string failing = jobId(9'000);
    if (!deployment.submit("lasting", failing,
                           lastingJob(hasTrouble ? "fail 10" : "last", kLastingTasks)))
        return false;
    std::vector<std::string> jobs;
    const auto start = Clock::now();
    while (Clock::now() - start < 70s) {
        json job = shortJob(2, 600);
        json second = step(1, 600);
        second["after"] = {0};
        job["steps"].push_back(second);
        const std::string id = jobId(static_cast<int>(jobs.size()));
        if (deployment.submit("q", id, job))
            jobs.push_back(id);
        std::this_thread::sleep_for(100ms);
    }
    const auto open = awaitEnd(deployment, "q", jobs, 14s);
    deployment.onLoop([&] {
        const RunLog &log = deployment.log();
        for (int index = 0; index < kLastingTasks; ++index) {
            const std::string task = failing + ".0.0." + std::to_string(index);
            if (log.idleTime(task) > 9s)
                record.addBreach("LOST", "nothing of the lasting task " + task + " has run for "
                                                 + std::to_string(log.idleTime(task).count())
                                                 + " ms");
        }
        for (const std::string &id : open) {
            const bool isFirstStepDone =
                    log.idleTime(id + ".0.0.0") > 3s && log.idleTime(id + ".0.0.1") > 3s;
            if (isFirstStepDone && !log.hasStarted(id + ".0.1.0"))
                record.addBreach("LOST", "job " + id
                                                 + ": its first step is done, nothing of it "
                                                   "has run for three seconds and its second "
                                                   "step has not started");
        }
        record.add(std::to_string(jobs.size()) + " jobs were accepted, "
                   + std::to_string(open.size())
                   + " are not shown as completed; the lasting job had "
                   + std::to_string(log.starts(failing)) + " starts; the largest row had "
                   + std::to_string(deployment.store().largestRow()) + " bytes, and "
                   + std::to_string(deployment.store().oversizedRows())
                   + " were refused as too large");
    });
    return !jobs.empty();
}

// The control of machines answers slowly while a wave runs.
bool runSlowUpkeep(bool hasTrouble, Record &record)
{
    constexpr int kServices = 5;
    constexpr int kRunnersPerService = 2;
    constexpr int kTimesSlower = 50;
    Size size{.daemons = 3};
    std::vector<Queue> queues;
    std::vector<std::string> machines;
    for (int service = 0; service < kServices; ++service) {
        const std::string name(1, static_cast<char>('s' + service));
        size.runners.emplace_back(name, kRunnersPerService);
        queues.push_back({.name = "queue-" + name, .service = name});
    }
    for (int machine = 0; machine < kServices * kRunnersPerService; ++machine)
        machines.push_back("m" + std::to_string(machine));
    Deployment deployment(size, queues, record);
    if (!deployment.waitUntilReady())
        return false;
    deployment.requestWave(1, machines, 2);
    std::this_thread::sleep_for(1s);
    if (hasTrouble)
        deployment.onLoop([&] { deployment.machineControl().setSlowness(kTimesSlower); });
    std::this_thread::sleep_for(20s);
    deployment.onLoop([&] { deployment.machineControl().setSlowness(1); });
    record.add("the control of machines answers quickly");
    std::this_thread::sleep_for(20s);
    std::map<std::string, std::vector<std::string>> jobs;
    int number = 0;
    const auto start = Clock::now();
    while (Clock::now() - start < 6s) {
        for (const Queue &queue : queues) {
            const std::string id = jobId(number++);
            if (deployment.submit(queue.name, id, shortJob(2, 600)))
                jobs[queue.name].push_back(id);
        }
        std::this_thread::sleep_for(500ms);
    }
    std::this_thread::sleep_for(14s);
    for (const auto &[queue, accepted] : jobs)
        for (const std::string &id : awaitEnd(deployment, queue, accepted, 1s))
            record.addBreach("LOST", "job " + id + " of " + queue
                                             + " was accepted, and 14 s after the end of the "
                                               "traffic no task of it has started, on two "
                                               "runners that run nothing");
    std::size_t begun = 0;
    deployment.onLoop([&] { begun = deployment.machineControl().begun(1); });
    record.add(std::to_string(number) + " jobs were handed in; wave: " + deployment.waveState(1)
               + ", " + std::to_string(begun) + " of " + std::to_string(machines.size())
               + " upkeeps have begun");
    return number > 0;
}

// Agents of another kind on the machines of the runners register in the same table, with a service
// that no configuration names.
bool runForeignEntries(bool hasTrouble, Record &record)
{
    constexpr std::size_t kRunners = 6;
    Deployment deployment({.daemons = 3, .runners = {{"s", kRunners}}}, {{"q", "s"}}, record);
    if (!deployment.waitUntilReady())
        return false;
    std::vector<std::string> jobs;
    std::size_t agents = 0;
    const auto start = Clock::now();
    auto nextAgent = start + 5s;
    while (Clock::now() - start < 40s) {
        const std::string id = jobId(static_cast<int>(jobs.size()));
        if (deployment.submit("q", id, shortJob(2, 2'000)))
            jobs.push_back(id);
        if (hasTrouble && Clock::now() >= nextAgent && agents < kRunners) {
            deployment.onLoop([&] { deployment.addAgent(agents); });
            ++agents;
            nextAgent += 4s;
        }
        std::this_thread::sleep_for(300ms);
    }
    std::this_thread::sleep_for(14s);
    for (const std::string &id : awaitEnd(deployment, "q", jobs, 1s))
        record.addBreach("LOST", "job " + id
                                         + " was accepted, and 14 s after the end of the "
                                           "traffic it is not completed");
    record.add(std::to_string(jobs.size()) + " jobs were accepted, " + std::to_string(agents)
               + " agents have registered");
    return !jobs.empty();
}

// Plays short jobs on a service beside a lasting job; each of them has to start.
bool runBesideLastingJob(int runners, const json &lasting, Record &record)
{
    Deployment deployment({.daemons = 3, .runners = {{"s", runners}}},
                          {{"q", "s"}, {"lasting", "s"}}, record);
    if (!deployment.waitUntilReady())
        return false;
    if (!deployment.submit("lasting", jobId(9'000), lasting))
        return false;
    std::this_thread::sleep_for(2s);
    std::vector<std::string> jobs;
    const auto start = Clock::now();
    while (Clock::now() - start < 20s) {
        const std::string id = jobId(static_cast<int>(jobs.size()));
        if (deployment.submit("q", id, shortJob(2, 600)))
            jobs.push_back(id);
        std::this_thread::sleep_for(300ms);
    }
    std::this_thread::sleep_for(14s);
    const auto open = awaitEnd(deployment, "q", jobs, 3s);
    deployment.onLoop([&] {
        for (const std::string &id : open)
            if (deployment.log().starts(id) == 0)
                record.addBreach("LOST", "job " + id
                                                 + " was accepted, and 14 s after the end of "
                                                   "the traffic nothing of it has started");
        record.add("the lasting job had " + std::to_string(deployment.log().starts(jobId(9'000)))
                   + " starts");
    });
    record.add(std::to_string(jobs.size()) + " jobs were accepted, " + std::to_string(open.size())
               + " are not shown as completed");
    return !jobs.empty();
}

// A lasting job requires a label that no runner has.
bool runUnmetLabel(bool hasTrouble, Record &record)
{
    constexpr int kTasks = 5;
    json lasting = lastingJob("last", kTasks);
    lasting["steps"][0]["requires"] = hasTrouble ? "special" : kCommonLabel;
    return runBesideLastingJob(kTasks, lasting, record);
}

// A lasting job wants more tasks, one a runner, than its service has runners.
bool runWideJob(bool hasTrouble, Record &record)
{
    constexpr int kRunners = 4;
    constexpr int kWideTasks = 28;
    json lasting = lastingJob("last", hasTrouble ? kWideTasks : kRunners);
    lasting["steps"][0]["max_per_server"] = 1;
    return runBesideLastingJob(kRunners, lasting, record);
}

} // namespace chicorywick::review
