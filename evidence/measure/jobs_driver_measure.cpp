#include "evidence/measure/jobs_measure.h"

#include <algorithm>
#include <map>

namespace chicorywick::measure {

using namespace std::chrono_literals;

// Runs job drivers on the in-memory platform in virtual time.

namespace {

constexpr platform::Capacity kHalfWorker{.cpuMillis = 8000, .memoryMib = 16384};
constexpr platform::Capacity kUrgentSize{.cpuMillis = 6000, .memoryMib = 8192};
constexpr base::Duration kFillLease = 9min;

// Gives each worker two running jobs, in the state that earlier driver steps would leave.
std::size_t fill(JobsFake &fake, const JobsDeployment &deployment)
{
    std::vector<jobs::JobChange> changes;
    std::size_t written = 0;
    const auto flush = [&] {
        written += fake.write(changes);
        changes.clear();
        fake.time->advance(200ms);
    };
    for (int i = 0; i < deployment.workers * 2; ++i) {
        const std::string worker = "w" + std::to_string(i / 2);
        const std::string id = "fill" + std::to_string(i);
        const int pool = i / 2 % deployment.pools;
        const jobs::Job job = fake.makeJob(id, pool, jobs::JobClass::Normal, kHalfWorker,
                                           "t" + std::to_string(i % deployment.teams), "long")
                                      .start({worker, kHalfWorker, fake.clock.now() + kFillLease},
                                             fake.clock.now())
                                      .value()
                                      .confirmRunning(1)
                                      .value();
        static_cast<void>(fake.platform->startTask("z1", {.worker = worker,
                                                          .task = jobs::jobKey(job.spec().pool, id),
                                                          .fence = 1,
                                                          .lease = kFillLease - 3min,
                                                          .resources = kHalfWorker}));
        changes.push_back({job, 0});
        if (changes.size() == jobs::kMaxGroupedChanges)
            flush();
    }
    flush();
    return written;
}

std::map<std::string, base::TimePoint> firstStarts(const JobsFake &fake)
{
    std::map<std::string, base::TimePoint> starts;
    for (const platform::TaskRun &run : fake.platform->taskRuns())
        starts.emplace(run.task, run.startedAt);
    return starts;
}

} // namespace

nlohmann::json measureUrgent(const JobsDeployment &deployment, std::uint64_t seed)
{
    JobsFake fake(deployment, seed);
    fake.platform->setTaskBehaviour([](const platform::TaskStart &start) {
        const bool isUrgent = start.task.find("urgent") != std::string::npos;
        return platform::TaskBehaviour{.runTime = isUrgent ? 20s : 3600s,
                                       .cpuMillis = start.resources.cpuMillis,
                                       .memoryMib = start.resources.memoryMib};
    });
    fake.addWorkers();
    const std::size_t filled = fill(fake, deployment);
    fake.run(10s);
    fake.stepMillis.clear();
    const auto before = fake.platform->counters();
    const base::TimePoint submissionStart = fake.clock.now();

    base::Rng rng(seed);
    std::map<std::string, base::TimePoint> accepted;
    constexpr int kRounds = 60;
    for (int round = 0; round < kRounds; ++round) {
        std::vector<jobs::JobChange> changes;
        for (int i = 0; i < deployment.urgentJobs / kRounds; ++i) {
            const int pool = static_cast<int>(rng.below(deployment.pools));
            const std::string id = "urgent" + std::to_string(accepted.size());
            const jobs::Job job =
                    fake.makeJob(id, pool, jobs::JobClass::Urgent, kUrgentSize,
                                 "t" + std::to_string(rng.below(deployment.teams)), "urgent");
            accepted.emplace(jobs::jobKey(job.spec().pool, id), job.acceptedAt());
            changes.push_back({job, 0});
        }
        fake.write(changes);
        fake.run(1s);
    }
    const double seconds =
            std::chrono::duration<double>(fake.clock.now() - submissionStart).count();
    fake.run(20s);
    const auto after = fake.platform->counters();

    std::vector<double> delays;
    const auto starts = firstStarts(fake);
    for (const auto &[key, at] : accepted) {
        const auto found = starts.find(key);
        if (found != starts.end())
            delays.push_back(std::chrono::duration<double>(found->second - at).count());
    }
    return {{"deployment", deployment.name},
            {"running_at_begin", filled},
            {"urgent_jobs", accepted.size()},
            {"urgent_started", delays.size()},
            {"start_delay_s_p50", quantile(delays, 0.5)},
            {"start_delay_s_p99", quantile(delays, 0.99)},
            {"start_delay_s_max", quantile(delays, 1)},
            {"preempted", fake.preempted},
            {"row_writes_a_second",
             static_cast<double>(after.tableWrites - before.tableWrites) / (seconds + 20)},
            {"table_reads_a_second",
             static_cast<double>(after.tableReads - before.tableReads) / (seconds + 20)},
            {"table_overloads", after.tableOverloads - before.tableOverloads},
            {"step_ms_p50", quantile(fake.stepMillis, 0.5)},
            {"step_ms_max", quantile(fake.stepMillis, 1)}};
}

nlohmann::json measureThroughput(std::uint64_t seed)
{
    JobsFake fake(kTarget, seed);
    fake.platform->setTaskBehaviour(
            [](const platform::TaskStart &) { return platform::TaskBehaviour{.runTime = 15s}; });
    fake.addWorkers();
    constexpr int kQueued = 4000;
    std::vector<jobs::JobChange> changes;
    for (int i = 0; i < kQueued; ++i) {
        changes.push_back(
                {fake.makeJob("j" + std::to_string(i), i % kTarget.pools, jobs::JobClass::Normal,
                              {1000, 1024, 0}, "t" + std::to_string(i % kTarget.teams), "short"),
                 0});
        if (changes.size() == jobs::kMaxGroupedChanges) {
            fake.write(changes);
            changes.clear();
            fake.time->advance(200ms);
        }
    }
    const auto before = fake.platform->counters();
    constexpr base::Duration kObserved = 60s;
    fake.run(kObserved);
    const auto after = fake.platform->counters();
    std::size_t finished = 0;
    for (const platform::TaskRun &run : fake.platform->taskRuns())
        finished += run.state == platform::TaskState::Succeeded ? 1 : 0;
    const double seconds = std::chrono::duration<double>(kObserved).count();
    const auto runs = fake.platform->taskRuns().size();
    const auto writes = static_cast<double>(after.tableWrites - before.tableWrites);
    return {{"jobs_started_a_second", static_cast<double>(runs) / seconds},
            {"jobs_finished", finished},
            {"row_writes_a_second", writes / seconds},
            {"driver_row_writes_per_started_job", writes / static_cast<double>(runs)}};
}

nlohmann::json measureQuarantine(bool quarantine, std::uint64_t seed)
{
    constexpr int kBadWorkerInterval = 10;
    constexpr int kRounds = 120;
    JobsFake fake(kToday, seed, quarantine);
    const auto isBad = [](const std::string &worker) {
        return std::stoi(worker.substr(1)) % kBadWorkerInterval == 3;
    };
    fake.platform->setTaskBehaviour([&](const platform::TaskStart &start) {
        const bool bad = isBad(start.worker);
        return platform::TaskBehaviour{.runTime = bad ? 1s : 20s, .succeeds = !bad};
    });
    fake.addWorkers();
    int submitted = 0;
    for (int round = 0; round < kRounds; ++round) {
        std::vector<jobs::JobChange> changes;
        for (int i = 0; i < 8; ++i, ++submitted) {
            const std::string kind = "k" + std::to_string(submitted % 5);
            changes.push_back({fake.makeJob("j" + std::to_string(submitted), 0,
                                            jobs::JobClass::Normal, {4000, 4096, 0}, "t0", kind),
                               0});
        }
        fake.write(changes);
        fake.run(1s);
    }
    fake.run(240s);
    std::size_t wasted = 0;
    const auto runs = fake.platform->taskRuns();
    for (const platform::TaskRun &run : runs)
        wasted += isBad(run.worker) ? 1 : 0;
    return {{"quarantine", quarantine},
            {"jobs", submitted},
            {"attempts", runs.size()},
            {"wasted_attempts", wasted},
            {"workers_quarantined", fake.quarantined}};
}

} // namespace chicorywick::measure
