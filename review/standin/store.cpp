#include "store.h"

#include <platform/base64.h>

#include <algorithm>
#include <stdexcept>

namespace chicorywick::review {

namespace {

constexpr std::size_t kRowsPerRead = 500;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConditionFailed = 412;

http::Response response(int status, const json &body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = body.dump()};
}

std::string percentDecode(const std::string &text)
{
    constexpr int kHexBase = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, kHexBase));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos && at + 1 < target.size()) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end - at - 1);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        at = end;
    }
    return query;
}

} // namespace

Store::Store(boost::asio::io_context &loop, StoreLimits limits)
    : loop_(loop)
    , limits_(limits)
    , server_(loop,
              [this](const http::Request &request, const http::Responder &respond) {
                  handle(request, respond);
              },
              {.maxBodyBytes = 8 * limits.bytesPerCall})
{
    if (!server_.listen({.host = "127.0.0.1"}))
        throw std::runtime_error("the store stand-in cannot listen");
}

void Store::put(const std::string &table, const std::string &key, const json &value)
{
    rows_[{table, "", key}] = {.value = adapter::toBase64(value.dump()), .version = ++version_};
    notifyFeeds();
}

void Store::remove(const std::string &table, const std::string &key)
{
    rows_[{table, "", key}] = {.version = ++version_, .isRemoved = true};
    notifyFeeds();
}

std::string Store::value(const std::string &table, const std::string &part,
                         const std::string &key) const
{
    const auto found = rows_.find({table, part, key});
    if (found == rows_.end() || found->second.isRemoved)
        return {};
    return adapter::fromBase64(found->second.value).value_or("");
}

void Store::handle(const http::Request &request, const http::Responder &respond)
{
    if (request.target == "/rows-tx") {
        const auto timer =
                std::make_shared<boost::asio::steady_timer>(loop_, limits_.transactionTime);
        timer->async_wait([this, timer, respond,
                           body = request.body](const boost::system::error_code &error) {
            if (!error)
                transact(json::parse(body), respond);
        });
        return;
    }
    if (request.target.starts_with("/rows-get?"))
        return read(parseQuery(request.target), respond);
    if (request.target.starts_with("/rows-feed?"))
        return feed(parseQuery(request.target), respond);
    respond({.status = kNotFound});
}

// Counts the bytes before encoding, the reading of the limit that is kindest to the caller.
bool Store::exceedsLimits(const json &body)
{
    std::size_t bytes = 0;
    bool isTooLarge =
            body.at("expected_rev").size() + body.at("puts").size() + body.at("remove").size()
            > limits_.entriesPerCall;
    for (const json &row : body.at("puts")) {
        const std::size_t size = adapter::fromBase64(row.at("value")).value_or("").size();
        bytes += size;
        largestRow_ = std::max(largestRow_, size);
        if (size > limits_.rowBytes) {
            ++oversizedRows_;
            isTooLarge = true;
        }
    }
    return isTooLarge || bytes > limits_.bytesPerCall;
}

void Store::transact(const json &body, const http::Responder &respond)
{
    const auto keyOf = [](const json &row) {
        return Key(row.at("table"), row.value("part", ""), row.at("key"));
    };
    if (exceedsLimits(body))
        return respond({.status = kBadRequest});
    for (const char *const list : {"puts", "remove"})
        for (const json &row : body.at(list))
            if (row.at("table") == "op" || row.at("table") == "servers")
                return respond({.status = kForbidden});
    json current = json::array();
    bool isConditionMet = true;
    for (const json &condition : body.at("expected_rev")) {
        const Key key = keyOf(condition);
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end() && !found->second.isRemoved;
        const std::int64_t version = exists ? found->second.version : 0;
        isConditionMet =
                isConditionMet && version == condition.at("row_version").get<std::int64_t>();
        if (exists)
            current.push_back(encode(key, found->second));
    }
    if (!isConditionMet)
        return respond(response(kConditionFailed, reply(current)));
    ++version_;
    for (const json &row : body.at("puts"))
        rows_[keyOf(row)] = {.value = row.at("value"), .version = version_};
    for (const json &row : body.at("remove"))
        rows_[keyOf(row)] = {.version = version_, .isRemoved = true};
    respond(response(200, reply(json::array())));
    notifyFeeds();
}

void Store::read(Query query, const http::Responder &respond)
{
    json rows = json::array();
    bool hasMore = false;
    std::size_t limit = kRowsPerRead;
    if (!query["limit"].empty())
        limit = std::min<std::size_t>(std::stoul(query["limit"]), kRowsPerRead);
    for (auto item = rows_.lower_bound({query["table"], query["part"], query["from"]});
         item != rows_.end(); ++item) {
        const auto &[table, part, key] = item->first;
        const bool isInRange = table == query["table"] && part == query["part"]
                               && (query["to"].empty() || key < query["to"]);
        if (!isInRange)
            break;
        if (item->second.isRemoved)
            continue;
        hasMore = rows.size() == limit;
        if (hasMore)
            break;
        rows.push_back(encode(item->first, item->second));
    }
    json body = reply(rows);
    body["has_more"] = hasMore;
    respond(response(200, body));
}

void Store::feed(Query query, const http::Responder &respond)
{
    const std::string table = query["table"];
    const std::int64_t after = std::stoll(query["after"]);
    const json rows = changes(table, after);
    if (!rows.empty())
        return respond(response(200, reply(rows)));
    const auto timer = std::make_shared<boost::asio::steady_timer>(
            loop_, std::chrono::milliseconds(std::stoll(query["wait_ms"])));
    const auto entry = feeds_.insert(
            feeds_.end(), {.table = table, .after = after, .respond = respond, .timer = timer});
    timer->async_wait([this, entry](const boost::system::error_code &error) {
        if (error)
            return;
        const http::Responder pending = entry->respond;
        feeds_.erase(entry);
        pending(response(200, reply(json::array())));
    });
}

json Store::changes(const std::string &table, std::int64_t after) const
{
    std::multimap<std::int64_t, json> ordered;
    for (auto item = rows_.lower_bound({table, "", ""});
         item != rows_.end() && std::get<0>(item->first) == table; ++item)
        if (item->second.version > after)
            ordered.emplace(item->second.version, encode(item->first, item->second));
    json rows = json::array();
    for (const auto &[version, row] : ordered)
        rows.push_back(row);
    return rows;
}

// A timer that has expired runs its handler also after cancel(), so a feed stays until its timer
// has been cancelled in time.
void Store::notifyFeeds()
{
    for (auto item = feeds_.begin(); item != feeds_.end();) {
        const json rows = changes(item->table, item->after);
        if (rows.empty() || item->timer->cancel() == 0) {
            ++item;
            continue;
        }
        const http::Responder respond = item->respond;
        item = feeds_.erase(item);
        respond(response(200, reply(rows)));
    }
}

json Store::encode(const Key &key, const Row &row)
{
    json value{{"table", std::get<0>(key)},
               {"part", std::get<1>(key)},
               {"key", std::get<2>(key)},
               {"row_version", row.version}};
    if (row.isRemoved)
        value["tombstone"] = true;
    else
        value["value"] = row.value;
    return value;
}

json Store::reply(const json &rows) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return {{"rows", rows},
            {"row_version", version_},
            {"now_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()}};
}

} // namespace chicorywick::review
