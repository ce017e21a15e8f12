#pragma once

#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/machine_order_hold.h>
#include <chicorywick/entry/ports.h>
#include <chicorywick/entry/records.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/scheduler.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief The platform interfaces that a controller uses.
struct ControllerPorts
{
    boost::asio::io_context *loop = nullptr;
    Table *table = nullptr;
    DiscoveryPort *discovery = nullptr;
    scheduler::WorkerOrders *orders = nullptr;
    MachinePort *machines = nullptr;
    OperatorPort *operators = nullptr;
};

struct ControllerHooks
{
    std::function<scheduler::Now()> clock;
    std::function<bool()> maySendOrders;
    /// False while a previous leader may have sent a machine order recently.
    std::function<bool()> maySendMachineOrders;
    /// Until when an order that is allowed now may be sent.
    std::function<scheduler::OrderValidity()> orderValidity;
    std::function<scheduler::OrderValidity()> machineOrderValidity;
    std::function<void()> onFenced;
    /// Machines that the other cells lack or can lend, of those with a leader; empty: none.
    std::function<std::vector<CellNeeds>()> otherCells = {};
    /// Time up to which all requested waves are known; empty: up to now.
    std::function<scheduler::Millis()> wavesKnownUntil = {};
    /// Why no machine orders may be sent, for the log; empty: they always may.
    std::function<std::optional<MachineOrderHold>()> machineOrderHold = {};
};

/// @brief Runs the scheduler of one cell during one leadership term. Loads the stored state first,
/// then keeps the scheduler and the store consistent.
class Controller
{
public:
    Controller(ControllerPorts ports, ControllerHooks hooks, Cell cell,
               scheduler::SchedulerSettings settings);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    void start();
    void configure(const Configuration &configuration);
    void setWaves(const std::vector<WaveRequest> &waves);

    /// @brief Applies a row of the cell's jobs table that another daemon has stored. The watch
    /// delivers it too, but a watch can stall for a second or more without an error.
    void applyStored(const Row &row);

    /// @brief True once all stored state is loaded; job states are unknown until then.
    bool isLoaded() const;

    /// @brief The state to report to callers. A final state is reported only once it is stored.
    std::optional<scheduler::JobState> reportedState(const std::string &id) const;
    /// @brief Jobs of the cell that have not started, by queue; queues without any are left out.
    std::map<std::string, int> waitingJobs() const;

    /// @brief Machines that the cell lacks or can lend to others.
    MachineNeeds machineNeeds() const;

    /// @brief Client accounts whose share of their limit does not suffice in the cell.
    const AccountNeeds &accountNeeds() const;

    /// @brief Time until a job submitted now can start, by queue; short ones are left out.
    std::map<std::string, scheduler::Millis> backlogs() const;

    /// @brief Memory of the cell's jobs.
    const scheduler::JobMemory &jobMemory() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace chicorywick::entry
