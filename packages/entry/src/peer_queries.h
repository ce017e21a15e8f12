#pragma once

#include "driver_answer.h"

#include <chicorywick/entry/driver.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief Asks the leading daemon what its driver knows.
class PeerQueries
{
public:
    explicit PeerQueries(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    void setLeader(const std::string &address);
    void askState(const std::string &id, std::function<void(DriverAnswer)> done);
    /// @brief Has the leading daemon make a call of the store.
    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done);
    bool hasLeader() const { return client_ != nullptr; }
    void askWaiting(const std::string &queue, std::function<void(DriverAnswer)> done);

    /// @brief Tells the leading daemon of a row of the jobs table; a lost message does no harm.
    void announce(const Row &row);

    /// @brief Asks the leading daemon to hand over to a machine of this memory.
    void askForYield(std::int64_t memoryMib);

private:
    void ask(const std::string &target, std::function<void(DriverAnswer)> done);

    boost::asio::io_context &loop_;
    std::string address_;
    std::unique_ptr<http::Client> client_;
};

DriverAnswer answerState(const Driver &driver, const std::string &id);
DriverAnswer answerWaiting(const Driver &driver, const std::string &queue);

/// @brief Serves the questions that PeerQueries asks; driver may be null.
http::Response answerPeer(const http::Request &request, const Driver *driver);

/// @brief The memory of the machine that asks for the lead; nothing if the request is another one.
std::optional<std::int64_t> yieldRequestOf(const http::Request &request);

/// @brief The row that another daemon announces; nothing if the request is another one.
std::optional<Row> announcedRow(const http::Request &request);

/// @brief Serves PeerQueries::transact(); false if the request is another one.
bool relayTransaction(const http::Request &request, Table &table, const http::Responder &respond);

} // namespace chicorywick::entry
