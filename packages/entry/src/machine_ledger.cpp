#include "machine_ledger.h"

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

} // namespace

MachineLedger::MachineLedger(boost::asio::io_context &loop, Table &table, Cell cell,
                             std::int64_t term, MachineLedgerHooks hooks)
    : loop_(loop)
    , table_(table)
    , cell_(std::move(cell))
    , term_(term)
    , hooks_(std::move(hooks))
    , rng_(base::hash64(std::to_string(cell_.number) + "/" + std::to_string(term)))
    , watch_(std::make_shared<TableWatch>(
              loop, table, layout::kMachines,
              TableWatchHooks{.clock = hooks_.clock,
                              .onRows = [this](const RowPage &page) { applyRows(page); },
                              .onHistoryLost = [this] { read(); }}))
{}

void MachineLedger::load(std::function<void()> done)
{
    loaded_ = std::move(done);
    read();
}

void MachineLedger::stop()
{
    isStopped_ = true;
    watch_->stop();
    writing_.reset(); // its callback may refer to this object
    loaded_ = {};
}

bool MachineLedger::owns(const std::string &machine, const std::string &rack) const
{
    const auto found = entries_.find(machine);
    const int cell =
            found != entries_.end() ? found->second.transfer.cell : cell_.layout.cellOfRack(rack);
    return cell == cell_.number;
}

bool MachineLedger::hasLeft(const std::string &machine) const
{
    const auto found = entries_.find(machine);
    return found != entries_.end() && found->second.transfer.cell != cell_.number;
}

std::int64_t MachineLedger::fenceFor(const std::string &machine) const
{
    const auto found = entries_.find(machine);
    return found != entries_.end() && !hasLeft(machine)
                   ? std::max(term_, found->second.transfer.minFence)
                   : term_;
}

std::set<std::int64_t> MachineLedger::maintainedFor(const std::string &machine) const
{
    const auto found = entries_.find(machine);
    return found != entries_.end() ? found->second.transfer.maintainedFor
                                   : std::set<std::int64_t>();
}

bool MachineLedger::mayOrder(const std::string &machine) const
{
    const auto found = entries_.find(machine);
    return found == entries_.end() || hooks_.clock() >= found->second.orderableFrom;
}

std::map<std::string, scheduler::Millis> MachineLedger::heldMachines() const
{
    const scheduler::Millis now = hooks_.clock();
    std::map<std::string, scheduler::Millis> held;
    for (const auto &[machine, entry] : entries_)
        if (entry.transfer.cell == cell_.number && entry.orderableFrom > now)
            held[machine] = entry.orderableFrom - now;
    return held;
}

std::optional<std::string> MachineLedger::incomingPool(const std::string &machine) const
{
    const auto found = entries_.find(machine);
    const bool isIncoming = found != entries_.end() && !found->second.wasLoaded
                            && found->second.transfer.cell == cell_.number
                            && hooks_.clock() < found->second.orderableFrom;
    return isIncoming ? std::optional(found->second.transfer.pool) : std::nullopt;
}

std::vector<std::string> MachineLedger::incomingMachines() const
{
    std::vector<std::string> machines;
    for (const auto &[machine, entry] : entries_)
        if (incomingPool(machine))
            machines.push_back(machine);
    return machines;
}

void MachineLedger::transfer(MachineTransfers transfers, std::function<void(bool)> done)
{
    if (writing_ || loaded_ || !hooks_.mayWrite())
        return done(false);
    const std::string mark = nextMark();
    for (auto &[machine, change] : transfers)
        change.writer = mark;
    writing_ = {.transfers = std::move(transfers),
                .mark = mark,
                .expected = sequence_,
                .done = std::move(done)};
    send();
}

std::string MachineLedger::nextMark()
{
    return std::to_string(cell_.number) + "/" + std::to_string(term_) + "/"
           + std::to_string(++writes_);
}

// Each write changes the sequence row and asks for the version that this leader knows. So a write
// of a former leader fails once its successor has written, and the successor has read what was
// stored before. A leader writes only while no other one can have claimed its cell, so it never
// learns the version of its successor's write in time to use it.
void MachineLedger::send()
{
    if (!hooks_.mayWrite())
        return retryAfterPause(&MachineLedger::send);
    const RowKey sequence = layout::machineSequenceRow();
    Transaction transaction{.conditions = {{.key = sequence, .version = writing_->expected}},
                            .writes = {{.key = sequence, .value = writing_->mark}}};
    for (const auto &[machine, change] : writing_->transfers)
        transaction.writes.push_back({.key = layout::machineRow(machine), .value = encode(change)});
    table_.transact(transaction, kWriteTimeout,
                    [self = shared_from_this()](const base::Result<TransactionResult> &result) {
                        if (!self->isStopped_)
                            self->handleResult(result);
                    });
}

