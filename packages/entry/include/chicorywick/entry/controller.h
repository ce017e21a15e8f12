#pragma once

#include <chicorywick/entry/ports.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/scheduler.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief The interfaces through which a driver works.
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
    std::function<bool()> maySendMachineOrders; ///< the former driver's orders are old enough
    std::function<void()> onFenced;
};

/// @brief One term of driving: loads what is stored, then keeps the scheduler and the store in
/// step.
class Controller
{
public:
    Controller(ControllerPorts ports, ControllerHooks hooks, scheduler::SchedulerSettings settings);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    void start();
    void configure(const Configuration &configuration);
    void setWaves(const std::vector<WaveRequest> &waves);

    /// @brief A row of the jobs table that another daemon has stored. Watches hear of it too, but
    /// they can be silent for a second or more without an error.
    void applyStored(const Row &row);

    /// @brief True once everything stored is loaded; until then states are not known.
    bool isLoaded() const;

    /// @brief The state to tell callers: a final one only once it is stored.
    std::optional<scheduler::JobState> reportedState(const std::string &id) const;
    int waitingJobs(const std::string &queue) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace chicorywick::entry
