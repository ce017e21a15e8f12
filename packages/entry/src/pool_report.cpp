#include "pool_report.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

constexpr scheduler::Millis kReportPeriodMs = 2'000;

struct MachineUse
{
    int perpetual = 0;
    int finite = 0;
    int idle = 0;
};

MachineUse machineUse(std::span<const scheduler::WorkerView> workers, const std::string &service)
{
    MachineUse use;
    for (const scheduler::WorkerView &worker : workers) {
        if (worker.entry.service != service || !worker.isUsable || worker.entry.isDraining)
            continue;
        if (worker.perpetualTasks > 0)
            ++use.perpetual;
        else
            ++(worker.tasks > 0 ? use.finite : use.idle);
    }
    return use;
}

} // namespace

void PoolReport::update(scheduler::Millis now, std::span<const scheduler::PoolDemand> pools,
                        std::span<const scheduler::WorkerView> workers,
                        const std::map<std::string, scheduler::ServiceLoad> &loads,
                        const MachineNeeds &needs)
{
    if (now - reportedAt_ < kReportPeriodMs)
        return;
    reportedAt_ = now;
    for (const scheduler::PoolDemand &pool : pools) {
        const MachineUse use = machineUse(workers, pool.service);
        const auto found = loads.find(pool.service);
        const scheduler::ServiceLoad load =
                found != loads.end() ? found->second : scheduler::ServiceLoad();
        const auto shortage = needs.shortages.find(pool.service);
        const int missing = shortage != needs.shortages.end() ? shortage->second.total : 0;
        const std::int64_t freeCpu =
                std::max<std::int64_t>(load.capacityCpuMillis - load.runningCpuMillis, 0);
        base::logEvent(base::Event::PoolState,
                       {{"cell", std::to_string(cell_)},
                        {"pool", pool.service},
                        {"machines", std::to_string(pool.machines)},
                        {"desired", std::to_string(pool.desired)},
                        {"urgent", std::to_string(pool.urgent)},
                        {"blocked", std::to_string(pool.blocked)},
                        {"perpetual", std::to_string(use.perpetual)},
                        {"finite", std::to_string(use.finite)},
                        {"idle", std::to_string(use.idle)},
                        {"missing", std::to_string(missing)},
                        {"lendable", std::to_string(needs.lendable)},
                        {"waiting_cpu", std::to_string(load.waitingCpuMillis)},
                        {"running_cpu", std::to_string(load.runningCpuMillis)},
                        {"free_cpu", std::to_string(freeCpu)}});
    }
}

} // namespace chicorywick::entry
