#pragma once

#include "machine_inventory.h"
#include "pool_report.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/scheduler/pool_plan.h>
#include <chicorywick/scheduler/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Moves machines between pools according to the demand of their queues.
class PoolBalancer : public std::enable_shared_from_this<PoolBalancer>
{
public:
    PoolBalancer(MachinePort &machines, ControllerHooks hooks, scheduler::Scheduler &scheduler,
                 MachineInventory &inventory, std::int64_t fence,
                 std::function<bool(const std::string &machine)> isInOpenWave = {});

    void stop() { isStopped_ = true; }
    void configure(const Configuration &configuration);
    void tick();

private:
    struct Move
    {
        std::string pool;
        std::string worker; ///< the worker before the move; empty if the machine was off
        scheduler::Millis orderedAt = 0; ///< the first order, or the answer that accepted it
        scheduler::Millis sentAt = 0;    ///< the latest order
        bool isAwaitingAnswer = false;
        bool isAccepted = false;
    };

    /// A machine that gets no new tasks, so that it can move once its finite tasks have ended.
    struct Emptying
    {
        scheduler::PoolMove move;
        std::string worker;
        scheduler::Millis since = 0;
    };
    using Views = std::vector<scheduler::WorkerView>;

    void updateMoves();
    void repeatUnanswered(const Views &views);
    void uncordon(const std::string &machine);
    std::vector<scheduler::PoolDemand>
    demands(const Views &views, const std::map<std::string, scheduler::ServiceLoad> &loads) const;
    std::vector<scheduler::MovableMachine> movable(const Views &views) const;
    void begin(const scheduler::PoolMove &move, const Views &views);
    void send(const std::string &machine);
    void handleAnswer(const std::string &machine, MachineOrderStatus status);
    bool mayMove(const std::string &machine) const;
    bool isInOpenWave(const std::string &machine) const;

    // Machines that are emptied for perpetual tasks (machine_emptying.cpp)
    void updateEmptying(const Views &views, const std::vector<scheduler::PoolDemand> &pools,
                        const std::vector<scheduler::PoolMove> &planned);
    void releaseUnneeded(const std::vector<scheduler::PoolDemand> &pools,
                         const std::vector<scheduler::PoolMove> &planned);
    std::vector<scheduler::BusyMachine> busyMachines(const Views &views) const;

    MachinePort &machines_;
    ControllerHooks hooks_;
    scheduler::Scheduler &scheduler_;
    MachineInventory &inventory_;
    std::int64_t fence_;
    std::set<std::string> services_; ///< services with queues or unfinished jobs
    std::string sparePool_;
    std::map<std::string, Move> moving_; ///< by machine
    /// When the last order without an answer became known, by machine; until it cannot be carried
    /// out any more.
    std::map<std::string, scheduler::Millis> unansweredAt_;
    std::map<std::string, Emptying> emptying_;                     ///< by machine
    std::map<std::string, scheduler::Millis> notEmptiedUntil_;     ///< by machine
    std::function<bool(const std::string &machine)> isInOpenWave_; ///< empty: there are no waves
    PoolReport report_;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
