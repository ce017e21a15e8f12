#include "maintenance_candidate.h"

namespace chicorywick::entry {

WorkersByMachine latestWorkers(std::span<const scheduler::WorkerView> views)
{
    WorkersByMachine latest;
    for (const scheduler::WorkerView &view : views) {
        const auto [item, isFirst] = latest.try_emplace(view.entry.machine, view);
        if (!isFirst && view.entry.incarnation > item->second.entry.incarnation)
            item->second = view;
    }
    return latest;
}

// The list of machines can be seconds old, or lack the worker of a machine whose registration has
// lapsed. The scheduler knows which worker runs its tasks on the machine now.
std::optional<scheduler::MaintenanceCandidate>
maintenanceCandidate(const Machine &machine, const WorkersByMachine &workers, bool isPoolUnused)
{
    scheduler::MaintenanceCandidate candidate{.machine = machine.name,
                                              .workerId = machine.workerId,
                                              .service = machine.pool,
                                              .isUp = machine.state == MachineState::Up};
    const auto found = workers.find(machine.name);
    if (found == workers.end()) {
        if (!machine.workerId.empty() && !isPoolUnused)
            return std::nullopt;
        return candidate;
    }
    const scheduler::WorkerView &worker = found->second;
    if (worker.mayRunUnknownTasks)
        return std::nullopt;
    candidate.workerId = worker.entry.id;
    candidate.tasks = worker.tasks;
    // An empty worker that is not cordoned yet counts as busy, because a start may be in flight. It
    // is cordoned first and ordered in a later tick.
    if (!worker.isCordoned && worker.tasks == 0 && worker.isUsable)
        candidate.tasks = 1;
    return candidate;
}

} // namespace chicorywick::entry
