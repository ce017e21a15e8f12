#pragma once

#include "cell_layout_source.h"
#include "peer_client.h"
#include "table_watch.h"
#include "view_report.h"

#include <chicorywick/base/rng.h>
#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/leader_election.h>
#include <chicorywick/entry/node.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief Takes part in the elections of all cells and runs the controllers of those that this
/// daemon leads.
class CellLeadership : public std::enable_shared_from_this<CellLeadership>
{
public:
    CellLeadership(const NodeSettings &settings, ControllerPorts ports,
                   std::shared_ptr<PeerClient> peers, std::string incarnation);

    /// @brief Loads or plans the layout, passes it to the callback, and joins the elections.
    void start(std::function<void(const CellLayout &)> onLayout);
    void configure(const Configuration &configuration);
    void setWaves(const std::vector<WaveRequest> &waves);

    /// @brief Sets how to ask up to when all requested waves are known.
    void setWavesView(std::function<scheduler::Millis()> knownUntil)
    {
        wavesKnownUntil_ = std::move(knownUntil);
    }

    /// @brief Releases all cells, for a stop of this daemon.
    void release();

    /// @brief Sets whether this daemon could lead further cells now.
    void setReady(bool isReady) { isReady_ = isReady; }

    bool hasLayout() const { return layout_.has_value(); }

    /// @brief The local controller of a cell; null if this daemon does not lead the cell.
    Controller *controllerOf(int cell) const;

    /// @brief Passes a stored row of a jobs table to the local controller of its cell. Returns true
    /// if this daemon leads the cell, so that no later leader could miss the row.
    bool applyStored(int cell, const Row &row);

    /// @brief Waiting jobs of a queue in all cells; none if a cell has not been led yet.
    std::optional<int> waitingJobs(const std::string &queue) const;

    /// @brief Time until a job of the queue that is submitted to the cell now can start; 0 if
    /// unknown.
    scheduler::Millis backlogMs(int cell, const std::string &queue) const;

    /// @brief Memory of the jobs of a cell, as its leader has published it.
    const scheduler::JobMemory &jobMemory(int cell) const;

    /// @brief Hands a cell over if the requesting daemon has much more room for it.
    void handleYieldRequest(const YieldRequest &request);

private:
    struct Seat
    {
        std::unique_ptr<LeaderElection> election;
        std::unique_ptr<Controller> controller;
        Version controllerTerm = 0;
        std::shared_ptr<bool> isRevoked; ///< true: the controller must not send orders any more
        bool isWriteRequested = false;   ///< before the next election
    };

    std::vector<CellNeeds> needsOfOthers(int cell) const;
    void join(const CellLayout &layout);
    void loadLeaders(int part);
    void setWatchHealthy(bool isHealthy);
    void observeRows(const std::vector<Row> &rows);
    void runElections();
    void writeIfDue(int cell);
    void updateTransfers(int cell);
    void requestWrite(int cell);
    void write(int cell, LeaderWrite write);
    void applyElection(int cell);
    void startController(int cell);
    MachineOrderHooks machineOrderHooks(int cell, const std::shared_ptr<const bool> &isRevoked);
    void stopController(int cell, const char *reason);
    void updateHeldCells();
    void requestYield();
    void retryAfterPause(std::function<void()> action);
    Seat &seatOf(int cell) { return seats_[static_cast<std::size_t>(cell)]; }

    NodeSettings settings_;
    ControllerPorts ports_;
    boost::asio::io_context &loop_;
    std::shared_ptr<PeerClient> peers_;
    std::string incarnation_;
    base::Rng rng_;
    std::shared_ptr<CellLayoutSource> layoutSource_;
    std::optional<CellLayout> layout_;
    std::vector<Seat> seats_; ///< by cell
    boost::asio::steady_timer electionTimer_;
    std::optional<Configuration> configuration_;
    std::vector<WaveRequest> waves_;
    std::function<scheduler::Millis()> wavesKnownUntil_; ///< empty: up to now
    std::shared_ptr<TableWatch> leadersWatch_;           ///< null without a layout
    ViewReport leadersReport_{"leaders"};
    Version leaderVersion_ = 0; ///< of the rows read
    scheduler::Millis leadersLoadBegunAt_ = 0;
    scheduler::Millis yieldRequestedAt_ = 0;
    bool isReady_ = false;
    bool isStopping_ = false;
};

} // namespace chicorywick::entry
