#pragma once

#include <chicorywick/http/server.h>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chicorywick::review {

using nlohmann::json;

/// @brief Stand-in for the platform's metadata store, with the limits that its page states.
///
/// Not thread-safe; use it from its event loop only.
class Store
{
public:
    explicit Store(boost::asio::io_context &loop);

    /// @brief Opens a way to the store, for one daemon; returns its port.
    std::uint16_t addWay();

    /// @brief While a way is cut off, requests and answers on it are lost.
    void setCut(std::size_t way, bool isCut) { ways_[way]->isCut = isCut; }

    /// @brief Writes a row of an empty part, as the operator and the runners do.
    void put(const std::string &table, const std::string &key, const json &value);
    void remove(const std::string &table, const std::string &key);

    /// @brief Called for each transaction that was refused as too large; receives the reason.
    void setRefusalHandler(std::function<void(const std::string &)> handler)
    {
        refusalHandler_ = std::move(handler);
    }

    /// @brief Returns the value of a row, or an empty string.
    std::string value(const std::string &table, const std::string &part,
                      const std::string &key) const;

private:
    struct Row
    {
        std::string value; ///< base64
        std::int64_t version = 0;
        bool isRemoved = false;
    };
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Watch
    {
        std::string table;
        std::int64_t after = 0;
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
        bool isAnswered = false;
    };

    struct Way
    {
        std::unique_ptr<http::Server> server;
        bool isCut = false;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    http::Response transact(const http::Request &request);
    http::Response read(const std::map<std::string, std::string> &query) const;
    void watch(const std::map<std::string, std::string> &query, const http::Responder &respond);
    json changes(const std::string &table, std::int64_t after) const;
    json rowJson(const Key &key, const Row &row) const;
    http::Response refuse(const std::string &reason) const;
    void write(const Key &key, Row row);
    void notifyWatches();

    boost::asio::io_context &loop_;
    std::vector<std::unique_ptr<Way>> ways_;
    std::map<Key, Row> rows_;
    std::map<std::string, std::map<std::int64_t, std::map<Key, int>>> keysByVersion_;
    std::list<std::shared_ptr<Watch>> watches_;
    std::function<void(const std::string &)> refusalHandler_;
    std::int64_t version_ = 0;
};

} // namespace chicorywick::review
