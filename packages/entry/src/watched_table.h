#pragma once

#include "fake_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief An in-memory store that answers its watches, and that can lose answers of transactions.
class WatchedTable : public FakeTable
{
public:
    /// What happens to a transaction.
    enum class Fate {
        Answered,
        AnswerLost, ///< carried out
        Rejected,   ///< not carried out
        Late,       ///< carried out by carryOutLate(), if its conditions still hold
    };
    Fate fate = Fate::Answered; ///< of the transactions to come

    explicit WatchedTable(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done) override
    {
        if (fate == Fate::Answered)
            return FakeTable::transact(transaction, timeout, std::move(done));
        if (fate == Fate::Late)
            late_.push_back(transaction);
        if (fate == Fate::AnswerLost)
            FakeTable::transact(transaction, timeout, [](const auto &) {});
        done(base::makeError(fate == Fate::Rejected ? base::Code::PlatformUnavailable
                                                    : base::Code::PlatformUnknownOutcome));
    }

    void carryOutLate()
    {
        for (const Transaction &transaction : std::exchange(late_, {}))
            FakeTable::transact(transaction, std::chrono::milliseconds(1), [](const auto &) {});
    }

    void watch(const std::string &table, const WatchRequest &request,
               Callback<RowPage> done) override
    {
        const bool hasChanged = std::any_of(rows.begin(), rows.end(), [&](const auto &item) {
            return item.first.table == table && item.second.version > request.after;
        });
        if (hasChanged || request.wait.count() <= 0)
            return FakeTable::watch(table, {.after = request.after}, std::move(done));
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kPoll);
        timer->async_wait([this, timer, table, request, done](const auto &error) {
            if (!error)
                watch(table, {.after = request.after, .wait = request.wait - kPoll}, done);
        });
    }

private:
    static constexpr std::chrono::milliseconds kPoll{5};

    boost::asio::io_context &loop_;
    std::vector<Transaction> late_;
};

} // namespace chicorywick::entry
