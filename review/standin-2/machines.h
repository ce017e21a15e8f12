#pragma once

#include "record.h"
#include "runner.h"
#include "store.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicorywick::review {

/// @brief Stand-in for the machine control: lists machines and carries out their upkeep. Each
/// machine runs one runner at a time.
///
/// Not thread-safe; use it from its event loop only.
class Machines
{
public:
    Machines(boost::asio::io_context &loop, Store &store, RunLog &log, Record &record);

    /// @brief Adds a machine with its first runner.
    void add(const RunnerSetup &setup);

    /// @brief Sets the pool whose machines are off.
    void setSparePool(const std::string &pool) { sparePool_ = pool; }

    /// @brief While the machine control is down, it answers all calls with 503.
    void setDown(bool isDown) { isDown_ = isDown; }

    /// @brief The runners that are up, one a machine.
    std::vector<Runner *> runners() const;

    /// @brief Writes the entries of all runners that are up, with their heartbeats.
    void beat();

    /// @brief Number of upkeeps that have begun.
    int upkeeps() const { return upkeeps_; }

    /// @brief Number of moves that have begun.
    int moves() const { return moves_; }

    std::uint16_t port() const { return server_.port(); }

private:
    struct Machine
    {
        RunnerSetup setup;              ///< of the current runner, or the next one
        std::unique_ptr<Runner> runner; ///< none in the spare pool
        std::vector<std::unique_ptr<Runner>> former;
        std::string state = "up";
        int lives = 1;
        std::map<std::int64_t, bool> maintainedFor; ///< waves
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void list(const http::Responder &respond) const;
    void maintain(const json &body, const http::Responder &respond);
    void move(const json &body, const http::Responder &respond);
    void beginLife(Machine &machine);

    /// @brief Ends the runner of a machine; a new one joins the pool after some time.
    void replaceRunner(Machine &machine, const std::string &pool, const char *state,
                       std::chrono::milliseconds time);

    boost::asio::io_context &loop_;
    Store &store_;
    RunLog &log_;
    Record &record_;
    http::Server server_;
    std::map<std::string, Machine> machines_;
    std::string sparePool_;
    bool isDown_ = false;
    int upkeeps_ = 0;
    int moves_ = 0;
};

} // namespace chicorywick::review
