#pragma once

#include "view_age.h"

#include <chicorywick/entry/table.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace chicorywick::entry {

struct TableWatchHooks
{
    std::function<scheduler::Millis()> clock; ///< steady, includes time in suspend
    std::function<void(const RowPage &)> onRows;
    std::function<void()> onHistoryLost; ///< all rows must be read again, then resume() called
};

/// @brief Follows the changes of a table, and tells up to when all its rows are known. A request
/// whose answer is late is repeated on another connection.
class TableWatch : public std::enable_shared_from_this<TableWatch>
{
public:
    TableWatch(boost::asio::io_context &loop, Table &table, std::string name,
               TableWatchHooks hooks);

    /// @brief Starts to watch, or continues after all rows have been read again.
    void resume(Version after);
    void stop();

    /// @brief Reports rows that were read without this watch.
    void recordRead(scheduler::Millis requestedAt)
    {
        view_.recordAnswer(requestedAt, hooks_.clock());
    }

    const ViewAge &view() const { return view_; }

private:
    void beginRound();
    void request(std::chrono::milliseconds wait);
    void handle(std::uint64_t round, scheduler::Millis requestedAt,
                const base::Result<RowPage> &page);
    void runAfter(std::chrono::milliseconds delay, void (TableWatch::*action)());
    void repeat();

    Table &table_;
    std::string name_;
    TableWatchHooks hooks_;
    boost::asio::steady_timer timer_;
    ViewAge view_;
    Version version_ = 0;
    std::uint64_t round_ = 0; ///< increases with each answer
    int outstanding_ = 0;     ///< requests without an answer, of all rounds
    std::uint64_t actions_ = 0;
    bool isStopped_ = false;
};

} // namespace chicorywick::entry
