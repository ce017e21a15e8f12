#include "roster_journal.h"

#include <chicorywick/base/log_event.h>
#include <chicorywick/entry/records.h>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto kWriteTimeout = 1000ms;

} // namespace

RosterJournal::RosterJournal(Table &table, CellRows rows, scheduler::Scheduler &scheduler,
                             std::function<bool()> mayWrite)
    : table_(table)
    , rows_(std::move(rows))
    , scheduler_(scheduler)
    , mayWrite_(std::move(mayWrite))
{}

void RosterJournal::applyStored(const Row &row)
{
    storedRows_[row.key.key] = {.value = row.isRemoved ? std::string() : row.value,
                                .version = row.version};
}

std::vector<scheduler::WorkerEntry> RosterJournal::loaded() const
{
    std::vector<scheduler::WorkerEntry> all;
    for (const auto &[key, storedRow] : storedRows_) {
        const auto entries = decodeRoster(storedRow.value);
        if (entries)
            all.insert(all.end(), entries.value().begin(), entries.value().end());
        else
            base::logEvent(
                    base::Event::PlatformUnreachable,
                    {{"call", "load-roster"}, {"row", key}, {"reason", entries.error().message}});
    }
    return all;
}

void RosterJournal::update()
{
    const std::uint64_t revision = scheduler_.rosterRevision();
    if (isBusy_ || isStopped_ || revision == storedRevision_ || !mayWrite_())
        return;
    const std::vector<scheduler::WorkerEntry> roster = scheduler_.roster();
    std::map<std::string, std::vector<scheduler::WorkerEntry>> byRow;
    for (const auto &[key, storedRow] : storedRows_)
        byRow[key]; // rows that became empty are written too
    for (const scheduler::WorkerEntry &entry : roster)
        byRow[rows_.rosterRow(entry.id).key].push_back(entry);
    Transaction transaction;
    std::map<std::string, std::string> values;
    for (const auto &[key, entries] : byRow) {
        std::string value = encode(entries);
        const auto storedRow = storedRows_.find(key);
        if (storedRow != storedRows_.end() && storedRow->second.value == value)
            continue;
        const RowKey row = rows_.rosterRowNamed(key);
        const Version version = storedRow != storedRows_.end() ? storedRow->second.version : 0;
        transaction.conditions.push_back({.key = row, .version = version});
        transaction.writes.push_back({.key = row, .value = value});
        values.emplace(key, std::move(value));
    }
    if (values.empty()) {
        storedRevision_ = revision;
        scheduler_.rosterStored(roster);
        return;
    }
    isBusy_ = true;
    table_.transact(transaction, kWriteTimeout,
                    [self = shared_from_this(), revision, values,
                     roster](const base::Result<TransactionResult> &result) {
                        if (!self->isStopped_)
                            self->handleResult(revision, values, roster, result);
                    });
}

void RosterJournal::handleResult(std::uint64_t revision,
                                 const std::map<std::string, std::string> &values,
                                 const std::vector<scheduler::WorkerEntry> &roster,
                                 const base::Result<TransactionResult> &result)
{
    isBusy_ = false;
    if (!result)
        return; // the next update retries
    if (!result.value().isCommitted) {
        // A previous leader's last write, or an own write whose answer was lost.
        for (const Row &row : result.value().current)
            applyStored(row);
        return;
    }
    for (const auto &[key, value] : values)
        storedRows_[key] = {.value = value, .version = result.value().version};
    storedRevision_ = revision;
    scheduler_.rosterStored(roster);
}

} // namespace chicorywick::entry
