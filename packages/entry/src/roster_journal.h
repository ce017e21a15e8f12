#pragma once

#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/scheduler/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Stores the workers that may run tasks, for the next leader. A change writes only the rows
/// that it affects.
class RosterJournal : public std::enable_shared_from_this<RosterJournal>
{
public:
    RosterJournal(Table &table, CellRows rows, scheduler::Scheduler &scheduler,
                  std::function<bool()> mayWrite);

    /// @brief Records a stored row, as written by a previous leader.
    void applyStored(const Row &row);
    std::vector<scheduler::WorkerEntry> loaded() const;

    /// @brief Stores changes, unless a write is in flight.
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
    CellRows rows_;
    scheduler::Scheduler &scheduler_;
    std::function<bool()> mayWrite_;
    std::map<std::string, StoredRow> storedRows_; ///< by row key
    std::uint64_t storedRevision_ = 0;
    bool isBusy_ = false;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
