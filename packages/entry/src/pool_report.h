#pragma once

#include <chicorywick/entry/records.h>
#include <chicorywick/scheduler/pool_plan.h>
#include <chicorywick/scheduler/scheduler.h>

#include <map>
#include <span>
#include <string>

namespace chicorywick::entry {

/// @brief Logs the machines and the demand of the pools of a cell at regular intervals.
class PoolReport
{
public:
    explicit PoolReport(int cell)
        : cell_(cell)
    {}

    void update(scheduler::Millis now, std::span<const scheduler::PoolDemand> pools,
                std::span<const scheduler::WorkerView> workers,
                const std::map<std::string, scheduler::ServiceLoad> &loads,
                const MachineNeeds &needs);

private:
    int cell_;
    scheduler::Millis reportedAt_ = 0;
};

} // namespace chicorywick::entry