// Without an answer the same write is sent again: its condition holds at most once.
void MachineLedger::handleResult(const base::Result<TransactionResult> &result)
{
    if (!result) {
        base::logEvent(base::Event::PlatformUnreachable,
                       {{"call", "store-machines"}, {"reason", result.error().message}});
        return retryAfterPause(&MachineLedger::send);
    }
    Version version = result.value().version;
    bool isOwn = result.value().isCommitted;
    if (!isOwn)
        for (const Row &row : result.value().current)
            if (row.key == layout::machineSequenceRow()) {
                version = row.version;
                isOwn = row.value == writing_->mark;
            }
    if (!isOwn) {
        writing_->settledBy = std::max<Version>(version, 1);
        return settleByRows();
    }
    for (const auto &[machine, change] : writing_->transfers)
        apply(machine, change, version);
    setSequence(version);
    finish(true);
}

// The write met another version, which may have followed it if it was sent more than once. The rows
// tell once the watch has delivered them.
void MachineLedger::settleByRows()
{
    if (!writing_ || writing_->settledBy == 0)
        return;
    if (loaded_)
        return finish(false);
    if (sequence_ < writing_->settledBy)
        return;
    // Rows that other transfers have replaced since name another owner, which is found out later.
    const bool isStored = std::any_of(
            writing_->transfers.begin(), writing_->transfers.end(), [this](const auto &change) {
                const auto found = entries_.find(change.first);
                return found != entries_.end() && found->second.transfer.writer == writing_->mark;
            });
    finish(isStored);
}

void MachineLedger::finish(bool isStored)
{
    const auto done = std::move(writing_->done);
    writing_.reset();
    notify();
    done(isStored);
}

void MachineLedger::read()
{
    readAll(table_, layout::machineRange(), kReadTimeout,
            [self = shared_from_this()](const base::Result<RowPage> &page) {
                if (self->isStopped_)
                    return;
                if (!page)
                    return self->retryAfterPause(&MachineLedger::read);
                RowPage complete = page.value();
                complete.hasMore = false;
                self->applyRows(complete);
                if (!self->loaded_)
                    return self->watch_->resume(complete.version);
                self->writing_ = {.mark = self->nextMark(),
                                  .expected = self->sequence_,
                                  .done = [self, version = complete.version](bool isStored) {
                                      if (!isStored)
                                          return self->retryAfterPause(&MachineLedger::read);
                                      self->watch_->resume(version);
                                      std::exchange(self->loaded_, {})();
                                  }};
                self->send();
            });
}

void MachineLedger::applyRows(const RowPage &page)
{
    for (const Row &row : page.rows) {
        if (row.key == layout::machineSequenceRow()) {
            pageSequence_ = std::max(pageSequence_, row.version);
            continue;
        }
        const auto machine = layout::machineOfRow(row.key.key);
        if (!machine || row.isRemoved)
            continue;
        const auto transfer = decodeMachineTransfer(row.value);
        if (transfer)
            apply(*machine, transfer.value(), row.version);
        else
            base::logEvent(base::Event::PlatformUnreachable,
                           {{"call", "read-machines"}, {"reason", transfer.error().message}});
    }
    // The rows of one write may be divided between two answers.
    if (!page.hasMore)
        setSequence(pageSequence_);
    notify();
    settleByRows();
}

void MachineLedger::apply(const std::string &machine, const MachineTransfer &transfer,
                          Version version)
{
    const auto known = entries_.find(machine);
    if (known != entries_.end() && known->second.version >= version)
        return;
    const bool isSettled = version <= hooks_.settledUntil;
    entries_[machine] = {.transfer = transfer,
                         .version = version,
                         .orderableFrom = isSettled ? 0 : hooks_.clock() + hooks_.orderGapMs,
                         .wasLoaded = static_cast<bool>(loaded_)};
    ++revision_;
    hasReceived_ = hasReceived_ || transfer.cell == cell_.number;
}

void MachineLedger::setSequence(Version version)
{
    if (version <= sequence_)
        return;
    sequence_ = version;
    sequenceKnownAt_ = hooks_.clock();
}

void MachineLedger::notify()
{
    if (!loaded_ && std::exchange(hasReceived_, false))
        hooks_.onReceived();
}

void MachineLedger::retryAfterPause(void (MachineLedger::*action)())
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
