#pragma once

#include <chicorywick/http/server.h>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <list>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chicorywick::hosted {

using nlohmann::json;

/// @brief Faults of the store stand-in.
struct StoreFaults
{
    bool isDown = false;
    bool isSilent = false;              ///< calls get no answer and have no effect
    bool areWatchesStalled = false;     ///< watches report no changes; other requests work
    double responseLossProbability = 0; ///< per committed transaction

    bool operator==(const StoreFaults &) const = default;
};

/// @brief Calls that the store stand-in has received.
struct StoreCalls
{
    int transactions = 0;
    int reads = 0;

    bool operator==(const StoreCalls &) const = default;
};

/// @brief Stand-in for the platform's metadata store with conditional transactions, range reads and
/// watches. Like the platform, a watch returns a row for each change, also of the same key, and the
/// history of changes is dropped after a while.
///
/// Not thread-safe; use it from its event loop only.
class HostedStore
{
public:
    explicit HostedStore(boost::asio::io_context &loop, std::uint64_t seed);

    std::uint16_t port() const { return server_.port(); }
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    /// @brief Returns the value of a row, or an empty string.
    std::string value(const std::string &table, const std::string &part,
                      const std::string &key) const;
    void setFaults(const StoreFaults &faults) { faults_ = faults; }
    const StoreCalls &calls() const { return calls_; }

private:
    struct Row
    {
        std::string value; ///< base64 as received
        std::int64_t version = 0;
        bool isRemoved = false;
    };
    using Key = std::tuple<std::string, std::string, std::string>;
    /// The rows that one transaction has changed.
    struct Change
    {
        std::chrono::steady_clock::time_point at;
        std::vector<std::pair<Key, Row>> rows;
    };
    struct Watch
    {
        std::string table;
        std::int64_t after = 0;
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
        bool isAnswered = false;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void transact(const json &body, const http::Responder &respond);
    void read(const std::map<std::string, std::string> &query, const http::Responder &respond);
    void watch(const std::map<std::string, std::string> &query, const http::Responder &respond);
    void write(const Key &key, const Row &row);
    void dropHistory(const std::string &table);

    /// @brief The rows of a table that changed after a version, and the version to resume from.
    json changes(const std::string &table, std::int64_t after) const;
    void notifyWatches();
    json rowJson(const Key &key, const Row &row) const;

    boost::asio::io_context &loop_;
    http::Server server_;
    std::map<Key, Row> rows_;
    std::map<std::string, std::map<std::int64_t, Change>> changes_; ///< by table and version
    std::map<std::string, std::int64_t> droppedVersions_;           ///< newest one, by table
    std::list<std::shared_ptr<Watch>> watches_;
    std::int64_t version_ = 0;
    StoreFaults faults_;
    StoreCalls calls_;
    std::vector<http::Responder> unanswered_; ///< calls that came while the store was silent
    std::uint64_t faultSeed_;
};

} // namespace chicorywick::hosted
