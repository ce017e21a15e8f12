#include "account_quota.h"

#include "quota_plan.h"

#include <chicorywick/base/log_event.h>

#include <algorithm>

namespace chicorywick::entry {

namespace {

using scheduler::Resources;

constexpr int kWhole = 1'000;
// The needs of other cells arrive with their leader rows, which are written this often.
constexpr scheduler::Millis kBalancePeriodMs = 400;
constexpr scheduler::Millis kReportPeriodMs = 1'000;
// Long enough for the tasks of one cell to end and for the shares to reach the next one.
constexpr scheduler::Millis kTurnMs = 4'000;
// Keeps the row of the leader small, whatever an account has submitted.
constexpr std::int64_t kMaxThousandths = 100'000;

std::int64_t shareOf(std::int64_t limit, int share)
{
    return limit > 0 ? limit * share / kWhole : Resources::kUnlimited;
}

// The largest part of a limit, rounded up.
int thousandthsOf(const Resources &limit, const Resources &demand)
{
    const auto part = [](std::int64_t whole, std::int64_t amount) {
        return whole > 0 && amount > 0 ? (amount * kWhole + whole - 1) / whole : 0;
    };
    return static_cast<int>(
            std::min(kMaxThousandths, std::max({part(limit.cpuMillis, demand.cpuMillis),
                                                part(limit.memoryMib, demand.memoryMib),
                                                part(limit.accelerators, demand.accelerators)})));
}

} // namespace

AccountQuota::AccountQuota(boost::asio::io_context &loop, Table &table,
                           const ControllerHooks &hooks, scheduler::Scheduler &scheduler, Cell cell,
                           std::int64_t term)
    : loop_(loop)
    , table_(table)
    , hooks_(hooks)
    , scheduler_(scheduler)
    , cell_(std::move(cell))
    , term_(term)
{}

void AccountQuota::configure(const std::optional<std::vector<ClientAccount>> &accounts)
{
    limited_.clear();
    for (const ClientAccount &account : accounts.value_or(std::vector<ClientAccount>()))
        if (account.policy.limit != Resources())
            limited_.emplace(account.policy.name, account.policy);
    if (!limited_.empty() && !ledger_ && cell_.layout.count() > 1) {
        ledger_ = std::make_shared<QuotaLedger>(
                loop_, table_, cell_, term_,
                QuotaLedgerHooks{.clock = [clock = hooks_.clock] { return clock().steady; },
                                 .mayWrite = hooks_.maySendOrders,
                                 .onChanged =
                                         [weak = weak_from_this()] {
                                             if (const auto self = weak.lock())
                                                 self->applyLimits();
                                         }});
        ledger_->start();
    }
    applyLimits();
}

void AccountQuota::stop()
{
    if (ledger_)
        ledger_->stop();
}

scheduler::Resources AccountQuota::limitOf(const scheduler::AccountPolicy &policy) const
{
    const int share = ledger_ ? ledger_->usableShare(policy.name) : kWhole;
    return {.cpuMillis = shareOf(policy.limit.cpuMillis, share),
            .memoryMib = shareOf(policy.limit.memoryMib, share),
            .accelerators = shareOf(policy.limit.accelerators, share)};
}

void AccountQuota::applyLimits()
{
    std::map<std::string, Resources> limits;
    for (const auto &[name, policy] : limited_)
        limits.emplace(name, limitOf(policy));
    scheduler_.setAccountLimits(limits);
}

void AccountQuota::tick()
{
    const scheduler::Millis now = hooks_.clock().steady;
    if (limited_.empty() || now - balancedAt_ < kBalancePeriodMs)
        return;
    balancedAt_ = now;
    const auto loads = scheduler_.accountLoads();
    report(loads);
    needs_.clear();
    if (!ledger_)
        return;
    const std::vector<CellNeeds> others =
            hooks_.otherCells ? hooks_.otherCells() : std::vector<CellNeeds>();
    ShareTransfers transfers;
    for (const auto &[name, policy] : limited_) {
        const auto load = loads.find(name);
        const scheduler::AccountLoad use =
                load != loads.end() ? load->second : scheduler::AccountLoad();
        Resources demand = use.running;
        demand += use.waiting;
        QuotaPosition own{.cell = cell_.number,
                          .share = ledger_->usableShare(name),
                          .running = thousandthsOf(policy.limit, use.running),
                          .need = {.demand = thousandthsOf(policy.limit, demand),
                                   .smallest = thousandthsOf(policy.limit, use.smallestWaiting)}};
        if (own.isShort())
            needs_[name] = own.need;
        std::vector<QuotaPosition> positions;
        for (const CellNeeds &other : others)
            if (const auto need = other.accounts.find(name); need != other.accounts.end())
                positions.push_back({.cell = other.cell,
                                     .share = ledger_->storedShare(name, other.cell),
                                     .need = need->second});
        auto planned = planShareTransfers(own, positions, hooks_.clock().wall / kTurnMs);
        if (!planned.empty())
            transfers.emplace(name, std::move(planned));
    }
    ledger_->transfer(transfers);
}

void AccountQuota::report(const std::map<std::string, scheduler::AccountLoad> &loads)
{
    const scheduler::Millis now = hooks_.clock().steady;
    if (now - reportedAt_ < kReportPeriodMs)
        return;
    reportedAt_ = now;
    for (const auto &[name, load] : loads) {
        const auto policy = limited_.find(name);
        if (policy == limited_.end() || load.waiting == Resources())
            continue;
        const Resources limit = limitOf(policy->second);
        Resources wanted = load.running;
        wanted += load.smallestWaiting;
        if (limit.covers(wanted))
            continue;
        base::logEvent(base::Event::AccountLimited,
                       {{"account", name},
                        {"cell", std::to_string(cell_.number)},
                        {"period_ms", std::to_string(kReportPeriodMs)},
                        {"running_cpu", std::to_string(load.running.cpuMillis)},
                        {"waiting_cpu", std::to_string(load.waiting.cpuMillis)},
                        {"limit_cpu", std::to_string(limit.cpuMillis)},
                        {"running_memory", std::to_string(load.running.memoryMib)},
                        {"limit_memory", std::to_string(limit.memoryMib)}});
    }
}

} // namespace chicorywick::entry
