#include "quota_ledger.h"

#include <chicorywick/base/hash.h>
#include <chicorywick/base/log_event.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicorywick::entry {

namespace {

using namespace std::chrono_literals;

constexpr auto kReadTimeout = 1000ms;
constexpr auto kWriteTimeout = 1000ms;
// The leaders of all cells write the same row, so their retries are spread.
constexpr scheduler::Millis kMinRetryPauseMs = 20;
constexpr std::uint64_t kRetryJitterMs = 60;
constexpr int kWhole = 1'000;

} // namespace

QuotaLedger::QuotaLedger(boost::asio::io_context &loop, Table &table, Cell cell, std::int64_t term,
                         QuotaLedgerHooks hooks)
    : loop_(loop)
    , table_(table)
    , cell_(std::move(cell))
    , term_(term)
    , hooks_(std::move(hooks))
    , rng_(base::hash64(std::to_string(cell_.number) + "/quota/" + std::to_string(term)))
    , watch_(std::make_shared<TableWatch>(loop, table, layout::kQuota,
                                          TableWatchHooks{.clock = hooks_.clock,
                                                          .onRows =
                                                                  [this](const RowPage &page) {
                                                                      for (const Row &row :
                                                                           page.rows)
                                                                          apply(row);
                                                                  },
                                                          .onHistoryLost = [this] { read(); }}))
{}

void QuotaLedger::start()
{
    read();
}

void QuotaLedger::stop()
{
    isStopped_ = true;
    watch_->stop();
}

int QuotaLedger::storedShare(const std::string &account, int cell) const
{
    const int cells = cell_.layout.count();
    const auto found = shares_.shares.find(account);
    // A row with another number of cells has been written for another layout.
    if (found == shares_.shares.end() || std::ssize(found->second) != cells)
        return kWhole / cells;
    return found->second[static_cast<std::size_t>(cell)];
}

int QuotaLedger::usableShare(const std::string &account) const
{
    if (!isLoaded_)
        return 0;
    int share = storedShare(account, cell_.number);
    if (writing_)
        if (const auto transfers = writing_->transfers.find(account);
            transfers != writing_->transfers.end())
            for (const auto &[cell, amount] : transfers->second)
                share -= amount;
    return std::max(share, 0);
}

void QuotaLedger::transfer(const ShareTransfers &transfers)
{
    if (!isLoaded_ || writing_ || transfers.empty())
        return;
    QuotaShares next = shares_;
    for (const auto &[account, toCells] : transfers) {
        std::vector<int> shares;
        for (int cell = 0; cell < cell_.layout.count(); ++cell)
            shares.push_back(storedShare(account, cell));
        for (const auto &[cell, amount] : toCells) {
            shares[static_cast<std::size_t>(cell)] += amount;
            shares[static_cast<std::size_t>(cell_.number)] -= amount;
        }
        next.shares[account] = std::move(shares);
    }
    write(std::move(next), transfers);
    hooks_.onChanged(); // the own cell uses less from before the write is sent
}

// A new leader stores the shares again unchanged: a write of its predecessor that is still on its
// way then fails, and can no longer lower the share that this leader uses.
void QuotaLedger::read()
{
    readAll(table_, rangeOf(layout::quotaSharesRow()), kReadTimeout,
            [self = shared_from_this()](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause(&QuotaLedger::read);
                for (const Row &row : page.value().rows)
                    self->apply(row);
                self->readVersion_ = page.value().version;
                if (self->isLoaded_)
                    return self->watch_->resume(self->readVersion_);
                self->write(self->shares_, {});
            });
}

void QuotaLedger::write(QuotaShares next, ShareTransfers transfers)
{
    next.writer = std::to_string(cell_.number) + "/" + std::to_string(term_) + "/"
                  + std::to_string(++writes_);
    writing_ = {.next = std::move(next), .expected = version_, .transfers = std::move(transfers)};
    send();
}

void QuotaLedger::send()
{
    if (!hooks_.mayWrite())
        return retryAfterPause(&QuotaLedger::send);
    const RowKey key = layout::quotaSharesRow();
    table_.transact({.conditions = {{.key = key, .version = writing_->expected}},
                     .writes = {{.key = key, .value = encode(writing_->next)}}},
                    kWriteTimeout,
                    [self = shared_from_this()](const base::Result<TransactionResult> &result) {
                        if (!self->isStopped_)
                            self->handleResult(result);
                    });
}

// Without an answer the same write is sent again: its condition holds at most once. Until it is
// settled, the own cell uses the lower share.
void QuotaLedger::handleResult(const base::Result<TransactionResult> &result)
{
    if (!result) {
        base::logEvent(base::Event::PlatformUnreachable,
                       {{"call", "store-quota"}, {"reason", result.error().message}});
        return retryAfterPause(&QuotaLedger::send);
    }
    const Writing written = std::move(*writing_);
    writing_.reset();
    if (result.value().isCommitted)
        apply({.key = layout::quotaSharesRow(),
               .value = encode(written.next),
               .version = result.value().version});
    else
        for (const Row &row : result.value().current)
            apply(row);
    if (!isLoaded_) {
        const bool isOwn = shares_.writer == written.next.writer;
        if (!isOwn)
            return retryAfterPause(&QuotaLedger::read);
        isLoaded_ = true;
        watch_->resume(readVersion_);
    }
    hooks_.onChanged();
}

void QuotaLedger::apply(const Row &row)
{
    if (row.key != layout::quotaSharesRow() || row.isRemoved || row.version <= version_)
        return;
    const auto decoded = decodeQuotaShares(row.value);
    // Shares that cannot be read are not used: they may name less than the equal ones.
    if (!decoded) {
        base::logEvent(base::Event::PlatformUnreachable,
                       {{"call", "read-quota"}, {"reason", decoded.error().message}});
        return;
    }
    shares_ = decoded.value();
    version_ = row.version;
    if (isLoaded_ && !isStopped_)
        hooks_.onChanged();
}

void QuotaLedger::retryAfterPause(void (QuotaLedger::*action)())
{
    const auto pause =
            kMinRetryPauseMs + static_cast<scheduler::Millis>(rng_.below(kRetryJitterMs));
    auto timer =
            std::make_shared<boost::asio::steady_timer>(loop_, std::chrono::milliseconds(pause));
    timer->async_wait(
            [self = shared_from_this(), timer, action](const boost::system::error_code &error) {
                if (!error && !self->isStopped_)
                    (self.get()->*action)();
            });
}

} // namespace chicorywick::entry
