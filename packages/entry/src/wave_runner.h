#pragma once

#include "machine_inventory.h"
#include "maintenance_candidate.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/layout.h>
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

/// @brief Runs the operators' maintenance waves on the machines of a cell. The cells divide the
/// places of a wave among themselves; the first cell reports the state of the whole wave.
class WaveRunner : public std::enable_shared_from_this<WaveRunner>
{
public:
    WaveRunner(WaveRunnerPorts ports, ControllerHooks hooks, scheduler::Scheduler &scheduler,
               MachineInventory &inventory, Cell cell, std::int64_t fence,
               std::shared_ptr<MachineLedger> ledger = nullptr);

    void stop() { isStopped_ = true; }

    /// @brief Restores the progress of a wave stored by a previous leader.
    void restore(const Row &row);
    void setWaves(const std::vector<WaveRequest> &waves);

    /// @brief Sets the pools without queues; their machines run no tasks.
    void setUnusedPools(std::set<std::string> pools) { unusedPools_ = std::move(pools); }
    void tick();

    /// @brief True if a wave that is not known to be completed names the machine.
    bool isInOpenWave(const std::string &machine) const;

    /// @brief Waves whose maintenance of the machine has started, in this cell or another one.
    std::set<std::int64_t> maintainedFor(const std::string &machine) const;

private:
    /// An upkeep that was ordered; the machine counts as down.
    struct Upkeep
    {
        std::string worker;              ///< the worker before the upkeep; empty if there was none
        scheduler::Millis orderedAt = 0; ///< the latest order, or the answer that accepted it
        /// When the last order without an answer became known; 0: none.
        scheduler::Millis unansweredAt = 0;
        bool isAwaitingAnswer = false;
        bool isAccepted = false;
    };
    struct Wave
    {
        WaveRequest request;
        std::set<std::string> startedMachines;
        std::map<std::string, Upkeep> down; ///< by machine
        bool isDoneHere = false;            ///< no machine of this cell is left, and none is down
        bool isDoneStored = false;          ///< the other cells can read that
        Version storedVersion = 0;          ///< of this cell's row
        bool isStoring = false;
        bool hasUnstoredStarts = false;
        std::set<int> cellsDone; ///< other cells that have stored the end of their part
        bool isReportedRunning = false;
        bool isCompleted = false;
        bool isReporting = false;
        /// No machine of the wave can join this cell any more.
        bool isOwnershipConfirmed = false;
    };

    bool hasStarted(const Wave &wave, const std::string &machine) const;
    void updateReturned();
    int allowedDown(Wave &wave);
    void finishCell(Wave &wave);
    void confirmOwnership(std::int64_t number);
    void readCellDone(std::int64_t number, int cell);
    void plan(Wave &wave);
    void holdUnanswered(Wave &wave, const WorkersByMachine &workers);
    void cordon(const std::string &worker);
    void order(Wave &wave, const std::string &machine);
    void handleAnswer(Wave &wave, const std::string &machine, MachineOrderStatus status);
    void recordStarted(Wave &wave, const std::string &machine);
    void store(Wave &wave);
    void report(Wave &wave, bool isCompleted);

    WaveRunnerPorts ports_;
    ControllerHooks hooks_;
    scheduler::Scheduler &scheduler_;
    MachineInventory &inventory_;
    Cell cell_;
    std::int64_t fence_;
    std::shared_ptr<MachineLedger> ledger_; ///< null if there are no other cells
    std::map<std::int64_t, Wave> waves_;
    bool isReadingCell_ = false;
    scheduler::Millis cellReadAt_ = 0;
    std::set<std::string> cordoned_;
    std::set<std::string> unusedPools_;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
