#pragma once

#include <chicorywick/entry/table.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace chicorywick::entry {

/// @brief An in-memory store with failure injection for transactions.
class FakeTable : public Table
{
public:
    std::map<RowKey, Row> rows;
    /// Injected failures: error code, and whether the transaction is applied.
    std::vector<std::pair<base::Code, bool>> failures;
    int calls = 0;
    Transaction lastTransaction; ///< the latest one without an injected failure
    /// The pending watch of each table; the test answers it. A watch that does not wait is answered
    /// at once.
    std::map<std::string, Callback<RowPage>> watches;
    int watchCalls = 0;
    std::size_t maxWatchRows = 500; ///< in an answer to a watch that does not wait
    bool isSilent = false;          ///< watches are not answered, also those that do not wait
    std::function<void(const RowRange &)> onRead; ///< called before the rows are read
    bool holdsReads = false;                      ///< until answerReads()

    void transact(const Transaction &transaction, std::chrono::milliseconds /*timeout*/,
                  Callback<TransactionResult> done) override
    {
        ++calls;
        if (!failures.empty()) {
            const auto [code, isApplied] = failures.front();
            failures.erase(failures.begin());
            if (isApplied)
                apply(transaction);
            return done(base::makeError(code));
        }
        lastTransaction = transaction;
        TransactionResult result{.isCommitted = apply(transaction), .version = version_};
        if (!result.isCommitted)
            for (const RowCondition &condition : transaction.conditions)
                if (rows.contains(condition.key))
                    result.current.push_back(rows[condition.key]);
        done(result);
    }

    void read(const RowRange &range, const ReadOptions & /*options*/,
              Callback<RowPage> done) override
    {
        if (holdsReads) {
            heldReads_.push_back(
                    [this, range, done = std::move(done)] { answerRead(range, done); });
            return;
        }
        answerRead(range, done);
    }

    /// @brief Answers all held reads; returns their number.
    std::size_t answerReads()
    {
        const auto held = std::exchange(heldReads_, {});
        for (const auto &answer : held)
            answer();
        return held.size();
    }

    void answerRead(const RowRange &range, const Callback<RowPage> &done)
    {
        if (onRead)
            onRead(range);
        RowPage page{.version = version_};
        for (const auto &[key, row] : rows)
            if (key.table == range.table && key.part == range.part && key.key >= range.from
                && (range.to.empty() || key.key < range.to))
                page.rows.push_back(row);
        done(std::move(page));
    }

    void watch(const std::string &table, const WatchRequest &request,
               Callback<RowPage> done) override
    {
        ++watchCalls;
        if (request.wait.count() == 0 && !isSilent) {
            RowPage page{.version = version_};
            for (const auto &[key, row] : rows)
                if (key.table == table && row.version > request.after)
                    page.rows.push_back(row);
            std::sort(page.rows.begin(), page.rows.end(), [](const Row &left, const Row &right) {
                return left.version < right.version;
            });
            page.hasMore = page.rows.size() > maxWatchRows;
            if (page.hasMore) {
                page.rows.resize(maxWatchRows);
                page.version = page.rows.back().version;
            }
            return done(std::move(page));
        }
        if (request.wait.count() > 0)
            watches.insert_or_assign(table, std::move(done));
    }

    Version version() const { return version_; }

private:
    bool apply(const Transaction &transaction)
    {
        for (const RowCondition &condition : transaction.conditions)
            if ((rows.contains(condition.key) ? rows[condition.key].version : 0)
                != condition.version)
                return false;
        ++version_;
        for (const RowWrite &write : transaction.writes)
            rows[write.key] = {.key = write.key, .value = write.value, .version = version_};
        for (const RowKey &removal : transaction.removals)
            rows.erase(removal);
        return true;
    }

    std::vector<std::function<void()>> heldReads_;
    Version version_ = 0;
};

} // namespace chicorywick::entry
