#pragma once

#include "peer_client.h"

#include <chicorywick/entry/table.h>

#include <functional>
#include <memory>

namespace chicorywick::entry {

/// @brief The store; transactions are relayed through other daemons while direct calls fail.
class RelayedTable : public Table
{
public:
    RelayedTable(Table &store, std::shared_ptr<PeerClient> peers,
                 std::function<scheduler::Now()> clock);

    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done) override;
    void read(const RowRange &range, const ReadOptions &options, Callback<RowPage> done) override;
    void watch(const std::string &table, const WatchRequest &request,
               Callback<RowPage> done) override;

private:
    Table &store_;
    std::shared_ptr<PeerClient> peers_;
    std::function<scheduler::Now()> clock_;
    std::shared_ptr<scheduler::Millis> preferRelayUntil_ = std::make_shared<scheduler::Millis>(0);
};

} // namespace chicorywick::entry
