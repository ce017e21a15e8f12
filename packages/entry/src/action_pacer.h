#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace chicorywick::entry {

/// @brief Runs actions after the events that have already arrived, and limits the part of the
/// loop's time that they take. Keeps itself alive until its actions have run.
class ActionPacer : public std::enable_shared_from_this<ActionPacer>
{
public:
    explicit ActionPacer(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    void run(std::function<void()> action);

private:
    using Clock = std::chrono::steady_clock;

    void executeAfterRest(std::function<void()> action);
    void execute(const std::function<void()> &action);

    boost::asio::io_context &loop_;
    Clock::time_point restsUntil_;
};

} // namespace chicorywick::entry
