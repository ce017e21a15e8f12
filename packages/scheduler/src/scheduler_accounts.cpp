#include "scheduler_worker.h"

#include <algorithm>

namespace chicorywick::scheduler {

namespace {

Resources smallerOf(const Resources &left, const Resources &right)
{
    return {.cpuMillis = std::min(left.cpuMillis, right.cpuMillis),
            .memoryMib = std::min(left.memoryMib, right.memoryMib),
            .accelerators = std::min(left.accelerators, right.accelerators)};
}

} // namespace

void Scheduler::setAccounts(const std::vector<AccountPolicy> &accounts)
{
    accounts_.clear();
    for (const AccountPolicy &account : accounts)
        accounts_.emplace(account.name, account);
}

void Scheduler::setAccountLimits(const std::map<std::string, Resources> &limits)
{
    if (limits == accountLimits_)
        return;
    accountLimits_ = limits;
    markAllServicesForPlacement();
    requestPlacement();
}

Scheduler::AccountUse &Scheduler::useOf(const std::string &account)
{
    std::shared_ptr<AccountUse> &use = accountUse_[account];
    if (!use)
        use = std::make_shared<AccountUse>();
    return *use;
}

// The run counts until the last copy of the result is gone. The processor time of a task that uses
// what others leave is its account's all the same.
std::shared_ptr<const void> Scheduler::countRun(const JobEntry &entry, const StepSpec &step)
{
    const std::string &account = entry.job.spec().account;
    if (account.empty())
        return nullptr;
    useOf(account).running += step.demand;
    return {nullptr, [use = accountUse_.at(account), demand = step.demand](const void *) {
                use->running -= demand;
            }};
}

void Scheduler::countWaiting(const JobEntry &entry, const StepSpec &step,
                             const std::string &service, int tasks)
{
    const std::string &account = entry.job.spec().account;
    if (account.empty())
        return;
    AccountUse &use = useOf(account);
    use.waiting += step.demand * tasks;
    use.waitingCpuMillis[service] += reservedFor(step).cpuMillis * tasks;
}

bool Scheduler::isWithinLimit(const JobEntry &entry, const Resources &demand) const
{
    const auto limit = accountLimits_.find(entry.job.spec().account);
    if (limit == accountLimits_.end())
        return true;
    Resources total = demand;
    if (const auto use = accountUse_.find(limit->first); use != accountUse_.end())
        total += use->second->running;
    if (const auto hidden = hiddenUse_.find(limit->first); hidden != hiddenUse_.end())
        total += hidden->second;
    return limit->second.covers(total);
}

// All members of a gang start together.
bool Scheduler::isGangWithinLimit(const JobEntry &entry, const TaskId &id) const
{
    const StepSpec &step = stepOf(entry.job, id);
    return isWithinLimit(entry, step.demand * step.taskCount);
}

// After a change of leader, tasks without a known worker may run on workers that have not replied.
// An account then counts as using all of these workers, or all of those tasks if that is less.
void Scheduler::updateHiddenUse()
{
    hiddenUse_.clear();
    const Millis now = hooks_.clock().steady;
    const Millis longest = std::max(settings_.maxLeaseMs, settings_.previousLeaseMs);
    if (accountLimits_.empty() || now >= createdAt_ + longestLocalLease(longest))
        return;
    // Only discovery tells the capacity of a worker, so one that it does not list counts as the
    // largest that is known.
    Resources largest;
    for (const auto &[id, worker] : workers_)
        largest.raiseTo(worker->fullCapacity);
    Resources silent;
    for (const auto &[id, worker] : workers_)
        if (worker->isInherited && !worker->hasResponded && !worker->isReplaced
            && now < worker->uncertainUntil)
            silent += worker->fullCapacity == Resources() ? largest : worker->fullCapacity;
    if (silent == Resources())
        return;
    for (const auto &[id, entry] : openJobs_) {
        const std::string &account = entry->job.spec().account;
        if (!entry->mayHaveRuns || !accountLimits_.contains(account))
            continue;
        for (const auto &[number, occurrence] : entry->job.occurrences())
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
                hiddenUse_[account] += entry->job.spec().steps[step].demand
                                       * occurrence.steps[step].waitingCount();
    }
    for (auto &[account, hidden] : hiddenUse_)
        hidden = smallerOf(hidden, silent);
}

std::map<std::string, AccountLoad> Scheduler::accountLoads() const
{
    std::map<std::string, AccountLoad> loads;
    for (const auto &[account, use] : accountUse_)
        loads[account] = {.running = use->running, .waiting = use->waiting};
    for (const auto &[account, hidden] : hiddenUse_)
        loads[account].running += hidden;
    for (const auto &[id, entry] : openJobs_) {
        const std::string &account = entry->job.spec().account;
        if (account.empty() || entry->ready.empty())
            continue;
        const auto step = static_cast<std::size_t>(entry->ready.begin()->first.second);
        const Resources &demand = entry->job.spec().steps[step].demand;
        Resources &smallest = loads[account].smallestWaiting;
        smallest = smallest == Resources() ? demand : smallerOf(smallest, demand);
    }
    return loads;
}

// Waiting processor time that the limits of accounts keep from starting, by service. More machines
// would not help it.
std::map<std::string, std::int64_t> Scheduler::withheldCpuMillis() const
{
    std::map<std::string, std::int64_t> withheld;
    for (const auto &[account, limit] : accountLimits_) {
        const auto found = accountUse_.find(account);
        if (found == accountUse_.end())
            continue;
        const AccountUse &use = *found->second;
        Resources left = limit;
        left -= use.running;
        const auto startable = [](std::int64_t room, std::int64_t waiting) {
            return waiting <= room ? 1.0
                                   : static_cast<double>(std::max<std::int64_t>(room, 0))
                                             / static_cast<double>(waiting);
        };
        const double share = std::min({startable(left.cpuMillis, use.waiting.cpuMillis),
                                       startable(left.memoryMib, use.waiting.memoryMib),
                                       startable(left.accelerators, use.waiting.accelerators)});
        for (const auto &[service, cpuMillis] : use.waitingCpuMillis)
            withheld[service] +=
                    static_cast<std::int64_t>((1.0 - share) * static_cast<double>(cpuMillis));
    }
    return withheld;
}

} // namespace chicorywick::scheduler
