#include "scheduler_worker.h"

#include <algorithm>

namespace chicorywick::scheduler {

namespace {

// A perpetual task with a lower reported pace is throttled and does not count as available.
constexpr int kFullPacePercent = 100;
// Older reports of an unresponsive worker do not show that its tasks still run.
constexpr Millis kMaxReportAgeMs = 1'500;
// Well below the start-up time of a perpetual task.
constexpr Millis kMaxListAgeMs = 600;

} // namespace

// True if the latest report is recent and the lease cannot have lapsed since.
bool Scheduler::showsTasksAtWork(const Worker &worker) const
{
    const Millis age = hooks_.clock().steady - worker.reportAt;
    const bool mayHaveLapsed =
            worker.leaseGranted != 0 && worker.clockAtReply + age >= worker.leaseGranted;
    return age < kMaxReportAgeMs && !mayHaveLapsed;
}

// True if the reports show that the assigned run of a perpetual task is at work. One that this
// leader has started needs its start-up time first; one that it found running may be long past it.
bool Scheduler::isAtWork(const TaskId &id) const
{
    const Task *const task = taskOf(id);
    const Worker *const worker = task != nullptr ? workerOf(task->worker) : nullptr;
    if (worker == nullptr || task->phase != TaskPhase::Running || !task->isListed)
        return false;
    const Millis now = hooks_.clock().steady;
    const Millis startUp = startUpTime(stepOf(entryOf(id.job)->job, id));
    return showsTasksAtWork(*worker) && now >= task->stopExpectedUntil
           && (task->isAdopted || now - task->phaseSince >= startUp);
}

// True if no run can have begun and come to work since the worker's newest task list.
bool Scheduler::hasFreshList(const Worker &worker) const
{
    return hooks_.clock().steady - worker.listWrittenAt < kMaxListAgeMs;
}

// True for the tasks whose stops ask the disruption budget.
bool Scheduler::isUnderBudget(const TaskId &id) const
{
    const JobEntry *const entry = entryOf(id.job);
    const Task *const task = taskOf(id);
    return task != nullptr && task->phase != TaskPhase::Done && stepOf(entry->job, id).isPerpetual
           && !isTerminal(entry->job.state());
}

// Number of other tasks of the step that are available now.
int Scheduler::availableOthers(const JobEntry &entry, const TaskId &id) const
{
    const auto &occurrences = entry.job.occurrences();
    const auto found = occurrences.find(id.occurrence);
    if (found == occurrences.end())
        return 0;
    int available = 0;
    const Millis now = hooks_.clock().steady;
    const Millis startUp = startUpTime(stepOf(entry.job, id));
    const auto &siblings = found->second.steps[static_cast<std::size_t>(id.step)];
    for (const auto &[index, sibling] : siblings.edited()) {
        const Worker *const worker = workerOf(sibling.worker);
        const bool isAvailable = worker != nullptr && sibling.phase == TaskPhase::Running
                                 && sibling.percent >= kFullPacePercent
                                 && now - sibling.phaseSince >= startUp
                                 && now >= sibling.stopExpectedUntil && showsTasksAtWork(*worker);
        available += isAvailable && index != id.index ? 1 : 0;
    }
    return available;
}

int Scheduler::unavailableOthers(const JobEntry &entry, const TaskId &id) const
{
    return stepOf(entry.job, id).taskCount - 1 - availableOthers(entry, id);
}

bool Scheduler::mayEvict(const JobEntry &entry, const TaskId &id) const
{
    // Without a configured budget, one task at a time may be unavailable.
    return unavailableOthers(entry, id) < std::max(stepOf(entry.job, id).maxUnavailable, 1);
}

bool Scheduler::mayDisrupt(const std::string &workerId) const
{
    const Worker *const worker = workerOf(workerId);
    if (worker == nullptr)
        return true;
    return std::all_of(worker->tasks.begin(), worker->tasks.end(), [this](const TaskId &id) {
        const JobEntry *const entry = entryOf(id.job);
        if (entry == nullptr)
            return true;
        const StepSpec &step = stepOf(entry->job, id);
        return !step.isPerpetual || mayEvict(*entry, id);
    });
}

} // namespace chicorywick::scheduler
