#pragma once

#include "record.h"
#include "runner.h"
#include "store.h"

#include <boost/asio/io_context.hpp>

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

    /// @brief The runners that are up, one a machine.
    std::vector<Runner *> runners() const;

    /// @brief Writes the entries of all runners that are up, with their heartbeats.
    void beat();

    /// @brief Number of upkeeps that have begun.
    int upkeeps() const { return upkeeps_; }

    std::uint16_t port() const { return server_.port(); }

private:
    struct Machine
    {
        std::unique_ptr<Runner> runner;
        std::vector<std::unique_ptr<Runner>> former;
        bool isUp = true;
        std::map<std::int64_t, bool> maintainedFor; ///< waves
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void list(const http::Responder &respond) const;
    void maintain(const json &body, const http::Responder &respond);
    void beginUpkeep(const std::string &name, Machine &machine);

    boost::asio::io_context &loop_;
    Store &store_;
    RunLog &log_;
    Record &record_;
    http::Server server_;
    std::map<std::string, Machine> machines_;
    int upkeeps_ = 0;
};

} // namespace chicorywick::review
