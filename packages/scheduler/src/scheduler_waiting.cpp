#include "scheduler_worker.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>
#include <utility>

namespace chicorywick::scheduler {

namespace {

// A perpetual task is started within a few seconds unless no worker can take it.
constexpr Millis kReportAfterMs = 3'000;
constexpr Millis kReportPeriodMs = 2'000;

} // namespace

// Logs why the perpetual tasks that have waited longest are not started, one per service.
void Scheduler::reportWaiting()
{
    const Millis now = hooks_.clock().steady;
    if (now - waitingReportedAt_ < kReportPeriodMs)
        return;
    waitingReportedAt_ = now;
    struct Waiting
    {
        TaskId id;
        Millis since = 0;
        int tasks = 0;
    };
    std::map<std::string, Waiting> byService;
    for (const std::string &job : perpetualJobs_) {
        const JobEntry &entry = *entryOf(job);
        const QueuePolicy *const policy = policyOf(entry.job);
        if (policy == nullptr)
            continue;
        for (const auto &[place, key] : entry.ready) {
            const ReadyStep &ready = ready_.at(policy->service).steps().at(key);
            const TaskId id = ready.id(key, *ready.tasks.next(-1));
            const Millis since = std::max(std::as_const(*this).taskOf(id)->phaseSince,
                                          entry.job.acceptedSteady());
            if (now - since < kReportAfterMs)
                continue;
            Waiting &waiting = byService[policy->service];
            if (waiting.tasks == 0 || since < waiting.since) {
                waiting.id = id;
                waiting.since = since;
            }
            waiting.tasks += static_cast<int>(ready.tasks.size());
        }
    }
    for (const auto &[service, waiting] : byService)
        reportWaiting(service, waiting.id, now - waiting.since, waiting.tasks);
}

void Scheduler::reportWaiting(const std::string &service, const TaskId &id, Millis waitedMs,
                              int waitingTasks) const
{
    const Millis now = hooks_.clock().steady;
    const JobEntry &entry = *entryOf(id.job);
    const StepSpec &step = stepOf(entry.job, id);
    const Task &task = *taskOf(id);
    const std::vector<Worker *> &workers = workersFor(service);
    const auto count = [&workers](const auto &condition) {
        return std::to_string(std::count_if(workers.begin(), workers.end(), condition));
    };
    const auto hasRoom = [&](const Worker *worker) {
        return worker->free().covers(reservedFor(step)) && isAllowedOn(*worker, step, id);
    };
    base::logEvent(base::Event::JobWaiting,
                   {{"task", id.text()},
                    {"service", service},
                    {"waited_ms", std::to_string(waitedMs)},
                    {"tasks", std::to_string(waitingTasks)},
                    {"held", task.heldUntil > now ? "1" : "0"},
                    {"trial", task.crashes.isSuspected() ? "1" : "0"},
                    {"workers", std::to_string(workers.size())},
                    {"usable", count([&](const Worker *worker) { return isUsable(*worker, now); })},
                    {"room", count(hasRoom)},
                    {"usable_room", count([&](const Worker *worker) {
                         return hasRoom(worker) && isUsable(*worker, now);
                     })},
                    {"closed", count([&](const Worker *worker) {
                         return hasRoom(worker) && !mayStartBeside(*worker, id, task);
                     })},
                    {"later", count([&](const Worker *worker) {
                         return isUsable(*worker, now) && canTakeLater(*worker, step, id);
                     })}});
}

} // namespace chicorywick::scheduler
