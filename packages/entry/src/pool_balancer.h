#pragma once

#include "machine_inventory.h"
#include "machine_ledger.h"
#include "machine_lending.h"
#include "pool_report.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/scheduler/pool_plan.h>
#include <chicorywick/scheduler/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Which machines must stay, and how machines are lent to other cells.
struct LendingPorts
{
    std::shared_ptr<MachineLedger> ledger; ///< null if there are no other cells
    std::function<bool(const std::string &machine)> isInOpenWave; ///< empty: there are no waves
    std::function<std::set<std::int64_t>(const std::string &machine)> maintainedFor; ///< waves
    /// Called when machines that were meant for another cell stay in this one.
    std::function<void()> onMachinesKept;
};

/// @brief Moves machines between pools according to the demand of their queues, and to pools of
/// other cells that lack machines.
class PoolBalancer : public std::enable_shared_from_this<PoolBalancer>
{
public:
    PoolBalancer(MachinePort &machines, ControllerHooks hooks, scheduler::Scheduler &scheduler,
                 MachineInventory &inventory, std::int64_t fence, LendingPorts lending = {});

    void stop() { isStopped_ = true; }
    void configure(const Configuration &configuration);
    void tick();

    /// @brief The machines that the cell lacked after the latest pass, or could lend.
    const MachineNeeds &needs() const { return needs_; }

    /// @brief True for a worker that has joined a machine which is leaving for another cell. It
    /// must get no order from this cell.
    bool isLeaving(const scheduler::WorkerEntry &entry) const;

private:
    struct Move
    {
        std::string pool;
        std::optional<int> cell;  ///< the cell that gets the machine; none: the own cell
        bool staysInPool = false; ///< only its cell changes, and its worker stays
        std::string worker;       ///< the worker before the move; empty if the machine was off
        scheduler::Millis incarnation = 0; ///< of that worker
        scheduler::Millis orderedAt = 0;   ///< the first order, or the answer that accepted it
        scheduler::Millis sentAt = 0;      ///< the latest order
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
    struct Loan
    {
        int cell = 0;
        std::string pool;
        scheduler::Millis at = 0;
    };
    using Views = std::vector<scheduler::WorkerView>;

    void updateMoves();
    void repeatUnanswered(const Views &views);
    void uncordon(const std::string &machine);
    std::vector<scheduler::PoolDemand>
    demands(const Views &views, const std::map<std::string, scheduler::ServiceLoad> &loads) const;
    void reportJoining(const Views &views,
                       const std::map<std::string, scheduler::ServiceLoad> &loads);
    std::map<std::string, int> joiningMachines(const Views &views) const;
    bool mayMove(const std::string &machine) const;
    bool isInOpenWave(const std::string &machine) const;
    std::set<std::string> spareMachines(const Views &views) const;
    std::vector<scheduler::MovableMachine> movable(const Views &views) const;
    void begin(const scheduler::PoolMove &move, const Views &views);
    void send(const std::string &machine);
    void handleAnswer(const std::string &machine, MachineOrderStatus status);

    // Machines that are emptied for perpetual tasks (machine_emptying.cpp)
    void updateEmptying(const Views &views, const std::vector<scheduler::PoolDemand> &pools,
                        const std::vector<scheduler::PoolMove> &planned);
    void releaseUnneeded(const std::vector<scheduler::PoolDemand> &pools,
                         const std::vector<scheduler::PoolMove> &planned);
    std::vector<scheduler::BusyMachine> busyMachines(const Views &views) const;

    // Machines for other cells (pool_lending.cpp)
    bool mayLend() const;
    bool isLendable(const std::string &machine) const;
    bool addLendingDemands(std::vector<scheduler::PoolDemand> &pools);
    void transferMachines(const Views &views);
    bool mayTransferNow(const std::string &machine, const Move &move, const Views &views) const;
    void keep(const std::string &machine);
    void handOver(const std::string &machine);
    void releaseCordons();
    void handleTransfer(const MachineTransfers &transfers, bool isStored);

    MachinePort &machines_;
    ControllerHooks hooks_;
    scheduler::Scheduler &scheduler_;
    MachineInventory &inventory_;
    std::int64_t fence_;
    LendingPorts lending_;
    std::set<std::string> services_; ///< services with queues or unfinished jobs
    std::string sparePool_;
    std::map<std::string, Move> moving_; ///< by machine
    /// When the last order without an answer became known, by machine; until it cannot be carried
    /// out any more.
    std::map<std::string, scheduler::Millis> unansweredAt_;
    /// When the last order that has, or may have, moved a machine was answered or timed out.
    std::map<std::string, scheduler::Millis> movedAt_;
    std::map<std::string, Emptying> emptying_;                 ///< by machine
    std::map<std::string, scheduler::Millis> notEmptiedUntil_; ///< by machine
    std::vector<Loan> loans_; ///< that the other cells may not have counted yet
    std::set<std::string> inTransfer_;
    MachineNeeds needs_;
    PoolReport report_;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
