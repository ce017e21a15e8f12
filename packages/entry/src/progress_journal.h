#pragma once

#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/scheduler.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace chicorywick::entry {

/// @brief Stores the scheduler's job progress in sequential batches. Each write is conditional on
/// the last known row version, so that a late write of a previous leader is detected and merged
/// instead of overwritten.
class ProgressJournal : public std::enable_shared_from_this<ProgressJournal>
{
public:
    ProgressJournal(boost::asio::io_context &loop, Table &table, CellRows rows,
                    scheduler::Scheduler &scheduler, std::function<bool()> mayWrite);

    void stop();

    /// @brief Records the version of a job's stored progress, read while loading.
    void applyStored(const std::string &id, Version version) { versions_[id] = version; }

    /// @brief Schedules a write of changed progress.
    void request();

    /// @brief True until the latest progress of a job is stored.
    bool isPending(const std::string &id) const;

    void forget(const std::string &id) { versions_.erase(id); }

    /// @brief Removes and returns up to 90 jobs whose final state has been stored.
    std::vector<std::string> takeEndedJobs();

private:
    void flush();
    void writeChunk();
    void handleResult(const std::vector<std::string> &ids,
                      const base::Result<TransactionResult> &result);
    void retryLater();

    boost::asio::io_context &loop_;
    Table &table_;
    CellRows rows_;
    scheduler::Scheduler &scheduler_;
    std::function<bool()> mayWrite_; ///< false while another daemon may be the leader
    boost::asio::steady_timer timer_;
    std::chrono::milliseconds timeout_;
    std::map<std::string, Version> versions_;
    std::set<std::string> unwritten_; ///< jobs of the current batch
    std::vector<std::string> ended_;
    std::uint64_t batch_ = 0;
    bool isBusy_ = false;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
