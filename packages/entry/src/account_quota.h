#pragma once

#include "quota_ledger.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/ports.h>
#include <chicorywick/scheduler/scheduler.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief Keeps the tasks of client accounts within their limits in one cell, and exchanges unused
/// shares of the limits with the other cells.
class AccountQuota : public std::enable_shared_from_this<AccountQuota>
{
public:
    AccountQuota(boost::asio::io_context &loop, Table &table, const ControllerHooks &hooks,
                 scheduler::Scheduler &scheduler, Cell cell, std::int64_t term);

    void configure(const std::optional<std::vector<ClientAccount>> &accounts);
    void stop();

    /// @brief Updates the needs, gives shares to cells that are short, and logs limits in effect.
    void tick();

    /// @brief Accounts whose share of the limit does not suffice in the cell.
    const AccountNeeds &needs() const { return needs_; }

private:
    void applyLimits();
    void report(const std::map<std::string, scheduler::AccountLoad> &loads);
    scheduler::Resources limitOf(const scheduler::AccountPolicy &policy) const;

    boost::asio::io_context &loop_;
    Table &table_;
    const ControllerHooks &hooks_;
    scheduler::Scheduler &scheduler_;
    Cell cell_;
    std::int64_t term_;
    std::map<std::string, scheduler::AccountPolicy> limited_; ///< accounts with a limit
    std::shared_ptr<QuotaLedger> ledger_; ///< null if there are no other cells, or no limits
    AccountNeeds needs_;
    scheduler::Millis balancedAt_ = 0;
    scheduler::Millis reportedAt_ = 0;
};

} // namespace chicorywick::entry
