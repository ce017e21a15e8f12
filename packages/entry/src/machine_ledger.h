#pragma once

#include "table_watch.h"

#include <chicorywick/base/rng.h>
#include <chicorywick/entry/layout.h>
#include <chicorywick/entry/records.h>
#include <chicorywick/entry/table.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorywick::entry {

using MachineTransfers = std::map<std::string, MachineTransfer>; ///< by machine

struct MachineLedgerHooks
{
    std::function<scheduler::Millis()> clock; ///< steady, includes time in suspend
    std::function<bool()> mayWrite;   ///< false while another leader may have claimed the cell
    std::function<void()> onReceived; ///< machines have joined the own cell
    /// The former leader knew all transfers up to this version, and has told which machines have
    /// to be left alone for them.
    Version settledUntil = 0;
    scheduler::Millis orderGapMs = 3'000; ///< between two leaders' orders for one machine
};

/// @brief Tells which cell owns a machine. A machine belongs to the cell of its rack until its
/// owner transfers it to another cell. All transfers are serialised by one stored row.
class MachineLedger : public std::enable_shared_from_this<MachineLedger>
{
public:
    MachineLedger(boost::asio::io_context &loop, Table &table, Cell cell, std::int64_t term,
                  MachineLedgerHooks hooks);

    /// @brief Reads all transfers and ends those that a former leader of the cell has begun; then
    /// calls done and follows the changes.
    void load(std::function<void()> done);
    void stop();

    bool owns(const std::string &machine, const std::string &rack) const;

    /// @brief True if the machine was transferred and belongs to another cell.
    bool hasLeft(const std::string &machine) const;

    /// @brief The fencing token for orders to a machine of the own cell and to its worker.
    std::int64_t fenceFor(const std::string &machine) const;

    /// @brief Waves for which another cell has maintained a machine before it was transferred.
    std::set<std::int64_t> maintainedFor(const std::string &machine) const;

    /// @brief False while the former owner of a machine may have sent an order recently.
    bool mayOrder(const std::string &machine) const;

    /// @brief The machines of the own cell that may not be ordered yet, with the time until then.
    std::map<std::string, scheduler::Millis> heldMachines() const;

    /// @brief All transfers up to this version are known.
    Version knownVersion() const { return sequence_; }

    /// @brief The pool that a machine moves to, if it was transferred to the own cell recently.
    std::optional<std::string> incomingPool(const std::string &machine) const;
    std::vector<std::string> incomingMachines() const;

    /// @brief Since when the latest transfer is known. What is known of waves must be newer for the
    /// next one.
    scheduler::Millis knownSince() const { return sequenceKnownAt_; }

    /// @brief Increases with each change of the transfers.
    std::uint64_t revision() const { return revision_; }

    bool isWriting() const { return writing_.has_value(); }

    /// @brief Transfers machines of the own cell. Calls done with true once that is stored, and
    /// with false if it is not stored and cannot be any more.
    void transfer(MachineTransfers transfers, std::function<void(bool)> done);

    /// @brief Calls done with true once all transfers up to now are known, including those that
    /// were on their way to the store; with false if that is not known yet.
    void confirm(std::function<void(bool)> done) { transfer({}, std::move(done)); }

private:
    struct Entry
    {
        MachineTransfer transfer;
        Version version = 0;
        scheduler::Millis orderableFrom = 0; ///< for this cell, if it owns the machine
        bool wasLoaded = false; ///< it was stored before this leader followed the table
    };
    /// A write whose outcome is not known yet.
    struct Write
    {
        MachineTransfers transfers;
        std::string mark; ///< value of the sequence row, unique to this write
        Version expected = 0;
        /// The write was not carried out, or it is part of this or an earlier version; 0: unknown.
        Version settledBy = 0;
        std::function<void(bool)> done;
    };

    std::string nextMark();
    void read();
    void applyRows(const RowPage &page);
    void apply(const std::string &machine, const MachineTransfer &transfer, Version version);
    void setSequence(Version version);
    void notify();
    void send();
    void handleResult(const base::Result<TransactionResult> &result);
    void settleByRows();
    void finish(bool isStored);
    void retryAfterPause(void (MachineLedger::*action)());

    boost::asio::io_context &loop_;
    Table &table_;
    Cell cell_;
    std::int64_t term_;
    MachineLedgerHooks hooks_;
    base::Rng rng_;
    std::shared_ptr<TableWatch> watch_;
    std::function<void()> loaded_; ///< empty once loaded
    std::map<std::string, Entry> entries_;
    Version sequence_ = 0;     ///< version of the sequence row
    Version pageSequence_ = 0; ///< the same, of an answer that lacks later rows
    scheduler::Millis sequenceKnownAt_ = 0;
    std::optional<Write> writing_;
    std::uint64_t writes_ = 0;
    std::uint64_t revision_ = 1;
    bool hasReceived_ = false; ///< onReceived is due
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
