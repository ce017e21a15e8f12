#pragma once

#include "controller_answer.h"

#include <chicorywick/entry/controller.h>
#include <chicorywick/entry/table.h>
#include <chicorywick/http/client.h>
#include <chicorywick/http/server.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::entry {

/// @brief A daemon that offers to lead a cell because it has more room for it.
struct YieldRequest
{
    int cell = 0;
    std::int64_t memoryMib = 0;
    int heldCells = 0;

    bool operator==(const YieldRequest &) const = default;
};

/// @brief A stored row that another daemon announces to the leader of a cell.
struct AnnouncedRow
{
    int cell = 0;
    Row row;

    bool operator==(const AnnouncedRow &) const = default;
};

/// @brief Sends queries, announcements and store calls to the leaders of the cells. Keeps one pool
/// of connections per daemon, however many cells it leads.
class PeerClient
{
public:
    PeerClient(boost::asio::io_context &loop, std::string ownAddress)
        : loop_(loop)
        , ownAddress_(std::move(ownAddress))
    {}

    /// @brief Sets the address of a cell's leader; an empty one if there is none.
    void setLeader(int cell, const std::string &address);
    void queryState(int cell, const std::string &id, std::function<void(ControllerAnswer)> done);

    /// @brief Relays a transaction through another daemon, the leader of a cell, to the store.
    void transact(const Transaction &transaction, std::chrono::milliseconds timeout,
                  Callback<TransactionResult> done);
    bool hasRelay() const;

    /// @brief Peer addresses of the known leaders.
    std::vector<std::string> leaderAddresses() const;

    /// @brief Sends a stored row of a jobs table once to the leader of its cell, and reports
    /// whether the leader has confirmed it.
    void announce(int cell, const Row &row, std::function<void(bool isConfirmed)> done);

    /// @brief Asks the leader of a cell to hand over to this daemon.
    void requestYield(const YieldRequest &request);

private:
    using ClientPointer = std::shared_ptr<http::Client>;

    ClientPointer leaderOf(int cell) const;
    ClientPointer nextRelay();
    std::vector<ClientPointer> relays() const;
    void send(http::Client &leader, http::Request request, std::chrono::milliseconds timeout,
              http::ResponseCallback done) const;

    boost::asio::io_context &loop_;
    std::string ownAddress_;
    std::map<int, std::string> addresses_;         ///< by cell
    std::map<std::string, ClientPointer> clients_; ///< by address
    std::size_t nextRelay_ = 0;
};

ControllerAnswer answerState(const Controller &controller, const std::string &id);

/// @brief Finds the local controller of a cell; null if this daemon does not lead the cell.
using ControllerLookup = std::function<Controller *(int cell)>;

/// @brief Serves state queries of PeerClient.
http::Response handlePeerQuery(const http::Request &request, const ControllerLookup &controllerOf);

/// @brief Parses the requests of PeerClient::requestYield() and announce(); empty for other
/// requests. A malformed announcement is logged and has a negative cell.
std::optional<YieldRequest> parseYieldRequest(const http::Request &request);
std::optional<AnnouncedRow> parseAnnouncedRow(const http::Request &request);

/// @brief Serves PeerClient::announce(). Passes the row on, and confirms it if the function reports
/// that this daemon leads the cell.
http::Response answerAnnouncement(const AnnouncedRow &announced,
                                  const std::function<bool(const AnnouncedRow &)> &apply);

/// @brief Serves PeerClient::transact(); returns false for other requests.
bool relayTransaction(const http::Request &request, Table &table, const http::Responder &respond);

} // namespace chicorywick::entry
