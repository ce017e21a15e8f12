#include "cases.h"

#include "deployment.h"

#include <thread>
#include <tuple>

namespace chicorywick::review {

namespace {

using namespace std::chrono_literals;

constexpr int kDaemons = 3;

std::string jobId(int number)
{
    constexpr const char *kDigits = "0123456789abcdef";
    std::string id = "5c0e7a21d94b3600";
    id[14] = kDigits[number / 16 % 16];
    id[15] = kDigits[number % 16];
    return id;
}

json step(int count, const TaskPlan &plan, std::int64_t estimatedMs)
{
    return {{"count", count},
            {"cpu", plan.cpuMillis},
            {"mem_mb", plan.memoryMib},
            {"estimated_ms", estimatedMs}};
}

json job(const std::vector<TaskPlan> &planByStep, const json &steps)
{
    return {{"spec", encode(planByStep)}, {"steps", steps}};
}

std::vector<RunnerSetup> runnersOf(const std::string &service, int count, int first = 0)
{
    std::vector<RunnerSetup> setups;
    for (int i = first; i < first + count; ++i)
        setups.push_back({.id = "i-" + service + "-" + std::to_string(i),
                          .machine = "m-" + std::to_string(i),
                          .service = service});
    return setups;
}

int tasksAtWork(Deployment &deployment, const std::string &id)
{
    int count = 0;
    deployment.onLoop([&] {
        for (const auto &[name, task] : deployment.log().tasks)
            count += name.starts_with(id) && !task.activeOn.empty() ? 1 : 0;
    });
    return count;
}

} // namespace

bool movedQueue(Record &record, bool isTroubled)
{
    constexpr int kJobs = 3;
    constexpr int kTasks = 4;
    std::vector<RunnerSetup> setups = runnersOf("press", 2);
    // The way to the zone of these runners takes longer.
    for (RunnerSetup &setup : setups)
        setup.replyDelay = 2ms;
    const std::vector<RunnerSetup> others = runnersOf("studio", 3, 2);
    setups.insert(setups.end(), others.begin(), others.end());
    Deployment deployment(record, kDaemons, setups);
    const Route book{.name = "books", .pathPrefix = "/books/", .service = "studio"};
    Route sheets{.name = "sheets", .pathPrefix = "/sheets/", .service = "press"};
    deployment.configure(3, {book, sheets});
    if (!deployment.waitUntilReady())
        return false;
    const TaskPlan plan{.cpuMillis = 2'000, .memoryMib = 256, .durationMs = 20'000};
    for (int i = 0; i < kJobs; ++i)
        if (!deployment.submit("/sheets/" + jobId(i),
                               job({plan}, json::array({step(kTasks, plan, 20'000)}))))
            return false;
    const bool areAllAtWork = waitUntil(10s, [&] {
        int atWork = 0;
        for (int i = 0; i < kJobs; ++i)
            atWork += tasksAtWork(deployment, jobId(i));
        return atWork == kJobs * kTasks;
    });
    if (!areAllAtWork)
        return false;
    std::this_thread::sleep_for(1s);
    if (isTroubled) {
        deployment.configure(4, {book});
        std::this_thread::sleep_for(2s);
        sheets.service = "studio";
        deployment.configure(7, {book, sheets});
    }
    std::this_thread::sleep_for(3s);
    deployment.stop(deployment.leader());
    return waitUntil(60s, [&] {
        for (int i = 0; i < kJobs; ++i)
            if (deployment.stateOf("/sheets/" + jobId(i)) != "completed")
                return false;
        return true;
    });
}

bool cleanExit(Record &record, bool isTroubled)
{
    constexpr int kTasks = 3;
    Deployment deployment(record, kDaemons, runnersOf("press", 4));
    deployment.configure(3, {{.name = "watch", .pathPrefix = "/watch/", .service = "press"}});
    if (!deployment.waitUntilReady())
        return false;
    const TaskPlan plan{.cpuMillis = 1'000, .memoryMib = 256, .durationMs = 0};
    json lasting = step(kTasks, plan, 500);
    lasting["perpetual"] = true;
    const std::string path = "/watch/" + jobId(0);
    if (!deployment.submit(path, job({plan}, json::array({lasting}))))
        return false;
    if (!waitUntil(10s, [&] { return tasksAtWork(deployment, jobId(0)) == kTasks; }))
        return false;
    std::this_thread::sleep_for(4s);
    const auto endTask = [&](int index, const char *how) {
        const std::string task = jobId(0) + ".0.0." + std::to_string(index);
        deployment.onLoop([&] {
            for (const auto &runner : deployment.runners())
                if (runner->endTask(task, how))
                    record.add("trouble", task + " ends by itself: " + how);
        });
        return task;
    };
    // With 3 s and 4 s of calm before it, the rule counts from 6 s after the last run.
    constexpr auto kRestartedWithin = 13s;
    const auto isRestarted = [&](const std::string &task) {
        return waitUntil(kRestartedWithin, [&] {
            bool isAtWork = false;
            deployment.onLoop([&] { isAtWork = !deployment.log().tasks[task].activeOn.empty(); });
            return isAtWork;
        });
    };
    if (!isRestarted(endTask(0, "failed")))
        record.violate("LOST", "the task that ended failed has not been started again for 13 s");
    deployment.stateOf(path);
    if (!isTroubled) {
        std::this_thread::sleep_for(kRestartedWithin);
        return true;
    }
    for (int index = 1; index < kTasks; ++index)
        if (!isRestarted(endTask(index, "done")))
            record.violate("LOST", "task " + std::to_string(index)
                                           + ", which lasts, ended done and has not been started "
                                             "again for 13 s; its runners are free");
    deployment.stateOf(path);
    endTask(0, "done");
    std::this_thread::sleep_for(2s);
    deployment.stateOf(path);
    return true;
}

bool spreadJobs(Record &record, bool isTroubled)
{
    constexpr int kRunners = 6;
    constexpr int kSpreadJobs = 24;
    constexpr int kPlainJobs = 3;
    Deployment deployment(record, kDaemons, runnersOf("press", kRunners));
    deployment.configure(
            3, {{.name = "audit", .pathPrefix = "/audit/", .service = "press", .priority = 0},
                {.name = "sheets", .pathPrefix = "/sheets/", .service = "press", .priority = 1}});
    if (!deployment.waitUntilReady())
        return false;
    const TaskPlan spreadPlan{.cpuMillis = 50, .memoryMib = 16, .durationMs = 50'000};
    json spread = step(kRunners + 1, spreadPlan, 50'000);
    spread["max_per_server"] = 1;
    const int spreadJobs = isTroubled ? kSpreadJobs : kPlainJobs;
    for (int i = 0; i < spreadJobs; ++i)
        if (!deployment.submit("/audit/" + jobId(i), job({spreadPlan}, json::array({spread}))))
            return false;
    const bool isAtWork = waitUntil(10s, [&] {
        int atWork = 0;
        for (int i = 0; i < spreadJobs; ++i)
            atWork += tasksAtWork(deployment, jobId(i));
        return atWork == spreadJobs * kRunners;
    });
    if (!isAtWork)
        return false;
    const TaskPlan plan{.cpuMillis = 100, .memoryMib = 16, .durationMs = 1'000};
    const auto plainPath = [](int i) { return "/sheets/" + jobId(kSpreadJobs + i); };
    for (int i = 0; i < kPlainJobs; ++i)
        if (!deployment.submit(plainPath(i), job({plan}, json::array({step(1, plan, 1'000)}))))
            return false;
    // The traffic has ended; finish_s later the jobs are asked for.
    constexpr auto kFinish = 14s;
    std::this_thread::sleep_for(kFinish);
    for (int i = 0; i < kPlainJobs; ++i)
        deployment.stateOf(plainPath(i));
    const int runsBefore = tasksAtWork(deployment, jobId(kSpreadJobs));
    std::this_thread::sleep_for(3s);
    std::int64_t used = 0;
    int neverStarted = 0;
    deployment.onLoop([&] {
        for (const auto &runner : deployment.runners())
            used += runner->usedCpuMillis();
        for (int i = 0; i < kPlainJobs; ++i)
            neverStarted += !deployment.log().tasks.contains(jobId(kSpreadJobs + i) + ".0.0.0");
    });
    record.add("check", std::to_string(used) + " of " + std::to_string(kRunners * 16'000)
                                + " thousandths of cores used");
    if (neverStarted > 0 && runsBefore == 0 && 2 * used < kRunners * 16'000)
        record.violate("LOST", std::to_string(neverStarted)
                                       + " accepted jobs have nothing running 14 s to 17 s after "
                                         "the end of the traffic");
    return true;
}

bool cutInWave(Record &record, bool isTroubled)
{
    constexpr int kJobs = 3;
    constexpr int kRunners = 3;
    Deployment deployment(record, kDaemons, runnersOf("press", kRunners));
    deployment.configure(3, {{.name = "sheets", .pathPrefix = "/sheets/", .service = "press"}});
    if (!deployment.waitUntilReady())
        return false;
    // The leader orders machines 3 s after its claim at the earliest.
    std::this_thread::sleep_for(5s);
    const json wave{{"wave", 1},
                    {"machines", json::array({"m-0", "m-1", "m-2"})},
                    {"duration_s", 26},
                    {"cap", 1}};
    deployment.onLoop([&] { deployment.store().put("op", "wave/1", wave); });
    record.add("operator", "writes op/wave/1: " + wave.dump());
    const int leader = deployment.leader();
    if (isTroubled) {
        std::this_thread::sleep_for(150ms);
        deployment.setCutFromStore(leader, true);
        std::this_thread::sleep_for(5'500ms);
        deployment.setCutFromStore(leader, false);
    }
    std::this_thread::sleep_for(12s);
    const TaskPlan plan{.cpuMillis = 1'000, .memoryMib = 256, .durationMs = 1'000};
    for (int i = 0; i < kJobs; ++i)
        deployment.submit("/sheets/" + jobId(i), job({plan}, json::array({step(2, plan, 1'000)})));
    // The traffic has ended; finish_s later the jobs are asked for.
    std::this_thread::sleep_for(14s);
    const int atWorkBefore = tasksAtWork(deployment, jobId(0));
    std::this_thread::sleep_for(3s);
    for (int i = 0; i < kJobs; ++i) {
        const std::string state = deployment.stateOf("/sheets/" + jobId(i));
        bool hasStarted = false;
        deployment.onLoop(
                [&] { hasStarted = deployment.log().tasks.contains(jobId(i) + ".0.0.0"); });
        if (!hasStarted && atWorkBefore == 0)
            record.violate("LOST", jobId(i) + " has nothing running and is " + state
                                           + "; all runners are up and empty");
    }
    deployment.onLoop([&] {
        record.add("check", std::to_string(deployment.machines().upkeeps()) + " upkeeps; status "
                                    + deployment.store().value("status", "", "wave/1"));
    });
    return true;
}

// Each pool has its peak in turn. The machine control is down for 5 s from shortly after the
// machines for the peak of the first pool have been ordered.
bool controlDown(Record &record, bool isTroubled)
{
    constexpr int kDaemonsHere = 2;
    constexpr int kPeaks = 7;
    constexpr int kEndsOfAFault = 3;
    std::vector<RunnerSetup> setups;
    for (const auto &[service, first, count] :
         {std::tuple("press", 0, 2), std::tuple("studio", 2, 2), std::tuple("reserve", 4, 4)}) {
        const auto added = runnersOf(service, count, first);
        setups.insert(setups.end(), added.begin(), added.end());
    }
    Deployment deployment(record, kDaemonsHere, setups, true, "reserve");
    deployment.configure(3, {{.name = "sheets", .pathPrefix = "/sheets/", .service = "press"},
                             {.name = "books", .pathPrefix = "/books/", .service = "studio"}});
    if (!deployment.waitUntilReady())
        return false;
    const auto pause = [&](std::chrono::milliseconds time) {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            deployment.restartEnded();
            std::this_thread::sleep_for(50ms);
        }
    };
    pause(5s);
    int number = 0;
    const auto submit = [&](const std::string &prefix, int tasks, std::int64_t durationMs) {
        const TaskPlan plan{.cpuMillis = 4'000, .memoryMib = 256, .durationMs = durationMs};
        deployment.submit(prefix + jobId(number++),
                          job({plan}, json::array({step(tasks, plan, durationMs)})));
    };
    for (int peak = 0; peak < kPeaks; ++peak) {
        submit("/sheets/", 20, 1'500);
        pause(300ms);
        if (isTroubled)
            deployment.onLoop([&] { deployment.machines().setDown(true); });
        record.add("trouble", isTroubled ? "the machine control answers 503 for 5 s" : "none");
        pause(2'700ms);
        submit("/books/", 20, 1'500);
        pause(2'300ms);
        deployment.onLoop([&] { deployment.machines().setDown(false); });
        pause(6'500ms);
    }
    int machinesWithFault = 0;
    for (const int count : deployment.ends()) {
        record.add("check", "a daemon has ended by itself " + std::to_string(count) + " times");
        machinesWithFault += count >= kEndsOfAFault ? 1 : 0;
    }
    deployment.onLoop(
            [&] { record.add("check", std::to_string(deployment.machines().moves()) + " moves"); });
    if (machinesWithFault >= 2)
        record.violate("Fault", "on two machines the process has ended by itself three times");
    return true;
}

} // namespace chicorywick::review
