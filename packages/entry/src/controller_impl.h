#pragma once

#include "account_quota.h"
#include "action_pacer.h"
#include "cancellation_index.h"
#include "machine_inventory.h"
#include "machine_ledger.h"
#include "machine_order_report.h"
#include "pool_balancer.h"
#include "progress_journal.h"
#include "reserving_machines.h"
#include "roster_journal.h"
#include "table_watch.h"
#include "view_report.h"
#include "wave_runner.h"

#include <chicorywick/entry/controller.h>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <set>
#include <string>

namespace chicorywick::entry {

class Controller::Impl : public std::enable_shared_from_this<Controller::Impl>
{
public:
    Impl(ControllerPorts ports, ControllerHooks hooks, Cell cell,
         scheduler::SchedulerSettings settings);

    void start();
    void stop();
    void configure(const Configuration &configuration);
    void setWaves(const std::vector<WaveRequest> &waves) { waves_->setWaves(waves); }
    void applyStored(const Row &row);
    void sendReservedOrders() { machines_->update(); }
    std::map<std::string, scheduler::Millis> heldTransfers() const
    {
        return ledger_ ? ledger_->heldMachines() : std::map<std::string, scheduler::Millis>();
    }
    Version transfersKnownUntil() const { return ledger_ ? ledger_->knownVersion() : 0; }
    bool isLoaded() const { return isLoaded_; }
    std::optional<scheduler::JobState> reportedState(const std::string &id) const;
    std::map<std::string, int> waitingJobs() const { return scheduler_.waitingJobs(); }
    MachineNeeds machineNeeds() const { return poolBalancer_->needs(); }
    const AccountNeeds &accountNeeds() const { return quota_->needs(); }
    std::map<std::string, scheduler::Millis> backlogs() const;
    const scheduler::JobMemory &jobMemory() const { return scheduler_.jobMemory(); }

private:
    // Loads transferred machines; waves, roster and progress; jobs; rows stored since; and workers,
    // in this order (controller_loading.cpp).
    struct JobsLoad;
    void loadMachines();
    void loadRows();
    void loadRange(const RowRange &range, std::function<void(const Row &)> apply,
                   std::function<void()> done);
    void applyProgressRow(const Row &row);
    void loadJobs();
    void loadNextJobs(const std::shared_ptr<JobsLoad> &load);
    void loadJobsOf(int part, const std::shared_ptr<JobsLoad> &load);
    void finishJobs(Version version);
    void loadNewRows();
    void loadWorkers();
    void finishLoading();
    void retryAfterPause(std::function<void()> action);
    void runAfter(std::chrono::milliseconds pause, std::function<void()> action);

    void applyUsedServices();
    void applyJobRows(const std::vector<Row> &rows);
    void applyCancellation(const Row &row);
    void applyJobRow(const Row &row);
    void reportDelays();

    // Workers of the cell's machines (controller_workers.cpp)
    bool isOwnWorker(const scheduler::WorkerEntry &entry) const;
    void addReceivedWorkers();
    void addUnknownWorkers(const WorkerList &list);
    void applyWorkers(const WorkerList &list, bool isComplete);

    void updateBacklogs();
    void scheduleTick();
    void tick();
    void compactEndedJobs();
    void removeExpiredJobs();

    ControllerPorts ports_;
    ControllerHooks hooks_;
    Cell cell_;
    CellRows rows_;
    std::shared_ptr<ActionPacer> pacer_; ///< of placement passes
    scheduler::Scheduler scheduler_;
    std::shared_ptr<TableWatch> jobsWatch_;
    std::shared_ptr<ViewWatch<WorkerList>> workersWatch_;
    std::shared_ptr<ProgressJournal> journal_;
    std::shared_ptr<RosterJournal> roster_;
    std::shared_ptr<MachineLedger> ledger_; ///< null if there are no other cells
    std::shared_ptr<ReservingMachines> machines_;
    MachineInventory inventory_;
    std::shared_ptr<WaveRunner> waves_;
    std::shared_ptr<PoolBalancer> poolBalancer_;
    std::shared_ptr<AccountQuota> quota_;
    boost::asio::steady_timer tickTimer_;

    Configuration configuration_;
    Version fence_;
    scheduler::Millis retentionMs_;
    bool isStopped_ = false;
    bool isLoaded_ = false;
    std::map<std::string, scheduler::JobProgress> loadedProgress_;
    CancellationIndex cancelled_;
    bool isLoadingReceived_ = false;
    bool isReceivedLoadDue_ = false;         ///< machines were received during a load
    std::set<std::string> removedMeanwhile_; ///< workers removed since that load was requested
    std::map<std::string, scheduler::Millis> backlogSince_; ///< by queue
    Version jobsVersion_ = 0;
    ViewReport jobsReport_;
    ViewReport workersReport_;
    MachineOrderReport machineOrderReport_;
    scheduler::Millis jobsLoadBegunAt_ = 0;
    scheduler::Millis tickedAt_ = 0;
    scheduler::Millis compactedAt_ = 0;
};

} // namespace chicorywick::entry
