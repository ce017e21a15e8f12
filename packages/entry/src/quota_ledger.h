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
#include <string>

namespace chicorywick::entry {

using ShareTransfers = std::map<std::string, std::map<int, int>>; ///< by account and receiving cell

struct QuotaLedgerHooks
{
    std::function<scheduler::Millis()> clock; ///< steady, includes time in suspend
    std::function<bool()> mayWrite;  ///< false while another leader may have claimed the cell
    std::function<void()> onChanged; ///< shares have changed
};

/// @brief Tells which share of the limits of client accounts the own cell may use. All changes are
/// serialised by one stored row. Only the leader of a cell lowers the cell's shares, so that the
/// shares that cells use never add up to more than the whole.
class QuotaLedger : public std::enable_shared_from_this<QuotaLedger>
{
public:
    QuotaLedger(boost::asio::io_context &loop, Table &table, Cell cell, std::int64_t term,
                QuotaLedgerHooks hooks);

    /// @brief Reads the shares, makes writes of former leaders of the cell fail, and follows the
    /// changes. Until then the own cell has no share.
    void start();
    void stop();

    /// @brief Thousandths of the account's limit that the own cell may use now.
    int usableShare(const std::string &account) const;

    /// @brief Thousandths of the account's limit that a cell has, as stored.
    int storedShare(const std::string &account, int cell) const;

    /// @brief Moves shares of the own cell to others, unless a write is on its way.
    void transfer(const ShareTransfers &transfers);
    bool isWriting() const { return writing_.has_value(); }

private:
    /// A write without a definite outcome.
    struct Writing
    {
        QuotaShares next;
        Version expected = 0;
        ShareTransfers transfers;
    };

    void read();
    void write(QuotaShares next, ShareTransfers transfers);
    void send();
    void handleResult(const base::Result<TransactionResult> &result);
    void apply(const Row &row);
    void retryAfterPause(void (QuotaLedger::*action)());

    boost::asio::io_context &loop_;
    Table &table_;
    Cell cell_;
    std::int64_t term_;
    QuotaLedgerHooks hooks_;
    base::Rng rng_;
    std::shared_ptr<TableWatch> watch_;
    QuotaShares shares_;
    Version version_ = 0; ///< of the row with the shares; 0: it does not exist
    Version readVersion_ = 0;
    std::optional<Writing> writing_;
    std::uint64_t writes_ = 0;
    bool isLoaded_ = false;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
