#pragma once

#include <chicorywick/entry/ports.h>
#include <chicorywick/scheduler/maintenance_plan.h>
#include <chicorywick/scheduler/scheduler.h>

#include <map>
#include <optional>
#include <span>
#include <string>

namespace chicorywick::entry {

/// @brief The latest worker on each machine, by machine name.
using WorkersByMachine = std::map<std::string, scheduler::WorkerView>;

WorkersByMachine latestWorkers(std::span<const scheduler::WorkerView> views);

/// @brief Describes a machine to the maintenance planner; none if tasks that this leader does not
/// know may run there.
std::optional<scheduler::MaintenanceCandidate>
maintenanceCandidate(const Machine &machine, const WorkersByMachine &workers, bool isPoolUnused);

} // namespace chicorywick::entry
