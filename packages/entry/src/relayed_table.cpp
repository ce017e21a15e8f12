#include "relayed_table.h"

namespace chicorywick::entry {

namespace {

// After a failed call, transactions go to another daemon first for this time.
constexpr scheduler::Millis kRelayPreferenceMs = 1'500;

} // namespace

RelayedTable::RelayedTable(Table &store, std::shared_ptr<PeerClient> peers,
                           std::function<scheduler::Now()> clock)
    : store_(store)
    , peers_(std::move(peers))
    , clock_(std::move(clock))
{}

void RelayedTable::transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                            Callback<TransactionResult> done)
{
    if (clock_().steady < *preferRelayUntil_ && peers_->hasRelay())
        return peers_->transact(transaction, timeout, std::move(done));
    store_.transact(
            transaction, timeout,
            [peers = peers_, clock = clock_, preferRelayUntil = preferRelayUntil_, transaction,
             timeout, done = std::move(done)](const base::Result<TransactionResult> &result) {
                if (result)
                    return done(result.value());
                *preferRelayUntil = clock().steady + kRelayPreferenceMs;
                // Only a call without effect may be repeated through a relay immediately.
                const bool didNothing = result.error().code != base::Code::PlatformUnknownOutcome;
                if (didNothing && peers->hasRelay())
                    return peers->transact(transaction, timeout, done);
                done(result.error());
            });
}

void RelayedTable::read(const RowRange &range, const ReadOptions &options, Callback<RowPage> done)
{
    store_.read(range, options, std::move(done));
}

void RelayedTable::watch(const std::string &table, const WatchRequest &request,
                         Callback<RowPage> done)
{
    store_.watch(table, request, std::move(done));
}

} // namespace chicorywick::entry
