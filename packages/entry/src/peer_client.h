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

/// @brief Sends queries, announcements and store calls to the leader.
class PeerClient
{
public:
    explicit PeerClient(boost::asio::io_context &loop)
        : loop_(loop)
    {}

    void setLeader(const std::string &address);
    void queryState(const std::string &id, std::function<void(ControllerAnswer)> done);

    /// @brief Relays a transaction through the leader to the store.
    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done);
    bool hasLeader() const { return client_ != nullptr; }
    void queryWaiting(const std::string &queue, std::function<void(ControllerAnswer)> done);

    /// @brief Sends a stored row of the jobs table to the leader. A lost message does no harm: the
    /// leader also reads the row from the store.
    void announce(const Row &row);

    /// @brief Asks the leader to hand over to a machine with this much memory.
    void requestYield(std::int64_t memoryMib);

private:
    void query(const std::string &target, std::function<void(ControllerAnswer)> done);

    boost::asio::io_context &loop_;
    std::string address_;
    std::unique_ptr<http::Client> client_;
};

ControllerAnswer answerState(const Controller &controller, const std::string &id);
ControllerAnswer answerWaiting(const Controller &controller, const std::string &queue);

/// @brief Serves state and queue queries of PeerClient; controller may be null.
http::Response handlePeerQuery(const http::Request &request, const Controller *controller);

/// @brief The memory of the machine that requests leadership; empty for other requests.
std::optional<std::int64_t> parseYieldRequest(const http::Request &request);

/// @brief The row that another daemon announces; empty for other requests.
std::optional<Row> parseAnnouncedRow(const http::Request &request);

/// @brief Serves PeerClient::transact(); returns false for other requests.
bool relayTransaction(const http::Request &request, Table &table, const http::Responder &respond);

} // namespace chicorywick::entry
