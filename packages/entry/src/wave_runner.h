#pragma once

#include "machine_inventory.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/ports.h>
#include <chicorywick/scheduler/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace chicorywick::entry {

struct WaveRunnerPorts
{
    MachinePort *machines = nullptr;
    OperatorPort *operators = nullptr;
    Table *table = nullptr;
};

/// @brief Runs the operators' maintenance waves, with at most maxAtOnce machines down per wave.
class WaveRunner : public std::enable_shared_from_this<WaveRunner>
{
public:
    WaveRunner(WaveRunnerPorts ports, ControllerHooks hooks, scheduler::Scheduler &scheduler,
               MachineInventory &inventory, std::int64_t fence);

    void stop() { isStopped_ = true; }

    /// @brief Restores the progress of a wave stored by a previous leader.
    void restore(const Row &row);
    void setWaves(const std::vector<WaveRequest> &waves);

    /// @brief Sets the pools without queues; their machines run no tasks.
    void setUnusedPools(std::set<std::string> pools) { unusedPools_ = std::move(pools); }
    void tick();

private:
    struct Wave
    {
        WaveRequest request;
        std::set<std::string> startedMachines;
        std::map<std::string, std::string> down; ///< ordered machines and their previous workers
        std::map<std::string, scheduler::Millis> orderedAt;
        bool isReportedRunning = false;
        bool isCompleted = false;
        bool isReporting = false;
    };

    void updateReturned();
    void plan(Wave &wave);
    void order(Wave &wave, const std::string &machine);
    void recordStarted(Wave &wave, const std::string &machine);
    void report(Wave &wave, bool isCompleted);

    WaveRunnerPorts ports_;
    ControllerHooks hooks_;
    scheduler::Scheduler &scheduler_;
    MachineInventory &inventory_;
    std::int64_t fence_;
    std::map<std::int64_t, Wave> waves_;
    std::set<std::string> cordoned_;
    std::set<std::string> unusedPools_;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
