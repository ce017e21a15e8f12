#pragma once

#include "fake_workers.h"

#include <chicorywick/scheduler/scheduler.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::scheduler {

inline constexpr Resources kWorkerSize{.cpuMillis = 16'000, .memoryMib = 32'768};
inline constexpr Millis kStoreDelayMs = 5;
inline constexpr Millis kTickMs = 100;

/// @brief A scheduler with fake workers and a store that accepts each batch after kStoreDelayMs.
struct SchedulerFixture
{
    VirtualLoop loop;
    FakeWorkers workers;
    std::unique_ptr<Scheduler> scheduler;
    bool isStoreUp = true;
    bool maySendOrders = true;
    /// Up to when stored jobs and cancellations are known; empty: up to now.
    std::optional<Millis> jobsKnownUntil;
    Millis previousLeaseMs = SchedulerSettings().previousLeaseMs; ///< of the next term
    bool isStoring = false;
    std::map<std::string, JobProgress> stored;
    std::int64_t term = 0;

    explicit SchedulerFixture(std::uint64_t seed = 1)
        : workers(loop, seed)
    {
        startTerm();
    }

    // Replaces the scheduler by one of a new leader term; stored progress stays.
    void startTerm()
    {
        ++term;
        isStoring = false;
        scheduler = std::make_unique<Scheduler>(
                workers,
                SchedulerHooks{
                        .clock = [this] { return Now{.steady = loop.now(), .wall = loop.now()}; },
                        .maySendOrders = [this] { return maySendOrders; },
                        .onFenced = [] {},
                        .onProgress = [this] { store(); },
                        .jobsKnownUntil = [this] { return jobsKnownUntil.value_or(loop.now()); },
                        .defer =
                                [this](std::function<void()> action) {
                                    loop.after(0, std::move(action));
                                }},
                SchedulerSettings{.fence = term, .previousLeaseMs = previousLeaseMs});
        scheduler->setQueues({{.name = "q",
                               .service = "s",
                               .maxAttempts = 2,
                               .stretch = 1.6,
                               .targetCompletionMs = 600}});
        tick(term);
    }

    void tick(std::int64_t ofTerm)
    {
        if (ofTerm != term)
            return;
        scheduler->rosterStored(scheduler->roster());
        scheduler->tick();
        loop.after(kTickMs, [this, ofTerm] { tick(ofTerm); });
    }

    void store()
    {
        if (isStoring)
            return;
        isStoring = true;
        loop.after(kStoreDelayMs, [this, ofTerm = term] { write(ofTerm); });
    }

    void write(std::int64_t ofTerm)
    {
        if (ofTerm != term)
            return;
        if (!isStoreUp) {
            loop.after(kTickMs, [this, ofTerm] { write(ofTerm); });
            return;
        }
        const std::uint64_t batch = scheduler->batch();
        for (const std::string &id : scheduler->takeDirtyJobs())
            if (const auto progress = scheduler->progressOf(id))
                stored[id] = *progress;
        isStoring = false;
        scheduler->progressStored(batch);
    }

    void addWorkers(int count, Resources size = kWorkerSize)
    {
        for (int i = 0; i < count; ++i)
            scheduler->upsertWorker(workers.add("w" + std::to_string(i), "s", size));
    }

    void submit(const std::string &id, std::vector<StepSpec> steps)
    {
        scheduler->addJob(spec(id, std::move(steps)), std::nullopt);
    }

    JobSpec spec(const std::string &id, std::vector<StepSpec> steps)
    {
        if (std::any_of(steps.begin(), steps.end(),
                        [](const StepSpec &step) { return step.isPerpetual; }))
            workers.perpetualJobs.insert(id);
        return {.id = id,
                .queue = "q",
                .payload = "p",
                .steps = std::move(steps),
                .submittedWall = loop.now()};
    }

    void run(Millis duration) { loop.runUntil(loop.now() + duration); }
};

/// @brief A step whose tasks need one CPU and take half a second.
inline StepSpec step(int tasks, std::vector<int> after = {})
{
    return {.taskCount = tasks,
            .demand = {.cpuMillis = 1'000, .memoryMib = 1'000},
            .estimatedMs = 500,
            .after = std::move(after)};
}

} // namespace chicorywick::scheduler
