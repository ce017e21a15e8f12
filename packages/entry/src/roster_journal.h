#pragma once

#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Keeps the list of workers that may hold tasks in the store, for the next driver. A change
/// writes the rows that it touches, not the list.
class RosterJournal : public std::enable_shared_from_this<RosterJournal>
{
public:
    RosterJournal(Table &table, scheduler::Scheduler &scheduler, std::function<bool()> mayWrite);

    /// @brief Takes a row that an earlier driver stored.
    void applyStored(const Row &row);
    std::vector<scheduler::WorkerEntry> loaded() const;

    /// @brief Stores what has changed, unless a write is under way.
    void update();
    void stop() { isStopped_ = true; }

private:
    struct StoredRow
    {
        std::string value;
        Version version = 0;
    };

    void handleResult(std::uint64_t revision, const std::map<std::string, std::string> &values,
                      const std::vector<scheduler::WorkerEntry> &roster,
                      const base::Result<TransactionResult> &result);

    Table &table_;
    scheduler::Scheduler &scheduler_;
    std::function<bool()> mayWrite_;
    std::map<std::string, StoredRow> storedRows_; ///< by row key
    std::uint64_t storedRevision_ = 0;
    bool isBusy_ = false;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
