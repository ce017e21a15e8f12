#pragma once

#include <chicorywick/http/server.h>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace chicorywick::review {

using nlohmann::json;

/// @brief Limits of the store, as in the settings of a small deployment.
struct StoreLimits
{
    std::size_t rowBytes = 65'536;
    std::size_t entriesPerCall = 100;
    std::size_t bytesPerCall = 1'000'000;
    std::chrono::milliseconds transactionTime{4};

    bool operator==(const StoreLimits &) const = default;
};

/// @brief Stand-in for the platform's metadata store: rows, conditional transactions, range reads
/// and feeds. A call beyond a limit gets 400. Used from its event loop only.
class Store
{
public:
    Store(boost::asio::io_context &loop, StoreLimits limits);

    std::uint16_t port() const { return server_.port(); }

    /// @brief Writes a row as the operator or a runner does.
    void put(const std::string &table, const std::string &key, const json &value);
    void remove(const std::string &table, const std::string &key);

    /// @brief The value of a row, or an empty text.
    std::string value(const std::string &table, const std::string &part,
                      const std::string &key) const;

    /// @brief The number of calls that were refused because a row exceeded its size.
    int oversizedRows() const { return oversizedRows_; }
    std::size_t largestRow() const { return largestRow_; }

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    using Query = std::map<std::string, std::string>;
    struct Row
    {
        std::string value; ///< base64
        std::int64_t version = 0;
        bool isRemoved = false;
    };
    struct Feed
    {
        std::string table;
        std::int64_t after = 0;
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void transact(const json &body, const http::Responder &respond);
    void read(Query query, const http::Responder &respond);
    void feed(Query query, const http::Responder &respond);
    bool exceedsLimits(const json &body);
    json changes(const std::string &table, std::int64_t after) const;
    void notifyFeeds();
    static json encode(const Key &key, const Row &row);
    json reply(const json &rows) const;

    boost::asio::io_context &loop_;
    StoreLimits limits_;
    http::Server server_;
    std::map<Key, Row> rows_;
    std::list<Feed> feeds_;
    std::int64_t version_ = 0;
    int oversizedRows_ = 0;
    std::size_t largestRow_ = 0;
};

} // namespace chicorywick::review
