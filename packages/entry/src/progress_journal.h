#pragma once

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

/// @brief Writes the scheduler's progress, many jobs at a time and one batch after another. Each
/// row is written under the version that this driver knows, so that an earlier driver's late write
/// is noticed and merged instead of overwritten.
class ProgressJournal : public std::enable_shared_from_this<ProgressJournal>
{
public:
    ProgressJournal(boost::asio::io_context &loop, Table &table, scheduler::Scheduler &scheduler,
                    std::function<bool()> mayWrite);

    void stop();

    /// @brief The stored version of a job's progress, learnt while loading.
    void applyStored(const std::string &id, Version version) { versions_[id] = version; }

    /// @brief Something is to be written soon.
    void request();

    /// @brief True while the latest progress of a job is not stored.
    bool isPending(const std::string &id) const;

    void forget(const std::string &id) { versions_.erase(id); }

    /// @brief Jobs whose final state was stored since the last call; at most 90.
    std::vector<std::string> takeEndedJobs();

private:
    void flush();
    void writeChunk();
    void handleResult(const std::vector<std::string> &ids,
                      const base::Result<TransactionResult> &result);
    void retryLater();

    boost::asio::io_context &loop_;
    Table &table_;
    scheduler::Scheduler &scheduler_;
    std::function<bool()> mayWrite_; ///< false while another driver may have taken over
    boost::asio::steady_timer timer_;
    std::chrono::milliseconds timeout_;
    std::map<std::string, Version> versions_;
    std::set<std::string> unwritten_; ///< of the batch in hand
    std::vector<std::string> ended_;
    std::uint64_t batch_ = 0;
    bool isBusy_ = false;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
