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

/// @brief How a leader may order machines. It reserves a machine in its row first, which tells
/// later leaders that they must leave the machine alone for a while.
struct MachineOrderHooks
{
    /// Until when earlier leaders' orders for a machine are too recent; empty: they never are.
    std::function<scheduler::Millis(const std::string &machine)> heldUntil = {};

    /// Asks for a machine; the next write of the row reserves it.
    std::function<void(const std::string &machine)> reserve = {};

    /// Until when an order that is sent to a machine now is valid; none if it must not be sent.
    std::function<std::optional<scheduler::OrderValidity>(const std::string &machine)> validity =
            {};

    std::function<void(const std::string &machine)> recordSent = {};
    std::function<void(const std::string &machine, MachineOrderStatus status)> recordAnswer = {};

    /// Why orders wait, for the log; empty: they never do.
    std::function<std::optional<MachineOrderHold>()> hold = {};

    scheduler::Millis gapMs = 3'000; ///< between two leaders' orders for one machine

    /// @brief Returns true if a machine may be ordered now, and asks for it otherwise.
    bool reserveIfNeeded(const std::string &machine) const;
};

struct ControllerHooks
{
    std::function<scheduler::Now()> clock;
    std::function<bool()> maySendOrders;
    /// Until when an order that is allowed now may be sent.
    std::function<scheduler::OrderValidity()> orderValidity;
    std::function<void()> onFenced;
    /// Machines that the other cells lack or can lend, of those with a leader; empty: none.
    std::function<std::vector<CellNeeds>()> otherCells = {};
    /// Time up to which all requested waves are known; empty: up to now.
    std::function<scheduler::Millis()> wavesKnownUntil = {};
    MachineOrderHooks machineOrders = {};
    /// The former leader knew all transfers of machines up to this version.
    Version transfersSettledUntil = 0;
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

    /// @brief Machines that other cells have transferred to this one, with the time for which they
    /// must not be ordered yet.
    std::map<std::string, scheduler::Millis> heldTransfers() const;

    /// @brief All transfers of machines up to this version are known; 0 before they are loaded.
    Version transfersKnownUntil() const;

    /// @brief Sends the machine orders that waited for the row that was just stored.
    void sendReservedOrders();

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
