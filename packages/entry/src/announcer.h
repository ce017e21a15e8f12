#pragma once

#include <chicorywick/entry/table.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace chicorywick::entry {

/// @brief Announces stored rows of the jobs tables to the leaders of their cells. A cancellation is
/// announced again, a bounded number of times, until the leader has confirmed it; a job's row is
/// announced once, as the leader's watch shows it too. A row that was not confirmed is logged.
class Announcer : public std::enable_shared_from_this<Announcer>
{
public:
    /// @brief Sends a row to the leader that is known now; reports whether the leader has it.
    using Send = std::function<void(int cell, const Row &row, std::function<void(bool)> done)>;

    Announcer(boost::asio::io_context &loop, Send send)
        : loop_(loop)
        , send_(std::move(send))
    {}

    void announce(int cell, const Row &row);

private:
    struct Announcement;
    using AnnouncementPointer = std::shared_ptr<Announcement>;

    void attempt(const AnnouncementPointer &announcement);
    void handleFailure(const AnnouncementPointer &announcement, const char *reason);

    boost::asio::io_context &loop_;
    Send send_;
    int outstanding_ = 0; ///< messages without an answer
    int repeating_ = 0;   ///< cancellations that wait for their next attempt
};

} // namespace chicorywick::entry
