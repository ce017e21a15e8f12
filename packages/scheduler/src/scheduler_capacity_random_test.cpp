#include "scheduler_fixture.h"

#include <chicorywick/base/rng.h>

#include <doctest/doctest.h>

#include <set>

namespace chicorywick::scheduler {

namespace {

constexpr int kWorkers = 6;
constexpr int kSeeds = 60;
constexpr Millis kFaultyMs = 60'000;
constexpr Millis kActionPeriodMs = 150;
constexpr Millis kWorkTimes[] = {200, 600, 2'500};
constexpr Millis kMaxDiscoveryDelayMs = 1'000;
constexpr Millis kLateLeaseMs = 20'000;
constexpr Millis kRecoveryMs = 60'000;
// Perpetual jobs are cancelled this long after their submission.
constexpr Millis kPerpetualMs = 2'500;
constexpr Resources kFullSize{.cpuMillis = 8'000, .memoryMib = 16'000, .accelerators = 4};

// Random load and faults on workers of which most do not guard their capacity.
class RandomDay
{
public:
    RandomDay(std::uint64_t seed, bool hasLateRenewals)
        : fixture_(seed)
        , rng_(seed)
        , hasLateRenewals_(hasLateRenewals)
    {
        for (int i = 0; i < kWorkers; ++i)
            addWorker("w" + std::to_string(i));
    }

    void run()
    {
        const Millis end = fixture_.loop.now() + kFaultyMs;
        while (fixture_.loop.now() < end) {
            act();
            fixture_.run(kActionPeriodMs);
        }
        fixture_.workers.setFaults({});
        fixture_.workers.workMs = kWorkTimes[0];
        for (const auto &[id, entry] : std::map(entries_)) {
            fixture_.workers.setReachable(id, true);
            changeCapacity(id, kFullSize);
        }
        fixture_.run(kRecoveryMs);
    }

    const std::vector<std::string> &violations() const { return fixture_.workers.violations(); }

    // Leaves out gangs: fake workers do not end the members of a gang together. A job may fail once
    // two workers have crashed under one of its tasks.
    std::vector<std::string> unfinishedJobs() const
    {
        std::vector<std::string> unfinished;
        for (const auto &[id, spec] : jobs_) {
            const auto state = fixture_.scheduler->stateOf(id);
            const bool mayFail = fixture_.workers.workersLostUnder(id) >= 2;
            const bool isFinished =
                    state == JobState::Completed || (mayFail && state == JobState::Failed);
            if (!cancelled_.contains(id) && !spec.steps[0].isGang && !isFinished)
                unfinished.push_back(id);
        }
        return unfinished;
    }

    std::vector<std::string> runsOfCancelledJobs()
    {
        std::vector<std::string> runs;
        for (const auto &[id, entry] : entries_)
            for (const TaskId &task : fixture_.workers.tasksOn(id))
                if (cancelled_.contains(task.job))
                    runs.push_back(task.text());
        return runs;
    }

private:
    std::int64_t upTo(std::int64_t limit)
    {
        return static_cast<std::int64_t>(rng_.below(static_cast<std::uint64_t>(limit) + 1));
    }

    std::string anyWorker() { return "w" + std::to_string(upTo(kWorkers - 1)); }

    void addWorker(const std::string &id)
    {
        entries_[id] = fixture_.workers.add(id, "s", kFullSize);
        fixture_.workers.setGuardsCapacity(id, id == "w0");
        fixture_.scheduler->upsertWorker(entries_[id]);
    }

    void changeCapacity(const std::string &id, Resources capacity)
    {
        entries_[id] = fixture_.workers.setCapacity(id, capacity);
        fixture_.loop.after(upTo(kMaxDiscoveryDelayMs),
                            [this, id] { fixture_.scheduler->upsertWorker(entries_[id]); });
    }

    void submit()
    {
        const std::string id = "job" + std::to_string(jobs_.size());
        StepSpec work{.taskCount = static_cast<int>(1 + upTo(4)),
                      .demand = {.cpuMillis = 500 + upTo(3'500),
                                 .memoryMib = 500 + upTo(7'500),
                                 .accelerators = rng_.chance(0.3) ? upTo(4) : 0},
                      .estimatedMs = 500};
        work.usesLeftoverCpu = rng_.chance(0.1);
        work.isPerpetual = rng_.chance(0.2);
        work.isGang = !work.isPerpetual && rng_.chance(0.1);
        work.taskCount = work.isGang ? 2 : work.taskCount;
        Resources reserved = work.demand;
        if (work.usesLeftoverCpu)
            reserved.cpuMillis = 0;
        fixture_.workers.setDemand(id, reserved);
        jobs_.emplace(id, fixture_.spec(id, {work}));
        fixture_.scheduler->addJob(jobs_.at(id), std::nullopt);
        if (work.isPerpetual)
            fixture_.loop.after(kPerpetualMs, [this, id] { cancel(id); });
    }

    void cancel(const std::string &id)
    {
        if (!jobs_.contains(id))
            return;
        cancelled_.insert(id);
        fixture_.scheduler->cancelJob(id);
    }

    // Some cancelled jobs are forgotten with the change, so that their runs have no known size.
    void changeLeader()
    {
        const auto roster = fixture_.scheduler->roster();
        fixture_.startTerm();
        fixture_.scheduler->addInheritedWorkers(roster);
        for (const auto &[id, spec] : jobs_) {
            if (cancelled_.contains(id) && rng_.chance(0.5))
                continue;
            const auto stored = fixture_.stored.find(id);
            fixture_.scheduler->addJob(spec, stored != fixture_.stored.end() ? stored->second
                                                                             : JobProgress{});
            if (cancelled_.contains(id))
                fixture_.scheduler->cancelJob(id);
        }
        for (const auto &[id, entry] : entries_)
            fixture_.scheduler->upsertWorker(entry);
    }

    void act()
    {
        fixture_.workers.workMs = kWorkTimes[upTo(2)];
        const std::string worker = anyWorker();
        if (rng_.chance(0.6))
            submit();
        if (rng_.chance(0.2))
            cancel("job" + std::to_string(upTo(std::ssize(jobs_))));
        if (rng_.chance(0.2))
            changeCapacity(worker, {.cpuMillis = upTo(kFullSize.cpuMillis),
                                    .memoryMib = upTo(kFullSize.memoryMib),
                                    .accelerators = upTo(kFullSize.accelerators)});
        if (rng_.chance(0.1))
            changeCapacity(worker, kFullSize);
        if (hasLateRenewals_ && rng_.chance(0.1)) {
            fixture_.workers.renew(
                    {.id = worker, .address = entries_[worker].address},
                    {.leaseUntil = fixture_.loop.now() + kLateLeaseMs, .fence = fixture_.term},
                    [](const RenewReply &) {});
            fixture_.run(2);
            fixture_.workers.setReachable(worker, false);
        }
        if (rng_.chance(0.1))
            fixture_.workers.setReachable(anyWorker(), rng_.chance(0.6));
        if (rng_.chance(0.1))
            fixture_.workers.setFaults({.lostReply = 0.1 * static_cast<double>(upTo(3)),
                                        .lateOrder = 0.1 * static_cast<double>(upTo(3))});
        if (rng_.chance(0.01))
            addWorker(worker);
        if (rng_.chance(0.02))
            changeLeader();
    }

    SchedulerFixture fixture_;
    base::Rng rng_;
    bool hasLateRenewals_;
    std::map<std::string, WorkerEntry> entries_;
    std::map<std::string, JobSpec> jobs_;
    std::set<std::string> cancelled_;
};

} // namespace

// Guards against starts over the capacity of a worker under any mix of faults and changes.
TEST_CASE("no start brings a worker over its capacity on random days")
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        RandomDay day(seed, false);
        day.run();
        for (const std::string &violation : day.violations())
            FAIL_CHECK(violation);
        for (const std::string &job : day.unfinishedJobs())
            FAIL_CHECK("unfinished: " << job);
        for (const std::string &run : day.runsOfCancelledJobs())
            FAIL_CHECK("runs although its job was cancelled: " << run);
    }
}

// Guards against the same where a worker that was silent turns out to run tasks which have started
// elsewhere meanwhile. Its lease outlasts the one that is known, so such tasks do run twice.
TEST_CASE("no start brings a worker over its capacity on days with late renewals")
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        RandomDay day(seed, true);
        day.run();
        for (const std::string &violation : day.violations())
            if (violation.ends_with("over its capacity"))
                FAIL_CHECK(violation);
        for (const std::string &job : day.unfinishedJobs())
            FAIL_CHECK("unfinished: " << job);
        for (const std::string &run : day.runsOfCancelledJobs())
            FAIL_CHECK("runs although its job was cancelled: " << run);
    }
}

} // namespace chicorywick::scheduler
