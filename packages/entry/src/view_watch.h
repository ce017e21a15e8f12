#pragma once

#include "view_age.h"

#include <chicorywick/base/result.h>
#include <chicorywick/entry/ports.h>
#include <chicorywick/entry/table.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace chicorywick::entry {

struct WatchTiming
{
    std::chrono::milliseconds wait{500}; ///< of a request, for a change
    /// Between an answer and the next request. Every change would cost a call otherwise.
    std::chrono::milliseconds pause{50};

    bool operator==(const WatchTiming &) const = default;
};

template <typename Page>
struct WatchHooks
{
    std::function<scheduler::Millis()> clock; ///< steady, includes time in suspend
    std::function<void(const Page &)> onRows; ///< called for each answer, also an empty one
    /// Reads all rows. Set for few rows that are large or change often: the watch then reads them
    /// at its start, after a loss of history, and when the changes would take more bytes.
    std::function<void(const http::TransferPointer &transfer, Callback<Page> done)> load;
    /// Called if there is no load(): all rows must be read again, then resume() called.
    std::function<void()> onHistoryLost;
    /// Called for each failure that no answer has followed; may be empty.
    std::function<void(const base::Error &)> onFailure;
};

/// @brief Follows the changes of stored rows, and tells up to when all of them are known. A request
/// without a sign of its answer is repeated on another connection; once an answer arrives, the
/// other requests are cancelled.
template <typename Page>
class ViewWatch : public std::enable_shared_from_this<ViewWatch<Page>>
{
public:
    /// @brief Requests the changes after a version, and waits for one if there is none.
    using Request = std::function<void(const WatchRequest &request, Callback<Page> done)>;

    ViewWatch(boost::asio::io_context &loop, Request request, WatchHooks<Page> hooks,
              WatchTiming timing = {});

    /// @brief Starts by reading all rows with load().
    void start() { loadRows(); }

    /// @brief Starts to watch, or continues after all rows have been read again.
    void resume(Version after);
    void stop();

    /// @brief Reports rows that were read without this watch.
    void recordRead(scheduler::Millis requestedAt)
    {
        view_.recordAnswer(requestedAt, hooks_.clock());
    }

    const ViewAge &view() const { return view_; }

    /// @brief Whether a part of an answer has arrived a moment ago, and more is to come.
    bool isAnyArriving() const;

private:
    struct Read
    {
        scheduler::Millis requestedAt = 0;
        bool isLoad = false;
        http::TransferPointer transfer = std::make_shared<http::Transfer>();
    };
    using ReadPointer = std::shared_ptr<Read>;

    void beginRound();
    void loadRows();
    void send(std::chrono::milliseconds wait);
    void handleProgress(const ReadPointer &read);
    void keepOneTransfer(const ReadPointer &begun);
    bool isLargerThanRows(const Read &read) const;
    void cancel(const ReadPointer &read);
    void cancelAll();
    void handle(const Read &read, const base::Result<Page> &page);
    void handleFailure(const base::Error &error);
    void runAfter(std::chrono::milliseconds delay, void (ViewWatch::*action)());
    void repeat();

    Request request_;
    WatchHooks<Page> hooks_;
    WatchTiming timing_;
    boost::asio::steady_timer timer_;
    ViewAge view_;
    Version version_ = 0;
    std::chrono::milliseconds wait_; ///< of the round's first request
    std::vector<ReadPointer> reads_; ///< of this round, without an answer
    bool isLoading_ = false;         ///< this round reads all rows
    std::size_t rowsBytes_ = 0;      ///< of the latest answer with all rows; 0: not known
    int repeats_ = 0;                ///< in this round
    bool hasWaitedForLoop_ = false;
    std::uint64_t actions_ = 0;
    bool isStopped_ = false;
};

extern template class ViewWatch<RowPage>;
extern template class ViewWatch<WorkerList>;
extern template class ViewWatch<OperatorState>;

} // namespace chicorywick::entry
