#pragma once

#include "controller_answer.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chicorywick::entry {

/// @brief Asks the leading daemon what its driver knows.
class PeerClient
{
public:
    explicit PeerClient(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    void setLeader(const std::string &address);
    void queryState(const std::string &id, std::function<void(ControllerAnswer)> done);
    /// @brief Has the leading daemon make a call of the store.
    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done);
    bool hasLeader() const { return client_ != nullptr; }
    void queryWaiting(const std::string &queue, std::function<void(ControllerAnswer)> done);

    /// @brief Tells the leading daemon of a row of the jobs table; a lost message does no harm.
    void announce(const Row &row);

    /// @brief Asks the leading daemon to hand over to a machine of this memory.
    void requestYield(std::int64_t memoryMib);

private:
    void query(const std::string &target, std::function<void(ControllerAnswer)> done);

    boost::asio::io_context &loop_;
    std::string address_;
    std::unique_ptr<http::Client> client_;
};

ControllerAnswer answerState(const Controller &controller, const std::string &id);
ControllerAnswer answerWaiting(const Controller &controller, const std::string &queue);

/// @brief Serves the questions that PeerQueries asks; driver may be null.
http::Response handlePeerQuery(const http::Request &request, const Controller *controller);

/// @brief The memory of the machine that asks for the lead; nothing if the request is another one.
std::optional<std::int64_t> parseYieldRequest(const http::Request &request);

/// @brief The row that another daemon announces; nothing if the request is another one.
std::optional<Row> parseAnnouncedRow(const http::Request &request);

/// @brief Serves PeerQueries::transact(); false if the request is another one.
bool relayTransaction(const http::Request &request, Table &table, const http::Responder &respond);

} // namespace chicorywick::entry
